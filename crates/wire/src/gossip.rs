//! What controls tell each other about the world: newest generation, counts, quarantines.
//!
//! Only one control of each failure domain, its reporter, is an origin of counts. So a digest
//! names as many origins as there are failure domains, however many hosts each of them has.

use policy::burn::Series;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

use crate::evidence::Evidence;

domain! {
    /// What the asker has; the answer holds what it lacks.
    #[derive(Default)]
    #[serde(default)]
    pub struct Digest {
        /// The asker's incarnation: `HOST.random`, unique for all time.
        pub from: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Where it is reached.
        pub address: Name,
        /// The generation in force there.
        pub generation: u64,
        /// Milliseconds since it was confirmed, by the platform or by a chain of peers.
        pub unconfirmed_ms: u64,
        /// Hash of the host list held.
        pub hosts: u64,
        /// When the platform made that list, in milliseconds since the epoch.
        pub hosts_revision: Revision,
        /// Hash of the quarantine marks held.
        pub marks: u64,
        /// Hash of where the roll-outs stand.
        pub rollouts: u64,
        /// For each origin, the number of its newest piece of news held.
        pub news: Vec<(Name, u64)>,
        /// Whether the answer shall say where the entries asking there stand.
        pub wants_entries: bool,
        /// Whether the answer shall hold the counts of service levels so far, as a starting
        /// control asks.
        pub wants_levels: bool,
        /// What the asker's entries saw, for the reporter of its failure domain to publish.
        pub forwarded: Option<ForwardedCounts>,
    }

    /// What the asked has and the asker lacks.
    #[derive(Default)]
    #[serde(default)]
    pub struct Delta {
        /// The asked one's own digest, so one exchange informs both.
        pub digest: Digest,
        /// Pieces that the asker lacks, a bounded number of them, in order for each origin.
        pub news: Vec<News>,
        /// All marks held, if the asker's hash differs.
        pub marks: Vec<Mark>,
        /// Where all roll-outs stand, if the asker's hash differs.
        pub rollouts: Vec<Rollout>,
        /// The entries asking there and the generation in force in each, if the asker wants them.
        pub entries: Vec<(Name, u64)>,
        /// Counts of service levels so far, if the asker wants them.
        pub levels: Vec<(Name, Series)>,
        /// The change to the generation in force, if the asker is just one behind.
        pub change: Option<Change>,
    }

    /// A generation as the difference from the one before.
    pub struct Change {
        /// The one before.
        pub from: u64,
        /// Hash of the new document's text.
        pub hash: u64,
        /// What differs.
        pub edits: Vec<Edit>,
    }

    /// One member that differs.
    pub struct Edit {
        /// Where it is, from the document's root.
        pub path: Vec<String>,
        /// Its new value as JSON text; none if it is gone.
        pub value: Option<String>,
    }

    /// Counts on their way to a reporter.
    pub struct ForwardedCounts {
        /// Rises with each piece of this incarnation, so a repeated one counts once.
        pub number: u64,
        /// The counts.
        pub counts: Counts,
    }

    /// A roll-out's row of the platform's table.
    pub struct Rollout {
        /// The roll-out.
        pub rollout: Name,
        /// The row's version; the higher is the newer.
        pub version: Revision,
        /// The row's value.
        pub value: String,
    }

    /// One numbered piece of news of one control incarnation.
    pub struct News {
        /// Whose.
        pub origin: Name,
        /// 1, 2, 3 …
        pub number: u64,
        /// What.
        pub counts: Counts,
    }

    /// What the entries of one failure domain saw in one interval.
    #[derive(Default)]
    #[serde(default)]
    pub struct Counts {
        /// The generation in force at the origin.
        pub generation: u64,
        /// Of each version and task.
        pub evidence: Vec<Evidence>,
        /// Of each service level.
        pub levels: Vec<LevelCounts>,
    }

    /// Requests of one service level.
    pub struct LevelCounts {
        /// The service level's name in the document.
        pub name: Name,
        /// Answered in time.
        pub good: u64,
        /// All.
        pub total: u64,
    }

    /// A version's quarantine: local at once, spread by gossip, never taken back by it.
    pub struct Mark {
        /// The version.
        pub version: Name,
        /// The generation it was judged in; void once the document's `cleared` reaches it.
        pub generation: u64,
        /// Why, for people.
        pub reason: String,
    }
}
