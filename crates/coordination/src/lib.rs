//! State machines for what must be agreed among hosts that keep nothing: shards and batch logs.
//!
//! Pure: no I/O, no clock, no runtime. The shells in `control` carry messages and ask the
//! platform; everything that decides who may answer, and what is written next, is here.

pub mod batch;
pub mod deputy;
pub mod home;
pub mod message;
pub mod owner;
pub mod records;
pub mod shard;
pub mod token;
