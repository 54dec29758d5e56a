//! What nodes without disks agree on, pure: shards, batch logs, session tokens.

pub mod token;
