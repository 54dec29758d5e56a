//! What model engines and plain services have in common: slots, faults, records and answers that
//! break where a fault says.

mod fault;
mod relay;

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hyper::{Response, StatusCode};
use policy::domain;
use policy::name::Name;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wire::backend::{LEAVING, Load};

pub use self::fault::{Faults, Plan};
pub use self::relay::{Piece, wait};
use crate::fault::Outage;
use crate::reply;
use crate::run::{Guard, Log, Outcome, Run};
use crate::server::{Body, Cut};

domain! {
    /// How much a backend server takes at once.
    #[serde(default, deny_unknown_fields)]
    pub struct Capacity {
        /// Requests worked on at once.
        pub slots: u32,
        /// Requests that wait for a slot; over it 503.
        pub queue: u32,
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self { slots: 8, queue: 64 }
    }
}

/// The state that every backend server has.
pub struct Backend {
    seed: u64,
    capacity: Capacity,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    turned_away: AtomicUsize,
    faults: Mutex<Faults>,
    log: Arc<Log>,
}

/// A request that has a slot: what it needs until its answer has ended.
pub struct Ticket {
    guard: Guard,
    plan: Plan,
    _slot: OwnedSemaphorePermit,
}

impl Backend {
    /// A backend server whose draws depend on the seed.
    #[must_use]
    pub fn new(seed: u64, capacity: Capacity) -> Self {
        let slots = Arc::new(Semaphore::new(capacity.slots as usize));
        let log = Arc::new(Log::default());
        let (waiting, turned_away) = (AtomicU32::new(0), AtomicUsize::new(0));
        Self { seed, capacity, slots, waiting, turned_away, faults: Mutex::default(), log }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults as they are.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Every request received, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.log.all()
    }

    /// What `GET /load` says.
    #[must_use]
    pub fn load(&self) -> Load {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let busy = self.capacity.slots.saturating_sub(free);
        let in_flight = busy + self.waiting.load(Ordering::Relaxed);
        Load { in_flight, slots: self.capacity.slots, draining: self.faults().draining }
    }

    /// Requests that it turned away.
    #[must_use]
    pub fn rejected_count(&self) -> usize {
        self.turned_away.load(Ordering::Relaxed)
    }

    /// Asks for a pause.
    fn turn_away(&self) -> Response<Body> {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
        reply::retry_later(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// An answer with what the server says of itself.
    #[must_use]
    pub fn with_state(&self, mut response: Response<Body>) -> Response<Body> {
        if self.faults().draining {
            response.headers_mut().insert(LEAVING, reply::static_value("1"));
        }
        response
    }

    /// Records a request and waits for its slot.
    ///
    /// # Errors
    /// The answer that turns it away, or the cut.
    pub async fn admit(&self, run: Run) -> Result<Ticket, Result<Response<Body>, Cut>> {
        match self.faults().down {
            Outage::No => {}
            Outage::Cut => return Err(Err(Cut)),
            Outage::Unavailable => return Err(Ok(self.turn_away())),
        }
        let request = run.request.clone();
        let mut guard = self.log.begin(run);
        match self.slot().await {
            Some(slot) => {
                let plan = self.plan(&request);
                Ok(Ticket { guard, plan, _slot: slot })
            }
            None => {
                guard.end(Outcome::Refused);
                Err(Ok(self.turn_away()))
            }
        }
    }

    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        let place = Place::take(&self.waiting, self.capacity.queue)?;
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok();
        drop(place);
        slot
    }

    fn plan(&self, request: &str) -> Plan {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.plan(self.seed, request)
    }

    /// The request whose answer a crossed one gets: the one received before it.
    #[must_use]
    pub fn crossed(&self, ticket: &Ticket) -> Name {
        match self.log.before(ticket.guard.order) {
            Some(run) => run.request,
            None => Name::from("crossed"),
        }
    }
}

impl Ticket {
    /// What the faults do to the request.
    #[must_use]
    pub fn plan(&self) -> Plan {
        self.plan
    }

    /// Ends the run at once.
    pub fn end(mut self, outcome: Outcome) {
        self.guard.end(outcome);
    }

    /// Goes silent or cuts, if the fault is to come before the header.
    ///
    /// # Errors
    /// The cut.
    pub async fn before_header(&mut self) -> Result<(), Cut> {
        match self.plan {
            Plan { silent_after: Some(0), .. } => std::future::pending().await,
            Plan { cut_after: Some(0), .. } => {
                self.guard.end(Outcome::Cut);
                Err(Cut)
            }
            _ => Ok(()),
        }
    }
}

/// A place in the queue, given back when the caller goes away.
struct Place<'a>(&'a AtomicU32);

impl<'a> Place<'a> {
    fn take(waiting: &'a AtomicU32, queue: u32) -> Option<Self> {
        let more = |count: u32| (count < queue).then_some(count + 1);
        waiting.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok().map(|_| Self(waiting))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
