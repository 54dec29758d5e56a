//! What controls say to each other about shards.

pub use coordination::home::{Home, Layout};
pub use coordination::message::{Append, AppendReply, Holder, Record};
use policy::domain;

domain! {
    /// An owner's answer, or where else to ask.
    pub enum Reply<T> {
        /// It is the owner.
        Answer(T),
        /// It is not.
        Elsewhere {
            /// Who is, as far as the asked one knows; epoch 0 if it knows nothing.
            holder: Holder,
        },
    }

    /// The table of shards, as one control last read it.
    #[derive(Default)]
    pub struct Known {
        /// The layout, once known.
        pub layout: Option<Layout>,
        /// Who holds which shard.
        pub holders: Vec<(Home, Holder)>,
    }
}
