//! State machines by which hosts without disks agree: key shards, batch logs and session tokens.
//!
//! The code has no I/O, clock or async runtime. `control` sends the messages and calls the
//! platform; this crate decides which host may answer and what is written next.

pub mod batch;
pub mod deputy;
pub mod home;
pub mod message;
pub mod owner;
pub mod records;
pub mod shard;
pub mod token;
