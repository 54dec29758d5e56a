//! Strategies to compare: one enum per decision, each with the router's own strategy and
//! alternatives.

use policy::domain;
use policy::precedence::{self, Request};

domain! {
    /// A strategy: one choice for each decision.
    #[derive(Default)]
    #[serde(default)]
    pub struct Way {
        /// Name shown in tables and pictures.
        pub name: String,
        /// How a host picks an engine.
        pub pick: Pick,
        /// Order in which engines run requests.
        pub order: Order,
        /// How often hosts retry a request.
        pub repeats: Repeats,
        /// When callers are asked to come back.
        pub returns: Returns,
    }

    /// How a host picks an engine.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Pick {
        /// As the router: the engine with the least expected time to the beginning of the answer.
        #[default]
        Ours,
        /// A random engine.
        Random,
        /// The engine with the least load, as the host believes.
        LeastLoad,
        /// The less loaded of two random engines, as the host believes.
        TwoChoices,
    }

    /// Order in which engines run requests, and which requests preempt others.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Order {
        /// As the router ranks them: shorter prompts first.
        #[default]
        Ours,
        /// In order of arrival: the router sends no rank.
        Came,
    }

    /// How often hosts retry a request.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeats {
        /// As the router: within a share of the requests received.
        #[default]
        Ours,
        /// No retry after an engine has received the request.
        Off,
    }

    /// When callers are asked to come back if the engines are full.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Returns {
        /// As the router: after one to two times the mean time of a request.
        #[default]
        Ours,
        /// At a random time within twice the expected time to the beginning of an answer.
        Backlog,
    }
}

/// Rank that engines give a request without a rank.
const DEFAULT_RANK: u8 = 5;
/// Minimum time after which a caller is asked to come back under `Backlog`, in milliseconds.
const BACKLOG_MIN_MS: f64 = 100.0;

impl Order {
    /// Rank of a request; engines run lower ranks first.
    #[must_use]
    pub fn rank(self, request: &Request) -> u8 {
        match self {
            Self::Ours => precedence::rank(request),
            Self::Came => DEFAULT_RANK,
        }
    }
}

impl Returns {
    /// Milliseconds after which a caller is asked to come back. `service_ms` is the mean time of a
    /// request, `backlog_ms` the expected time to the beginning of an answer, and `draw` is uniform
    /// from 0 to 1.
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
