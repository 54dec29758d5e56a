//! Streams that continue at another engine than the one where they began.

pub mod backup;
pub mod relocate;
