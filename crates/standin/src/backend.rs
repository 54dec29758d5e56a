//! The common part of model engines and plain services: slots and a queue for requests, faults,
//! records of runs, and answers that break off where a fault says so.

mod fault;
mod relay;

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hyper::{Response, StatusCode};
use policy::domain;
use policy::name::Name;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wire::backend::{LEAVING, Load};

pub use self::fault::{Faults, RequestFaults};
pub use self::relay::{Piece, sleep};
use crate::fault::Outage;
use crate::reply;
use crate::run::{Guard, Log, Outcome, Run};
use crate::server::{Body, Cut};

domain! {
    /// The number of requests that a backend server accepts at once.
    #[serde(default, deny_unknown_fields)]
    pub struct Capacity {
        /// Requests that the server works on at once.
        pub slots: u32,
        /// Requests that may wait for a slot; the server rejects further ones with 503.
        pub queue: u32,
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self { slots: 8, queue: 64 }
    }
}

/// The state of a stand-in backend server.
pub struct Backend {
    seed: u64,
    capacity: Capacity,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    rejected: AtomicUsize,
    faults: Mutex<Faults>,
    log: Arc<Log>,
}

/// A request that has a slot. The slot is free again when the ticket is dropped, at the end of
/// the answer.
pub struct Ticket {
    guard: Guard,
    faults: RequestFaults,
    _slot: OwnedSemaphorePermit,
}

impl Backend {
    /// Makes a backend server without faults. Its random draws depend only on the seed and the
    /// request's id.
    #[must_use]
    pub fn new(seed: u64, capacity: Capacity) -> Self {
        let slots = Arc::new(Semaphore::new(capacity.slots as usize));
        let log = Arc::new(Log::default());
        let (waiting, rejected) = (AtomicU32::new(0), AtomicUsize::new(0));
        Self { seed, capacity, slots, waiting, rejected, faults: Mutex::default(), log }
    }

    /// Replaces all faults; requests that are being answered keep those drawn for them.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults in force; [`Faults::only`] counts down.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// One record for each request received, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.log.runs()
    }

    /// The answer to `GET /load`.
    #[must_use]
    pub fn load(&self) -> Load {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let busy = self.capacity.slots.saturating_sub(free);
        let in_flight = busy + self.waiting.load(Ordering::Relaxed);
        Load { in_flight, slots: self.capacity.slots, draining: self.faults().draining }
    }

    /// Number of requests that this server rejected, for lack of room or by a fault.
    #[must_use]
    pub fn rejected_count(&self) -> usize {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Counts a rejection and makes its answer, which asks the sender for a pause.
    fn reject(&self) -> Response<Body> {
        self.rejected.fetch_add(1, Ordering::Relaxed);
        reply::retry_later(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Adds the header that announces the server's leaving, if it is draining.
    #[must_use]
    pub fn with_leaving_header(&self, mut response: Response<Body>) -> Response<Body> {
        if self.faults().draining {
            response.headers_mut().insert(LEAVING, reply::static_value("1"));
        }
        response
    }

    /// Records a request and waits for a slot.
    ///
    /// # Errors
    /// The answer that rejects the request, or [`Cut`] if its connection is to break.
    pub async fn admit(&self, run: Run) -> Result<Ticket, Result<Response<Body>, Cut>> {
        match self.faults().down {
            Outage::No => {}
            Outage::Cut => return Err(Err(Cut)),
            Outage::Unavailable => return Err(Ok(self.reject())),
        }
        let request = run.request.clone();
        let mut guard = self.log.begin(run);
        match self.acquire_slot().await {
            Some(slot) => {
                let faults = self.draw_faults(&request);
                Ok(Ticket { guard, faults, _slot: slot })
            }
            None => {
                guard.end(Outcome::Refused);
                Err(Ok(self.reject()))
            }
        }
    }

    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        let place = QueuePlace::reserve(&self.waiting, self.capacity.queue)?;
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok();
        drop(place);
        slot
    }

    fn draw_faults(&self, request: &str) -> RequestFaults {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.draw(self.seed, request)
    }

    /// Id of the request whose answer a crossed request gets: of the request received before it, or
    /// `crossed` if there was none.
    #[must_use]
    pub fn crossed_request(&self, ticket: &Ticket) -> Name {
        match self.log.previous(ticket.guard.order) {
            Some(run) => run.request,
            None => Name::from("crossed"),
        }
    }
}

impl Ticket {
    /// The faults that were drawn for this request.
    #[must_use]
    pub fn faults(&self) -> RequestFaults {
        self.faults
    }

    /// Records the run's outcome and frees the slot.
    pub fn end(mut self, outcome: Outcome) {
        self.guard.end(outcome);
    }

    /// Never returns, or ends the run, if the request's fault comes before the answer's header.
    ///
    /// # Errors
    /// [`Cut`] if the connection is to break here.
    pub async fn before_header(&mut self) -> Result<(), Cut> {
        match self.faults {
            RequestFaults { silent_after: Some(0), .. } => std::future::pending().await,
            RequestFaults { cut_after: Some(0), .. } => {
                self.guard.end(Outcome::Cut);
                Err(Cut)
            }
            _ => Ok(()),
        }
    }
}

/// A place in the queue for slots. Dropping it frees the place, also when the caller has gone.
struct QueuePlace<'a>(&'a AtomicU32);

impl<'a> QueuePlace<'a> {
    fn reserve(waiting: &'a AtomicU32, queue: u32) -> Option<Self> {
        let increment = |count: u32| (count < queue).then_some(count + 1);
        waiting
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment)
            .ok()
            .map(|_| Self(waiting))
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
