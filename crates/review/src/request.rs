//! A request that has ended, as its host logged it.

use policy::domain;
use policy::name::Name;

use crate::line::Line;

/// Statuses that promise that a request has not run.
const NOT_RUN_OUTCOMES: [&str; 4] =
    ["Refused(408)", "Refused(421)", "Refused(429)", "Refused(503)"];

domain! {
    /// How a request ended for its caller.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// Answered within the objective of its route.
        InTime,
        /// Answered later.
        Late,
        /// Refused, and not run.
        Refused,
        /// Answered with a failure of ours, or broken off.
        Failed,
        /// Its caller left before the end.
        CallerGone,
    }

    /// A request that has ended.
    pub struct Request {
        /// When it ended, in seconds since the epoch.
        pub at: f64,
        /// The host that took it.
        pub host: Name,
        /// Its route.
        pub route: Name,
        /// The backend server that it was last sent to; empty if to none.
        pub backend: Name,
        /// The model that answered last; empty for plain services.
        pub model: Name,
        /// Tokens of its prompt.
        pub prompt: u64,
        /// Backend servers that it was sent to.
        pub sent: u64,
        /// Connections that did not open.
        pub unsent: u64,
        /// A smaller model's answer was dropped for a larger one's.
        pub is_lifted: bool,
        /// Time to its first event, or to the end of a plain answer, in milliseconds.
        pub first_ms: u64,
        /// Longest pause between two events that were passed on, in milliseconds.
        pub pause_ms: u64,
        /// Time from the last sending to the head of the answer, as expected, in milliseconds.
        pub expected_ms: u64,
        /// The same as it was.
        pub head_ms: u64,
        /// Time to the first event, or to the end of a plain answer, that is of full use.
        pub objective_ms: u64,
        /// Pause that leaves a stream of full use, in milliseconds; 0 if the route sets none.
        pub gap_ms: u64,
        /// How it ended.
        pub outcome: Outcome,
    }
}

impl Request {
    /// Reads the line that ends a request; none if it is another line.
    #[must_use]
    pub fn read(line: &Line) -> Option<Self> {
        if line.text("event") != "request ended" {
            return None;
        }
        let is_stream = line.number("events") > 0;
        let mut request = Self {
            at: line.at(),
            host: Name::from(line.text("host")),
            route: Name::from(line.text("route")),
            backend: Name::from(line.text("backend")),
            model: Name::from(line.text("model")),
            prompt: line.number("prompt"),
            sent: line.number("sent"),
            unsent: line.number("unsent"),
            is_lifted: line.0.get("doubted").is_some_and(|doubted| doubted.is_u64()),
            first_ms: line.number(if is_stream { "first_ms" } else { "ms" }),
            pause_ms: line.number("pause_ms"),
            expected_ms: line.number("expected_ms"),
            head_ms: line.number("head_ms"),
            objective_ms: line.number("objective_ms"),
            gap_ms: line.number("gap_ms"),
            outcome: Outcome::Failed,
        };
        request.outcome = match line.text("outcome") {
            "Answered" if request.is_late() => Outcome::Late,
            "Answered" => Outcome::InTime,
            "CallerGone" => Outcome::CallerGone,
            refused if NOT_RUN_OUTCOMES.contains(&refused) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        Some(request)
    }

    /// The first event, or a pause between two, came later than the route's objective asks.
    fn is_late(&self) -> bool {
        self.first_ms > self.objective_ms || self.has_long_pause()
    }

    /// A pause between two events was longer than leaves a stream of full use.
    #[must_use]
    pub fn has_long_pause(&self) -> bool {
        self.gap_ms > 0 && self.pause_ms > self.gap_ms
    }
}
