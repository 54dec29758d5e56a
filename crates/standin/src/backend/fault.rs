//! What can go wrong with a backend server, and what that does to one request.

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

use crate::draw;
use crate::fault::Outage;

domain! {
    /// Faults of a backend server; all off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether it takes requests.
        pub down: Outage,
        /// It says in its load and its answers that it is leaving.
        pub draining: bool,
        /// Extra time before each answer, in milliseconds.
        pub delay_ms: u64,
        /// Versions that have turned bad, with their share of good answers from now on.
        pub bad: BTreeMap<Name, f64>,
        /// Share of requests answered with 500 after they began.
        pub error: f64,
        /// Share of requests answered with the header and body of the request before them.
        pub crossed: f64,
        /// Answers come without the request's id.
        pub no_echo: bool,
        /// The connection goes silent after this many bytes of the body; 0 is before the header.
        pub silent_after: Option<u64>,
        /// The connection is cut after this many bytes of the body; 0 is before the header.
        pub cut_after: Option<u64>,
        /// `error`, `crossed`, `silent_after` and `cut_after` touch only this many next requests.
        /// Counts down.
        pub only: Option<u64>,
    }
}

/// What the faults do to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Answer with 500.
    pub error: bool,
    /// Answer with another request's id.
    pub crossed: bool,
    /// Answer without an id.
    pub no_echo: bool,
    /// Where the connection goes silent.
    pub silent_after: Option<u64>,
    /// Where the connection is cut.
    pub cut_after: Option<u64>,
}

impl Faults {
    /// What becomes of a request; uses up one of `only`.
    pub fn plan(&mut self, seed: u64, request: &str) -> Plan {
        let drawn = |label: &str, share: f64| draw::uniform(seed, &[label, request]) < share;
        let plan = match self.only {
            Some(0) => Plan::default(),
            _ => Plan {
                error: drawn("error", self.error),
                crossed: drawn("crossed", self.crossed),
                no_echo: self.no_echo,
                silent_after: self.silent_after,
                cut_after: self.cut_after,
            },
        };
        if plan != Plan::default() {
            self.only = self.only.map(|left| left.saturating_sub(1));
        }
        plan
    }
}
