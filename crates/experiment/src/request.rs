//! A request from its caller's first sending to its end.

/// Microseconds of simulated time.
pub type Micros = u64;

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full and in time.
    InTime,
    /// Answered in full, but late or with too long a pause.
    Late,
    /// Not run, and not asked for again.
    Rejected,
    /// Broken off, or its caller has left.
    Failed,
}

/// A try under way.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// The engine that it was sent to.
    pub engine: usize,
    /// Its number in the host's backlog of that engine.
    pub number: u64,
    /// Its place there; 0 goes first.
    pub rank: u8,
    /// When it was sent.
    pub sent: Micros,
    /// Time until its prompt would be read, as expected then, in milliseconds.
    pub wait_ms: f64,
    /// Tokens of its prompt.
    pub tokens: f64,
    /// Its answer has begun.
    pub has_begun: bool,
    /// It reached the engine's queue.
    pub is_there: bool,
}

/// What the tries of one host came to.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    /// Engines that it was sent to.
    pub sent: u32,
    /// Connections that timed out.
    pub unsent: u32,
    /// Engines that said that they had not run it.
    pub not_run: u32,
    /// It may have run.
    pub may_have_run: bool,
    /// Its caller has the beginning of its answer.
    pub is_passed_on: bool,
    /// Engines not to be tried again.
    pub tried: Vec<usize>,
    /// The next try is paid for.
    pub paid: bool,
    /// The one under way.
    pub current: Option<Try>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its kind, as an index.
    pub kind: usize,
    /// When its caller first sent it.
    pub came: Micros,
    /// When its caller sent it last.
    pub asked: Micros,
    /// How long its caller waits at most.
    pub until: Micros,
    /// The host that carries it.
    pub host: usize,
    /// Times that its caller has come back.
    pub returned: u32,
    /// Tokens of whole events that the caller has.
    pub received: u32,
    /// When the first event came, for the caller.
    pub first: Option<Micros>,
    /// When the last event came, for the caller.
    pub last: Option<Micros>,
    /// The longest pause so far.
    pub pause: Micros,
    /// Counts tries, so that what is said of earlier ones is known.
    pub serial: u16,
    /// Counts looks, so that outdated ones are known.
    pub look: u32,
    /// See [`Tries`].
    pub tries: Tries,
    /// Once it has ended.
    pub outcome: Option<Outcome>,
}

impl Request {
    /// A new one.
    #[must_use]
    pub fn new(kind: usize, came: Micros, until: Micros, host: usize) -> Self {
        Self {
            kind,
            came,
            asked: came,
            until,
            host,
            returned: 0,
            received: 0,
            first: None,
            last: None,
            pause: 0,
            serial: 0,
            look: 0,
            tries: Tries::default(),
            outcome: None,
        }
    }

    /// An event came.
    pub fn event(&mut self, tokens: u32, at: Micros) {
        let pause = self.last.map_or(0, |last| at.saturating_sub(last));
        self.pause = self.pause.max(pause);
        self.first = self.first.or(Some(at));
        self.last = Some(at);
        self.received += tokens;
    }

    /// Since when its caller has heard nothing.
    #[must_use]
    pub fn quiet_since(&self) -> Micros {
        self.last.unwrap_or_default().max(self.asked)
    }

    /// How it ended, its answer being whole.
    #[must_use]
    pub fn answered(&self, objective_ms: u64, gap_ms: u64) -> Outcome {
        let begun = self.first.unwrap_or(self.came) - self.came;
        match begun <= objective_ms * 1_000 && self.pause <= gap_ms * 1_000 {
            true => Outcome::InTime,
            false => Outcome::Late,
        }
    }
}
