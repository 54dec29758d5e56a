//! What controls tell each other about the world: newest generation, evidence, quarantines.

use policy::domain;
use policy::name::Name;

use crate::evidence::{Evidence, Outcome};

domain! {
    /// What the asker has; the answer holds what it lacks.
    #[derive(Default)]
    pub struct Digest {
        /// The asker's incarnation: `HOST/random`, unique for all time.
        pub from: Name,
        /// The asker's host.
        pub host: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Where it is reached.
        pub address: Name,
        /// The generation in force there.
        pub generation: u64,
        /// Milliseconds since it was confirmed by the platform.
        pub unconfirmed_ms: u64,
        /// For each origin, the number of its newest piece of news held.
        pub news: Vec<(Name, u64)>,
    }

    /// What the asked has and the asker lacks.
    #[derive(Default)]
    pub struct Delta {
        /// The asked one's own digest, so one exchange informs both.
        pub digest: Digest,
        /// Pieces that the asker lacks, a bounded number of them, in order for each origin.
        pub news: Vec<News>,
    }

    /// One numbered piece of news of one control incarnation.
    pub struct News {
        /// Whose.
        pub origin: Name,
        /// 1, 2, 3 …
        pub number: u64,
        /// What.
        pub item: Item,
    }

    /// Kinds of news.
    pub enum Item {
        /// Counts that its entry hosts reported.
        Evidence(Vec<Evidence>),
        /// Outcomes for the service levels.
        Outcomes(Vec<Outcome>),
        /// A version is under quarantine within a generation; never taken back by gossip.
        Quarantine {
            /// The version.
            version: Name,
            /// Only an operator's document with a higher generation clears it.
            generation: u64,
            /// Why, for people.
            reason: String,
        },
    }
}
