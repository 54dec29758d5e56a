//! Memory for answers that are read whole before they are passed on.
//!
//! A backend server in trouble may send a body without end. The body of a single answer is bounded,
//! but a host in front of such a server has hundreds of them at once, and little memory. So the sum
//! is bounded as well. An answer that would exceed this bound is given up.
//!
//! Beyond that, settings may bound what is held for all requests until their callers have taken it.
//! At that bound reading waits, see [`crate::holder`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use entry::progress::Progress;

use crate::holder::{Holder, HostMemory};

/// The longest answer that is read whole.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// Answers up to this length are read even if the budget is used up.
const SMALL_BYTES: usize = 64 << 10;
/// All answers together may use the host's memory divided by this number.
const MEMORY_DIVISOR: u64 = 8;
/// The budget of a host whose memory is unknown.
const DEFAULT_BYTES_MAX: u64 = 32 << 20;

/// The memory that all answers of a host use together.
#[derive(Debug)]
pub struct BufferBudget {
    held_bytes: Arc<AtomicUsize>,
    bytes_max: usize,
    /// The bound on what is held for all requests; `None` if there is none.
    host: Option<Arc<HostMemory>>,
}

impl BufferBudget {
    /// The budget of a host with `memory` bytes, if that is known.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let bytes_max = memory.map_or(DEFAULT_BYTES_MAX, |memory| memory / MEMORY_DIVISOR);
        Self {
            held_bytes: Arc::default(),
            bytes_max: usize::try_from(bytes_max).unwrap_or(usize::MAX),
            host: None,
        }
    }

    /// Bounds what is held for all requests as well; `None` sets no bound.
    #[must_use]
    pub fn with_bound(self, bytes: Option<u64>) -> Self {
        Self { host: bytes.map(|bytes| Arc::new(HostMemory::new(bytes))), ..self }
    }

    /// The bound on what is held for all requests; `None` if there is none.
    #[must_use]
    pub fn host(&self) -> Option<Arc<HostMemory>> {
        self.host.clone()
    }

    /// Opens the account of a request whose connection has this progress. The account counts
    /// nothing if there is no bound.
    #[must_use]
    pub fn open(&self, progress: Option<Arc<Progress>>) -> Holder {
        match (&self.host, progress) {
            (Some(host), Some(progress)) => host.open(progress),
            _ => Holder::default(),
        }
    }

    /// Bytes of answers that are being read whole now.
    #[must_use]
    pub fn read_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Begins the reservation of one answer, at 0 bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            held_bytes: Arc::clone(&self.held_bytes),
            bytes_max: self.bytes_max,
            own_bytes: 0,
        }
    }
}

/// The memory that one answer uses. It is returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    held_bytes: Arc<AtomicUsize>,
    bytes_max: usize,
    own_bytes: usize,
}

impl Reservation {
    /// Adds bytes that were read, and tells whether the answer may be read further. If it may not,
    /// the reader must give the answer up.
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
