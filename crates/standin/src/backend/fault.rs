//! Faults of a backend server, and the draw of those that touch one request.

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

use crate::draw;
use crate::fault::Outage;

domain! {
    /// The faults of a backend server; all are off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether the server is out of service, and how it shows.
        pub down: Outage,
        /// Whether the server says in its load and its answers that it is leaving.
        pub draining: bool,
        /// Extra time before each answer, in milliseconds.
        pub delay_ms: u64,
        /// Versions that have turned bad, with the share of good answers (0 to 1) that replaces
        /// their usual one.
        pub bad: BTreeMap<Name, f64>,
        /// Share of requests (0 to 1) that are answered with 500 after they began to run.
        pub error: f64,
        /// Share of requests (0 to 1) that get the header and body of the answer to the request
        /// received before them.
        pub crossed: f64,
        /// Whether answers lack the request's id.
        pub no_echo: bool,
        /// The connection goes silent after this many bytes of an answer's body; 0 is before the
        /// header, `None` is never.
        pub silent_after: Option<u64>,
        /// The connection is cut after this many bytes of an answer's body; 0 is before the header,
        /// `None` is never.
        pub cut_after: Option<u64>,
        /// Number of requests that `error`, `crossed`, `no_echo`, `silent_after` and `cut_after`
        /// still touch. Counts down; `None` is no limit.
        pub only: Option<u64>,
    }
}

/// The faults that touch one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestFaults {
    /// Whether the answer is status 500.
    pub error: bool,
    /// Whether the answer is that to another request.
    pub crossed: bool,
    /// Whether the answer lacks the request's id.
    pub no_echo: bool,
    /// Bytes of the body after which the connection goes silent.
    pub silent_after: Option<u64>,
    /// Bytes of the body after which the connection is cut.
    pub cut_after: Option<u64>,
}

impl Faults {
    /// Draws the faults that touch a request, and counts `only` down if there is one. The draw
    /// depends on nothing but the seed and the request's id.
    pub fn draw(&mut self, seed: u64, request: &str) -> RequestFaults {
        let is_drawn = |label: &str, share: f64| draw::uniform(seed, &[label, request]) < share;
        let faults = match self.only {
            Some(0) => RequestFaults::default(),
            _ => RequestFaults {
                error: is_drawn("error", self.error),
                crossed: is_drawn("crossed", self.crossed),
                no_echo: self.no_echo,
                silent_after: self.silent_after,
                cut_after: self.cut_after,
            },
        };
        if faults != RequestFaults::default() {
            self.only = self.only.map(|remaining| remaining.saturating_sub(1));
        }
        faults
    }
}
