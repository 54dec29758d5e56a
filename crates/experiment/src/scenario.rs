//! What an experiment plays, as it stands in its file.

mod check;

use policy::domain;
use wire::fault::Fault;
use wire::read;

use crate::way::Way;

domain! {
    /// All of it.
    pub struct Scenario {
        /// Hosts of the router.
        pub hosts: u32,
        /// Failure domains that hosts and engines are dealt out to.
        #[serde(default = "four")]
        pub domains: u32,
        /// For how long requests come in, in seconds.
        pub length_s: u32,
        /// One run of each way for each.
        pub seeds: Vec<u64>,
        /// Requests a second, of all kinds together.
        pub load_per_s: f64,
        /// The engines.
        pub engines: Engines,
        /// Time on the way.
        #[serde(default)]
        pub network: Network,
        /// How often a request may be sent again.
        #[serde(default)]
        pub repeats: Repeats,
        /// Times that a caller comes back after a rejection or a failure, at most.
        #[serde(default = "one")]
        pub returns: u32,
        /// The kinds of requests.
        pub kinds: Vec<Kind>,
        /// What goes wrong, and when.
        #[serde(default)]
        pub causes: Vec<Cause>,
        /// What is compared.
        pub ways: Vec<Way>,
    }

    /// The engines, all alike.
    pub struct Engines {
        /// How many.
        pub count: u32,
        /// Requests that each works on at once.
        pub slots: u32,
        /// Requests that may wait at each beyond those.
        pub queue: u32,
        /// Tokens that its memory holds.
        pub memory_tokens: u32,
        /// Time of a step with no request in it, in milliseconds.
        pub step_ms: f64,
        /// What each request that generates adds to a step, in milliseconds.
        pub step_ms_per_run: f64,
        /// Prompt tokens that it reads in a millisecond.
        pub read_tokens_per_ms: f64,
        /// Prompt tokens that it reads between two steps, at most.
        pub chunk_tokens: u32,
        /// Tokens of an event.
        pub event_tokens: u32,
        /// Whether a request that waits preempts a less urgent one.
        #[serde(default = "yes")]
        pub preempts: bool,
        /// Part of a preempted request's tokens that its caches still hold when it runs again.
        #[serde(default)]
        pub kept: f64,
        /// Whether it drops a request when the connection closes.
        #[serde(default = "yes")]
        pub drops: bool,
        /// What it takes while it is cold after a start; none if it is warm at once.
        #[serde(default)]
        pub warmup: Option<Warmup>,
    }

    /// What an engine that has just started takes.
    #[derive(Copy)]
    pub struct Warmup {
        /// Requests a second, from all hosts together.
        pub per_second: f64,
        /// Until it is warm, in milliseconds.
        pub ms: u64,
    }

    /// Time on the way.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Network {
        /// Between hosts and engines, one way, in milliseconds.
        pub engine_ms: f64,
        /// Between hosts and callers, one way, in milliseconds.
        pub caller_ms: f64,
        /// To open a connection, beyond the way there and back, in milliseconds.
        pub open_ms: f64,
        /// From an engine's start until hosts have it on their lists, in milliseconds.
        pub list_ms: u64,
        /// From an engine's end until it is off their lists, in milliseconds.
        pub lapse_ms: u64,
    }

    /// How often a request may be sent again.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Repeats {
        /// Repeats for each request.
        pub share: f64,
        /// Repeats beyond that, of each host.
        pub spare: f64,
        /// The window in which they are counted, in milliseconds.
        pub window_ms: u64,
        /// Engines that one request may be sent to.
        pub attempts_max: u32,
    }

    /// A kind of requests.
    pub struct Kind {
        /// For people.
        pub name: String,
        /// Its part of the load, in relation to the others'.
        pub weight: f64,
        /// Tokens of its prompts.
        pub prompt_tokens: u32,
        /// Tokens of its answers.
        pub answer_tokens: u32,
        /// Time to the first event within which an answer is in time, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between events of an answer in time, in milliseconds.
        pub gap_ms: u64,
        /// Longest time that its callers wait, in milliseconds.
        pub budget_ms: u64,
        /// Its urgency; 0 is the highest.
        #[serde(default)]
        pub priority: u8,
    }

    /// Something that goes wrong for a time.
    #[derive(Copy)]
    pub struct Cause {
        /// What.
        pub what: What,
        /// From then on, in seconds.
        pub at_s: f64,
        /// For so long, in seconds.
        pub for_s: f64,
        /// Part of the engines that it concerns.
        #[serde(default = "half")]
        pub share: f64,
        /// How many times slower the engines are, or larger the traffic.
        #[serde(default = "twice")]
        pub times: f64,
    }

    /// What goes wrong.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum What {
        /// A part of the engines ends, and starts again empty.
        Lost,
        /// A part of the engines has a version that is slower.
        Slow,
        /// The hosts of the first failure domain reach no engines of others.
        Cut,
        /// The traffic is larger.
        Traffic,
    }
}

impl Default for Network {
    fn default() -> Self {
        Self { engine_ms: 0.9, caller_ms: 3.0, open_ms: 1.0, list_ms: 200, lapse_ms: 3_000 }
    }
}

impl Default for Repeats {
    fn default() -> Self {
        Self { share: 0.9, spare: 2.0, window_ms: 10_000, attempts_max: 3 }
    }
}

impl Kind {
    /// Pause without an event after which a caller abandons a stream, in milliseconds.
    #[must_use]
    pub fn patience_ms(&self) -> u64 {
        2_000.max(4 * self.objective_ms).max(8 * self.gap_ms)
    }
}

impl Scenario {
    /// Reads a scenario and checks all of it.
    ///
    /// # Errors
    /// Every fault found, each with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let value = read::parse_json(text, &mut faults);
        let value = value.map_err(|error| vec![Fault::at("", error.to_string())])?;
        let (scenario, mended) = read::deserialize_repaired::<Self>(value, &mut faults);
        if let Some(scenario) = &scenario {
            faults.extend(check::faults(scenario, &mended));
        }
        faults.sort_by(|one, other| one.path.cmp(&other.path));
        match scenario {
            Some(scenario) if faults.is_empty() => Ok(scenario),
            _ => Err(faults),
        }
    }

    /// Requests a second that all engines together work off with every slot in use.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let engines = &self.engines;
        let slots = f64::from(engines.slots);
        let token_ms = (engines.step_ms + engines.step_ms_per_run * slots) / slots;
        let weights: f64 = self.kinds.iter().map(|kind| kind.weight).sum();
        let work = self.kinds.iter().map(|kind| {
            let read_ms = f64::from(kind.prompt_tokens) / engines.read_tokens_per_ms;
            kind.weight * (read_ms + f64::from(kind.answer_tokens) * token_ms)
        });
        f64::from(engines.count) * 1_000.0 * weights / work.sum::<f64>()
    }

    /// When the last cause ends, in seconds; 0 without causes.
    #[must_use]
    pub fn causes_end_s(&self) -> f64 {
        self.causes.iter().map(|cause| cause.at_s + cause.for_s).fold(0.0, f64::max)
    }
}

fn one() -> u32 {
    1
}

fn four() -> u32 {
    4
}

fn half() -> f64 {
    0.5
}

fn twice() -> f64 {
    2.0
}

fn yes() -> bool {
    true
}
