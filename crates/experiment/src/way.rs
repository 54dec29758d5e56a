//! Ways to decide: one enum for each decision, the router's own beside others.

use policy::domain;
use policy::precedence::{self, Request};

domain! {
    /// One way, as a whole.
    #[derive(Default)]
    #[serde(default)]
    pub struct Way {
        /// For tables.
        pub name: String,
        /// How an engine is picked.
        pub pick: Pick,
        /// In which order engines take requests.
        pub order: Order,
        /// How often a request is sent again.
        pub repeats: Repeats,
        /// When callers are asked to come back.
        pub returns: Returns,
    }

    /// How an engine is picked.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Pick {
        /// As the router does: the least expected time to the beginning of the answer.
        #[default]
        Ours,
        /// Any.
        Random,
        /// The least load that the host believes.
        LeastLoad,
        /// The less loaded of two drawn ones, as the host believes.
        TwoChoices,
    }

    /// In which order engines take requests, and which preempt others.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Order {
        /// As the router names it: the shorter the prompt, the sooner.
        #[default]
        Ours,
        /// As they come: the router names none.
        Came,
    }

    /// How often a request is sent again.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeats {
        /// As the router does: within the share of the service's requests.
        #[default]
        Ours,
        /// Never once an engine has been sent to.
        Off,
    }

    /// When the caller of a full service is asked to come back.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Returns {
        /// As the router does: after once to twice the mean time of a request.
        #[default]
        Ours,
        /// Spread over twice the expected time to the beginning of an answer.
        Backlog,
    }
}

/// The place that engines give a request whose host names none.
const UNNAMED: u8 = 5;
/// Least time after which a caller comes back that is asked to by backlog, in milliseconds.
const BACKLOG_MIN_MS: f64 = 100.0;

impl Order {
    /// The place of a request among others; 0 goes first.
    #[must_use]
    pub fn place(self, request: &Request) -> u8 {
        match self {
            Self::Ours => precedence::rank(request),
            Self::Came => UNNAMED,
        }
    }
}

impl Returns {
    /// After how many milliseconds a caller is asked to come back. `service_ms` is the mean time of
    /// a request, `backlog_ms` the expected time to the beginning of an answer, `draw` uniform.
    #[must_use]
    pub fn after_ms(self, service_ms: f64, backlog_ms: f64, draw: f64) -> u64 {
        match self {
            Self::Ours => {
                gateway::refuse::busy(service_ms, draw).retry_after_ms.unwrap_or_default()
            }
            Self::Backlog => (2.0 * backlog_ms * draw).max(BACKLOG_MIN_MS) as u64,
        }
    }
}
