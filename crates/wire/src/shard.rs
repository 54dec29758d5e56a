//! What controls say to each other about shards.

pub use coordination::message::{Append, Appended, Holder, Record};
use policy::domain;
use policy::name::Name;

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

    /// The name of a shard in messages.
    #[derive(Eq)]
    pub struct Place {
        /// The failure domain.
        pub failure_domain: Name,
        /// The shard.
        pub shard: u32,
    }
}
