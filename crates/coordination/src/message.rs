//! What a shard's owner and deputy say to each other, and what the platform knows of them.

use policy::domain;
use policy::name::Name;
use policy::time::Millis;

use crate::home::Home;

domain! {
    /// Who holds a shard: one row of the platform's table.
    #[derive(Default, Eq)]
    pub struct Holder {
        /// Rises by one with each change of hands.
        pub epoch: u64,
        /// Control incarnation that answers.
        pub owner: Name,
        /// Control incarnation that must have recorded first; empty for none, then the records
        /// go to the object store first.
        pub deputy: Name,
        /// Set by a cold takeover: a key not in the records is refused until then.
        pub closed_until_ms: u64,
    }

    /// One record of a shard, in the order the owner made them.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A key's one run.
        Claim {
            /// Account and key, joined.
            key: Name,
            /// The request.
            request: Name,
            /// When it may be forgotten, by the owner's clock.
            forget_at: Millis,
        },
        /// The request that holds the key has not run and never will.
        Abandon {
            /// Account and key, joined.
            key: Name,
            /// The request.
            request: Name,
        },
        /// A session's version.
        Pin {
            /// Account and session, joined.
            key: Name,
            /// The version.
            version: Name,
            /// When it may be forgotten.
            forget_at: Millis,
        },
    }

    /// Records on their way from owner to deputy.
    #[derive(Eq)]
    pub struct Append {
        /// The shard.
        pub home: Home,
        /// The epoch under which the owner holds it, or is about to.
        pub epoch: u64,
        /// The owner's incarnation.
        pub owner: Name,
        /// Number of the first record; of a whole load, the number that comes after it.
        pub first: u64,
        /// The records.
        pub records: Vec<Record>,
        /// Whether this is all there is, as a new deputy's first load.
        pub whole: bool,
    }

    /// What the deputy says.
    #[derive(Eq)]
    pub enum AppendReply {
        /// Recorded up to this number.
        Up {
            /// The next number expected.
            to: u64,
        },
        /// The deputy takes nothing from that owner under that epoch.
        Fenced {
            /// The epoch it knows of.
            epoch: u64,
        },
        /// Records are missing in between.
        Behind,
    }
}
