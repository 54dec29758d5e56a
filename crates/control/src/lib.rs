//! The controllers of one entry host: configuration, hosts, shards, bills, exposure, console.
//!
//! Nothing here is on disk and no control is special. What must last is in the platform's
//! service; the rest is soft and comes back from peers.

pub mod accept;
pub mod bills;
pub mod burn;
pub mod configuration;
pub mod daemon;
pub mod exposure;
pub mod gossip;
pub mod hosts;
pub mod marks;
pub mod news;
pub mod node;
pub mod operators;
pub mod peers;
pub mod process;
pub mod quarantine;
pub mod rollout;
pub mod server;
pub mod shards;
pub mod status;
pub mod store;
pub mod view;

pub use daemon::{Error, Listeners, run};
