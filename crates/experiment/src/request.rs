//! A request from its caller's first sending to its outcome.

/// Simulated time in microseconds since the start of the run.
pub type Micros = u64;

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full, first event and every pause within the objective.
    InTime,
    /// Answered in full, but with a late first event or too long a pause.
    Late,
    /// Rejected without having run, and not sent again by the caller.
    Rejected,
    /// Interrupted, or abandoned by the caller.
    Failed,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the engine that the attempt was sent to.
    pub engine: usize,
    /// Number of the prompt in the host's backlog of that engine; 0 if no connection opens.
    pub number: u64,
    /// Scheduling rank in the engine; 0 runs first.
    pub rank: u8,
    /// Time at which the host sent the attempt.
    pub sent_at: Micros,
    /// Expected wait before the engine reads the prompt, estimated when the attempt was sent, in
    /// milliseconds.
    pub wait_ms: f64,
    /// Tokens of the prompt, including the part of the answer already received.
    pub tokens: f64,
    /// Whether the answer has begun.
    pub has_begun: bool,
    /// Whether a connection opens, so that the attempt counts as sent to the engine.
    pub is_connected: bool,
}

/// State of the attempts that one host made for a request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Number of attempts that an engine received.
    pub sent: u32,
    /// Number of connections that timed out.
    pub connect_timeouts: u32,
    /// Number of engines that rejected the request without running it.
    pub not_run: u32,
    /// Whether an engine may have run the request; if the host gives up, the request then counts as
    /// failed and not as rejected.
    pub may_have_run: bool,
    /// Whether the caller has received the beginning of the answer.
    pub is_passed_on: bool,
    /// Engines excluded from further attempts.
    pub excluded: Vec<usize>,
    /// Whether the next attempt is already paid for from the retry quota.
    pub is_retry_paid: bool,
    /// Attempt in flight, if any.
    pub current: Option<Attempt>,
}

/// A request in the simulation.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the request's kind in the scenario.
    pub kind: usize,
    /// Time at which the caller first sent the request.
    pub first_sent_at: Micros,
    /// Time at which the caller last sent the request.
    pub last_sent_at: Micros,
    /// Deadline after which the caller no longer waits.
    pub deadline: Micros,
    /// Index of the host that handles the request.
    pub host: usize,
    /// Number of times that the caller has come back.
    pub return_count: u32,
    /// Tokens of complete events that the caller has received.
    pub received: u32,
    /// Time at which the caller received the first event; `None` before.
    pub first_event_at: Option<Micros>,
    /// Time at which the caller received the latest event; `None` before.
    pub last_event_at: Option<Micros>,
    /// Longest pause between events so far.
    pub pause_max: Micros,
    /// Number of the latest attempt; replies to earlier attempts are recognized by it and ignored.
    pub serial: u16,
    /// Number of the latest scheduled check; earlier ones are recognized by it and ignored.
    pub check: u32,
    /// State of the attempts at the current host.
    pub attempts: Attempts,
    /// How the request ended; `None` while it is open.
    pub outcome: Option<Outcome>,
}

impl Request {
    /// Creates a request that its caller first sends at `first_sent_at`.
    #[must_use]
    pub fn new(kind: usize, first_sent_at: Micros, deadline: Micros, host: usize) -> Self {
        Self {
            kind,
            first_sent_at,
            last_sent_at: first_sent_at,
            deadline,
            host,
            return_count: 0,
            received: 0,
            first_event_at: None,
            last_event_at: None,
            pause_max: 0,
            serial: 0,
            check: 0,
            attempts: Attempts::default(),
            outcome: None,
        }
    }

    /// Records an event that the caller receives at time `at`.
    pub fn record_event(&mut self, tokens: u32, at: Micros) {
        let pause = self.last_event_at.map_or(0, |last_event_at| at.saturating_sub(last_event_at));
        self.pause_max = self.pause_max.max(pause);
        self.first_event_at = self.first_event_at.or(Some(at));
        self.last_event_at = Some(at);
        self.received += tokens;
    }

    /// Time since which the caller has received nothing.
    #[must_use]
    pub fn quiet_since(&self) -> Micros {
        self.last_event_at.unwrap_or_default().max(self.last_sent_at)
    }

    /// Returns the outcome of a request whose answer is complete.
    #[must_use]
    pub fn answer_outcome(&self, objective_ms: u64, gap_ms: u64) -> Outcome {
        let begun = self.first_event_at.unwrap_or(self.first_sent_at) - self.first_sent_at;
        match begun <= objective_ms * 1_000 && self.pause_max <= gap_ms * 1_000 {
            true => Outcome::InTime,
            false => Outcome::Late,
        }
    }
}
