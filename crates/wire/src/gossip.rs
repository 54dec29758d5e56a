//! Gossip between controls: the newest generation, counts of requests, and quarantines.
//!
//! Only one control of each failure domain, its reporter, is an origin of counts. So a digest
//! names as many origins as there are failure domains, no matter how many hosts each of them has.

use policy::burn::Series;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

use crate::evidence::Evidence;

domain! {
    /// Summary of the state that the sender has. The answer to it, a [`Delta`], holds what the
    /// sender lacks.
    #[derive(Default)]
    #[serde(default)]
    pub struct Digest {
        /// Incarnation of the sender: `HOST.random`, which is never used again.
        pub from: Name,
        /// Failure domain of the sender.
        pub failure_domain: Name,
        /// Address at which the sender is reached.
        pub address: Name,
        /// Generation in force at the sender.
        pub generation: u64,
        /// Milliseconds since that generation was confirmed as the newest, by the platform or by a
        /// chain of peers.
        pub unconfirmed_ms: u64,
        /// Hash of the sender's host list.
        pub hosts: u64,
        /// Revision of the platform's store at which that host list was read.
        pub hosts_revision: Revision,
        /// Hash of the sender's quarantine marks.
        pub marks: u64,
        /// Hash of the sender's state of all roll-outs.
        pub rollouts: u64,
        /// For each origin, the number of its newest [`News`] that the sender has.
        pub news: Vec<(Name, u64)>,
        /// Whether the answer shall list the entries that ask the answering control, with their
        /// generations.
        pub wants_entries: bool,
        /// Whether the answer shall hold the counts of service levels so far; set by a control that
        /// starts.
        pub wants_levels: bool,
        /// Counts from the sender's entries, which the reporter of its failure domain publishes.
        pub forwarded: Option<ForwardedCounts>,
    }

    /// Answer to a [`Digest`]: what the answering control has and the sender of the digest lacks.
    #[derive(Default)]
    #[serde(default)]
    pub struct Delta {
        /// Digest of the answering control, so that one exchange informs both sides.
        pub digest: Digest,
        /// News that the other side lacks: a bounded number, in order for each origin.
        pub news: Vec<News>,
        /// All quarantine marks, if the hash in the digest differs.
        pub marks: Vec<Mark>,
        /// State of all roll-outs, if the hash in the digest differs.
        pub rollouts: Vec<Rollout>,
        /// Entries that ask the answering control, with the generation in force at each, if the
        /// digest asks for them.
        pub entries: Vec<(Name, u64)>,
        /// Counts of service levels so far, if the digest asks for them.
        pub levels: Vec<(Name, Series)>,
        /// Change to the generation in force, if the other side is exactly one generation behind.
        pub change: Option<Change>,
    }

    /// The difference between a generation of the document and the one before.
    pub struct Change {
        /// The generation before the change.
        pub from: u64,
        /// Hash of the text of the new document.
        pub hash: u64,
        /// Members that differ.
        pub edits: Vec<Edit>,
    }

    /// A member that differs between two documents.
    pub struct Edit {
        /// Path of the member from the root of the document.
        pub path: Vec<String>,
        /// New value of the member as JSON text; none if the member was removed.
        pub value: Option<String>,
    }

    /// Counts on their way from a control to the reporter of its failure domain.
    pub struct ForwardedCounts {
        /// Sequence number within the sender's incarnation; counts that are sent again are counted
        /// once.
        pub number: u64,
        /// The counts.
        pub counts: Counts,
    }

    /// A row of the platform's table of roll-outs.
    pub struct Rollout {
        /// Name of the roll-out.
        pub rollout: Name,
        /// Version of the row; a higher one is newer.
        pub version: Revision,
        /// Value of the row.
        pub value: String,
    }

    /// Counts that one origin publishes, with a sequence number.
    pub struct News {
        /// Control incarnation that publishes the counts.
        pub origin: Name,
        /// Sequence number within the origin: 1, 2, 3 …
        pub number: u64,
        /// The published counts.
        pub counts: Counts,
    }

    /// Counts of what the entries of one failure domain observed in one interval.
    #[derive(Default)]
    #[serde(default)]
    pub struct Counts {
        /// Generation in force at the origin.
        pub generation: u64,
        /// Counts by version and task.
        pub evidence: Vec<Evidence>,
        /// Counts by service level.
        pub levels: Vec<LevelCounts>,
    }

    /// Counts of the requests of one service level.
    pub struct LevelCounts {
        /// Name of the service level in the document.
        pub name: Name,
        /// Number of requests that were answered in time.
        pub good: u64,
        /// Number of all requests.
        pub total: u64,
    }

    /// Quarantine of a version. It applies at once where it is imposed and spreads by gossip;
    /// gossip never lifts it.
    pub struct Mark {
        /// Version in quarantine.
        pub version: Name,
        /// Generation in which the quarantine was imposed. The mark is void as soon as the
        /// version's `cleared` in the document reaches this generation.
        pub generation: u64,
        /// Reason for the quarantine, as a text for operators.
        pub reason: String,
    }
}
