//! The controllers of one entry host: configuration, hosts, shards, bills, exposure, console.
//!
//! Nothing here is on disk and no control is special. What must last is in the platform's
//! service; the rest is soft and comes back from peers.

pub mod bills;
pub mod node;
pub mod peers;
pub mod platform;
