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
const MEMORY_DIVISOR: u64 = 8;
/// The same of a host that does not say how much it has, in bytes.
const DEFAULT_BYTES_MAX: u64 = 32 << 20;

/// What all answers of a host take.
#[derive(Debug)]
pub struct BufferBudget {
    held_bytes: Arc<AtomicUsize>,
    bytes_max: usize,
}

impl BufferBudget {
    /// Of a host with so much memory, in bytes, if that is known.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let bytes_max = memory.map_or(DEFAULT_BYTES_MAX, |memory| memory / MEMORY_DIVISOR);
        Self {
            held_bytes: Arc::default(),
            bytes_max: usize::try_from(bytes_max).unwrap_or(usize::MAX),
        }
    }

    /// One answer's.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            held_bytes: Arc::clone(&self.held_bytes),
            bytes_max: self.bytes_max,
            own_bytes: 0,
        }
    }
}

/// What one answer takes; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    held_bytes: Arc<AtomicUsize>,
    bytes_max: usize,
    own_bytes: usize,
}

impl Reservation {
    /// Takes more; whether it may. One that may not is given up by whoever reads it.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.own_bytes += bytes;
        let total = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.own_bytes <= SMALL_BYTES
            || (self.own_bytes <= ANSWER_BYTES_MAX && total <= self.bytes_max)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.own_bytes, Ordering::Relaxed);
    }
}
