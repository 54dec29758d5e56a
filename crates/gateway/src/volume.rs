//! Bytes of answers that are read whole before they are passed on, all together.
//!
//! A backend server in trouble may send a body without end. Each caller's alone is bounded, but a host in front of
//! such a server has hundreds of them at once, and little memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest answer.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// An answer up to this length is read whatever the others take.
const SMALL_BYTES: usize = 64 << 10;
/// Part of a host's memory that all of them may take.
const PART: u64 = 8;
/// The same of a host that does not say how much it has, in bytes.
const USUAL_BYTES: u64 = 32 << 20;

/// What all answers of a host take.
#[derive(Debug)]
pub struct Volume {
    held: Arc<AtomicUsize>,
    most: usize,
}

impl Volume {
    /// Of a host with so much memory, in bytes, if that is known.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let most = memory.map_or(USUAL_BYTES, |memory| memory / PART);
        Self { held: Arc::default(), most: usize::try_from(most).unwrap_or(usize::MAX) }
    }

    /// One answer's.
    #[must_use]
    pub fn share(&self) -> Share {
        Share { held: Arc::clone(&self.held), most: self.most, own: 0 }
    }
}

/// What one answer takes; given back when dropped.
#[derive(Debug)]
pub struct Share {
    held: Arc<AtomicUsize>,
    most: usize,
    own: usize,
}

impl Share {
    /// Takes more; whether it may. One that may not is given up by whoever reads it.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.own += bytes;
        let all = self.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.own <= SMALL_BYTES || (self.own <= ANSWER_BYTES_MAX && all <= self.most)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held.fetch_sub(self.own, Ordering::Relaxed);
    }
}
