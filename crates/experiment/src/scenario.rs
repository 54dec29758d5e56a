//! The scenario of an experiment, as written in its file.

mod check;

use policy::domain;
use wire::fault::Fault;
use wire::read;

use crate::way::Way;

domain! {
    /// A whole scenario.
    pub struct Scenario {
        /// Number of hosts of the router.
        pub hosts: u32,
        /// Number of failure domains; hosts and engines are assigned to them in turn.
        #[serde(default = "four")]
        pub domains: u32,
        /// Duration for which requests arrive and are counted, in seconds.
        pub length_s: u32,
        /// Random seeds; each strategy runs once per seed.
        pub seeds: Vec<u64>,
        /// Arrival rate of all kinds together, in requests per second.
        pub load_per_s: f64,
        /// Model of the engines.
        pub engines: Engines,
        /// Network latencies.
        #[serde(default)]
        pub network: Network,
        /// Limits of retries.
        #[serde(default)]
        pub repeats: Repeats,
        /// Maximum number of times that a caller comes back after a rejection or failure.
        #[serde(default = "one")]
        pub returns: u32,
        /// Kinds of requests, drawn by weight.
        pub kinds: Vec<Kind>,
        /// Causes of overload, with their times.
        #[serde(default)]
        pub causes: Vec<Cause>,
        /// Strategies to compare.
        pub ways: Vec<Way>,
    }

    /// Settings of the engines, which are all alike.
    pub struct Engines {
        /// Number of engines.
        pub count: u32,
        /// Number of requests that each engine runs at once.
        pub slots: u32,
        /// Number of requests that may wait at each engine in addition to those in slots.
        pub queue: u32,
        /// Memory of each engine, in tokens.
        pub memory_tokens: u32,
        /// Fixed duration of a step, without what its requests add, in milliseconds.
        pub step_ms: f64,
        /// Time that each generating request adds to a step, in milliseconds.
        pub step_ms_per_run: f64,
        /// Speed at which an engine reads prompts, in tokens per millisecond.
        pub read_tokens_per_ms: f64,
        /// Maximum number of prompt tokens read between two steps.
        pub chunk_tokens: u32,
        /// Number of answer tokens per event.
        pub event_tokens: u32,
        /// Whether a waiting request preempts a less urgent one.
        #[serde(default = "yes")]
        pub preempts: bool,
        /// Fraction of a preempted request's tokens, from 0 to 1, that caches still hold when it
        /// runs again.
        #[serde(default)]
        pub kept: f64,
        /// Whether an engine cancels a request when its connection closes.
        #[serde(default = "yes")]
        pub drops: bool,
        /// Rate limit while an engine is cold after a start; `None` if it is warm at once.
        #[serde(default)]
        pub warmup: Option<Warmup>,
    }

    /// Rate limit of an engine that has just started.
    #[derive(Copy)]
    pub struct Warmup {
        /// Requests per second that a cold engine accepts, from all hosts together.
        pub per_second: f64,
        /// Duration from the start until the engine is warm, in milliseconds.
        pub ms: u64,
    }

    /// Network latencies.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Network {
        /// One-way latency between hosts and engines, in milliseconds.
        pub engine_ms: f64,
        /// One-way latency between hosts and callers, in milliseconds.
        pub caller_ms: f64,
        /// Time to open a connection in addition to the round trip, in milliseconds.
        pub open_ms: f64,
        /// Delay from an engine's start until hosts list it, in milliseconds.
        pub list_ms: u64,
        /// Delay from an engine's end until hosts no longer list it, in milliseconds.
        pub lapse_ms: u64,
    }

    /// Limits of retries.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Repeats {
        /// Retries allowed per request received in the window.
        pub share: f64,
        /// Retries that each host may send in addition to the share.
        pub spare: f64,
        /// Length of the window in which requests and retries are counted, in milliseconds.
        pub window_ms: u64,
        /// Maximum number of engines that one request may be sent to.
        pub attempts_max: u32,
    }

    /// A kind of requests with common sizes and objectives.
    pub struct Kind {
        /// Name for readers of the file.
        pub name: String,
        /// Weight of this kind in the load, relative to the other kinds.
        pub weight: f64,
        /// Prompt length in tokens.
        pub prompt_tokens: u32,
        /// Answer length in tokens.
        pub answer_tokens: u32,
        /// Longest time to the first event for an answer to be in time, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between events for an answer to be in time, in milliseconds.
        pub gap_ms: u64,
        /// Longest time that callers wait for a request, in milliseconds.
        pub budget_ms: u64,
        /// Urgency of the requests; 0 is the highest.
        #[serde(default)]
        pub priority: u8,
    }

    /// A temporary fault or surge.
    #[derive(Copy)]
    pub struct Cause {
        /// Type of the cause.
        pub what: What,
        /// Start time in seconds.
        pub at_s: f64,
        /// Duration in seconds.
        pub for_s: f64,
        /// Fraction of the engines affected, from 0 to 1; used by `lost` and `slow`.
        #[serde(default = "half")]
        pub share: f64,
        /// Factor by which engines are slower (`slow`) or traffic is larger (`traffic`).
        #[serde(default = "twice")]
        pub times: f64,
    }

    /// Type of a cause.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum What {
        /// Some engines stop, and start again empty when the cause ends.
        Lost,
        /// Some engines run a slower version.
        Slow,
        /// Hosts of the first failure domain can't reach engines of the others.
        Cut,
        /// The arrival rate is larger.
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
    /// Time without an event after which a caller abandons a stream, in milliseconds.
    #[must_use]
    pub fn patience_ms(&self) -> u64 {
        2_000.max(4 * self.objective_ms).max(8 * self.gap_ms)
    }
}

impl Scenario {
    /// Parses and checks a scenario.
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

    /// Requests per second that all engines together complete with every slot in use.
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

    /// End of the last cause in seconds; 0 without causes.
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
