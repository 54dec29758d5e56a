//! Messages between the owner and the deputy of a shard, and the shard's row on the platform.

use policy::domain;
use policy::name::Name;
use policy::time::Millis;

use crate::home::Home;

domain! {
    /// The owner and deputy of a shard, stored as one row of the platform's table.
    #[derive(Default, Eq)]
    pub struct Holder {
        /// Number of the owner and deputy pair; each change of owner or deputy adds one. 0 means
        /// that the shard has never had an owner.
        pub epoch: u64,
        /// Incarnation of the control process that answers claims and pins.
        pub owner: Name,
        /// Incarnation of the control process that must record a claim or pin before the owner
        /// answers. Empty if there is no deputy; then the object store must have the record first.
        pub deputy: Name,
        /// Until when a key without a record is refused, in milliseconds since the Unix epoch. Set
        /// by a cold takeover: owner and deputy are both gone, and records may be lost with them.
        pub closed_until_ms: u64,
    }

    /// One record of a shard. Records are numbered in the order in which the owner made them.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A request holds an idempotency key, which allows it alone to run.
        Claim {
            /// Account and idempotency key, as made by [`crate::home::account_key`].
            key: Name,
            /// Identifier of the request that holds the key.
            request: Name,
            /// When the claim expires, by the owner's clock.
            forget_at: Millis,
        },
        /// The request that holds an idempotency key has not run and never will.
        Abandon {
            /// Account and idempotency key, as in the claim.
            key: Name,
            /// Identifier of the request that gives up the key.
            request: Name,
        },
        /// A session keeps a version.
        Pin {
            /// Account and session, as made by [`crate::home::account_key`].
            key: Name,
            /// Version that serves the session.
            version: Name,
            /// When the pin expires, by the owner's clock.
            forget_at: Millis,
        },
    }

    /// Records that an owner sends to its deputy.
    #[derive(Eq)]
    pub struct Append {
        /// Shard that the records belong to.
        pub home: Home,
        /// Epoch under which the sender owns the shard, or prepares to own it.
        pub epoch: u64,
        /// Incarnation of the control process that owns the shard, or prepares to own it.
        pub owner: Name,
        /// Number of the first record. For a full load, the number that the record after the load
        /// gets.
        pub first: u64,
        /// Records in the order in which the owner made them; for a full load, ordered only among
        /// those of one key.
        pub records: Vec<Record>,
        /// Whether `records` is a full load: all records of the shard, sent first to a new deputy.
        pub whole: bool,
    }

    /// A deputy's reply to an [`Append`].
    #[derive(Eq)]
    pub enum AppendReply {
        /// The deputy has all records before a number.
        Up {
            /// Number of the record that the deputy expects next.
            to: u64,
        },
        /// The receiver accepts no records from this owner under this epoch.
        Fenced {
            /// Epoch that the receiver knows for the shard.
            epoch: u64,
        },
        /// The receiver lacks records before those that were sent; it needs a full load first.
        Behind,
    }
}
