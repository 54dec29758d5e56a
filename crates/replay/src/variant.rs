//! The policies a trace can be replayed with: ours, and those it is measured against.

use policy::domain;

domain! {
    /// How versions are chosen.
    #[derive(Copy, Eq, Default)]
    pub enum Selection {
        /// The cheapest plan that meets the target.
        #[default]
        Planned,
        /// Always the version of highest expected quality.
        Best,
        /// Always the cheapest version.
        Cheapest,
        /// All versions in equal shares.
        Split,
    }

    /// How backend servers are chosen.
    #[derive(Copy, Eq, Default)]
    pub enum Placement {
        /// Affinity with bounded load, else two choices.
        #[default]
        Bounded,
        /// By draw.
        Random,
        /// The one of the lowest reported load.
        LeastReported,
    }

    /// How a version turned bad is found.
    #[derive(Copy, Eq, Default)]
    pub enum Detection {
        /// By the CUSUM.
        #[default]
        Cusum,
        /// By the likelihood ratio that starts over.
        Likelihood,
        /// Not at all.
        None,
    }

    /// One policy.
    #[derive(Copy, Eq, Default)]
    pub struct Variant {
        /// How versions are chosen.
        pub selection: Selection,
        /// How backend servers are chosen.
        pub placement: Placement,
        /// How a version turned bad is found.
        pub detection: Detection,
    }
}

/// The names that `--policy` takes.
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
    /// By its name, one of [`NAMES`].
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
