//! Messages between controls about shards.

pub use coordination::home::{Home, Layout};
pub use coordination::message::{Append, AppendReply, Holder, Record};
use policy::domain;

domain! {
    /// Answer to a call that only the owner of a shard can answer.
    pub enum Reply<T> {
        /// The called control owns the shard; holds its answer.
        Answer(T),
        /// The called control does not own the shard.
        Elsewhere {
            /// Holder of the shard as far as the called control knows; epoch 0 if it knows none.
            holder: Holder,
        },
    }

    /// The platform's table of shards, as one control last read it.
    #[derive(Default)]
    pub struct ShardTable {
        /// Layout of the shards; absent until it is known.
        pub layout: Option<Layout>,
        /// Holder of each shard.
        pub holders: Vec<(Home, Holder)>,
    }
}
