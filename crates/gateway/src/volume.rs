//! Memory for what a host reads for its requests.
//!
//! A backend server in trouble may send a body without end. The body of a single answer is bounded,
//! but a host in front of such a server has hundreds of them at once, and little memory. So what
//! answers use while they are read is bounded as well; an answer that would exceed this is given up.
//!
//! All that is held for requests until their callers have taken it has a bound of its own, at which
//! reading waits, see [`crate::holder`].

use std::sync::Arc;

use entry::body::{Budget, Reservation};
use entry::progress::Progress;
use policy::memory::Shares;

use crate::holder::{Holder, HostMemory};

/// The longest answer that is read whole.
pub const ANSWER_BYTES_MAX: usize = 16 << 20;
/// Answers up to this length are read even if the budget is used up.
pub const SMALL_BYTES: usize = 64 << 10;

/// The memory that all requests of a host use together.
#[derive(Debug)]
pub struct BufferBudget {
    answers: Budget,
    host: Arc<HostMemory>,
}

impl BufferBudget {
    /// The budget of a host with `memory` bytes, if that is known.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let shares = Shares::new(memory);
        let answers = usize::try_from(shares.answers).unwrap_or(usize::MAX);
        Self {
            answers: Budget::new(answers).with_small_bytes(SMALL_BYTES),
            host: Arc::new(HostMemory::new(shares.held)),
        }
    }

    /// Sets what may be held for all requests; `None` keeps the default.
    #[must_use]
    pub fn with_bound(self, bytes: Option<u64>) -> Self {
        let host = bytes.map_or(self.host, |bytes| Arc::new(HostMemory::new(bytes)));
        Self { host, ..self }
    }

    /// What is held for all requests, and its bound.
    #[must_use]
    pub fn host(&self) -> &Arc<HostMemory> {
        &self.host
    }

    /// Opens the account of a request whose connection has this progress.
    #[must_use]
    pub fn open(&self, progress: Option<Arc<Progress>>) -> Holder {
        self.host.open(progress.unwrap_or_default())
    }

    /// Memory of answers that are being read whole now, in bytes.
    #[must_use]
    pub fn read_bytes(&self) -> usize {
        self.answers.used_bytes()
    }

    /// Begins the reservation of one answer, at 0 bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        self.answers.reserve()
    }
}
