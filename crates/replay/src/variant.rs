//! The policies that a trace can be replayed with: the router's own, and baselines to compare
//! it with.

use policy::domain;

domain! {
    /// Rule that selects the model version for a request.
    #[derive(Copy, Eq, Default)]
    pub enum Selection {
        /// The cheapest plan that meets the task's quality target.
        #[default]
        Planned,
        /// Always the version with the highest expected quality.
        Best,
        /// Always the cheapest version.
        Cheapest,
        /// All versions, with equal shares of the requests.
        Split,
    }

    /// Rule that selects the backend server for a call.
    #[derive(Copy, Eq, Default)]
    pub enum Placement {
        /// Session affinity with bounded load, otherwise the better of two random servers.
        #[default]
        Bounded,
        /// A random server that takes work.
        Random,
        /// The server with the lowest reported load.
        LeastReported,
    }

    /// Test that detects a version that has turned bad.
    #[derive(Copy, Eq, Default)]
    pub enum Detection {
        /// CUSUM test.
        #[default]
        Cusum,
        /// Likelihood ratio test that restarts.
        Likelihood,
        /// No test: a version that has turned bad stays in use.
        None,
    }

    /// A complete policy; the default is the router's own.
    #[derive(Copy, Eq, Default)]
    pub struct Variant {
        /// Rule that selects the model version for a request.
        pub selection: Selection,
        /// Rule that selects the backend server for a call.
        pub placement: Placement,
        /// Test that detects a version that has turned bad.
        pub detection: Detection,
    }
}

/// The policy names that `--policy` accepts.
pub const NAMES: [&str; 8] = [
    "planned",
    "best",
    "cheapest",
    "split",
    "likelihood",
    "undetected",
    "random-server",
    "least-reported",
];

impl Variant {
    /// Looks up a policy by one of [`NAMES`]; `None` for any other name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        let ours = Self::default();
        let choose = |selection| Self { selection, ..ours };
        Some(match name {
            "planned" => ours,
            "best" => choose(Selection::Best),
            "cheapest" => choose(Selection::Cheapest),
            "split" => choose(Selection::Split),
            "likelihood" => Self { detection: Detection::Likelihood, ..ours },
            "undetected" => Self { detection: Detection::None, ..ours },
            "random-server" => Self { placement: Placement::Random, ..ours },
            "least-reported" => Self { placement: Placement::LeastReported, ..ours },
            _ => return None,
        })
    }
}
