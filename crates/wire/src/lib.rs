//! Messages between the processes of this product, and the documents that operators write.
//!
//! Messages are plain types. The only behaviour here is validation, the handshake between peers,
//! and small helpers that several processes share.

pub mod backend;
pub mod bill;
pub mod claim;
pub mod configuration;
pub mod evidence;
pub mod fault;
pub mod forward;
pub mod gossip;
pub mod host;
pub mod peer;
pub mod read;
pub mod refusal;
pub mod routing;
pub mod rpc;
pub mod settings;
pub mod shard;
pub mod store;
pub mod view;
