//! What a shard's owner and deputy say to each other.

use policy::domain;
use policy::name::Name;

domain! {
    /// Who holds a shard: one row of the platform's table.
    #[derive(Default)]
    pub struct Holder {
        /// Rises by one with each change of hands.
        pub epoch: u64,
        /// Control incarnation that answers.
        pub owner: Name,
        /// Control incarnation that must have recorded first; empty for none.
        pub deputy: Name,
        /// Set by a cold takeover: keyed requests are refused until then (platform time).
        pub closed_until_ms: u64,
    }

    /// One record of a shard, in the order the owner made them.
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A key's one run.
        Claim {
            /// Account and key, joined.
            key: Name,
            /// The request.
            request: Name,
            /// When it may be forgotten, by the owner's clock.
            forget_at: policy::time::Millis,
        },
        /// A session's version.
        Pin {
            /// Account and session, joined.
            key: Name,
            /// The version.
            version: Name,
            /// When it may be forgotten.
            forget_at: policy::time::Millis,
        },
    }

    /// Records on their way from owner to deputy.
    pub struct Append {
        /// The failure domain.
        pub failure_domain: Name,
        /// The shard.
        pub shard: u32,
        /// The epoch under which the owner holds it.
        pub epoch: u64,
        /// The owner's incarnation.
        pub owner: Name,
        /// Number of the first record.
        pub first: u64,
        /// The records.
        pub records: Vec<Record>,
        /// Whether this replaces all that the deputy has (a new deputy's first load).
        pub whole: bool,
    }

    /// What the deputy says.
    pub enum Appended {
        /// Recorded up to and with this number.
        Up {
            /// The next number expected.
            to: u64,
        },
        /// The deputy takes no more under that epoch.
        Fenced {
            /// The epoch it knows of.
            epoch: u64,
        },
        /// Records are missing in between; send the whole.
        Behind,
    }
}
