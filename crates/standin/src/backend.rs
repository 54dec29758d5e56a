//! What model engines and plain services have in common: slots, faults, records and answers that
//! break where a fault says.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use policy::domain;
use policy::name::Name;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wire::backend::Load;

use crate::draw;
use crate::fault::Down;
use crate::reply;
use crate::run::{Guard, Log, Outcome, Run};
use crate::server::{Body, Cut};

/// Time before a cut in which the bytes before it get out.
const FLUSH: Duration = Duration::from_millis(2);

domain! {
    /// Faults of a backend server; all off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether it takes requests.
        pub down: Down,
        /// It says in its load that it is leaving.
        pub draining: bool,
        /// Extra time before each answer, in milliseconds.
        pub delay_ms: u64,
        /// Versions that have turned bad, with their share of good answers from now on.
        pub bad: BTreeMap<Name, f64>,
        /// Share of requests answered with 500 after they began.
        pub error: f64,
        /// Share of requests answered with the header and body of the request before them.
        pub crossed: f64,
        /// Answers come without the request's id.
        pub no_echo: bool,
        /// The connection goes silent after this many bytes of the body; 0 is before the header.
        pub silent_after: Option<u64>,
        /// The connection is cut after this many bytes of the body; 0 is before the header.
        pub cut_after: Option<u64>,
        /// `error`, `crossed`, `silent_after` and `cut_after` touch only this many next requests.
        /// Counts down.
        pub only: Option<u64>,
    }

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

/// What the faults do to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Answer with 500.
    pub error: bool,
    /// Answer with another request's id.
    pub crossed: bool,
    /// Answer without an id.
    pub no_echo: bool,
    /// Where the connection goes silent.
    pub silent_after: Option<u64>,
    /// Where the connection is cut.
    pub cut_after: Option<u64>,
}

/// A piece of an answer's body, and the pause before it.
pub struct Piece {
    /// Time since the piece before.
    pub pause: Duration,
    /// Its bytes.
    pub bytes: Bytes,
}

/// The state that every backend server has.
pub struct Backend {
    seed: u64,
    capacity: Capacity,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
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
        let waiting = AtomicU32::new(0);
        Self { seed, capacity, slots, waiting, faults: Mutex::default(), log }
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

    /// Records a request and waits for its slot.
    ///
    /// # Errors
    /// The answer that turns it away, or the cut.
    pub async fn admit(&self, run: Run) -> Result<Ticket, Result<Response<Body>, Cut>> {
        match self.faults().down {
            Down::No => {}
            Down::Cut => return Err(Err(Cut)),
            Down::Unavailable => {
                return Err(Ok(reply::later(StatusCode::SERVICE_UNAVAILABLE)));
            }
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
                Err(Ok(reply::later(StatusCode::SERVICE_UNAVAILABLE)))
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
        let drawn = |label: &str, share: f64| draw::share(self.seed, &[label, request]) < share;
        let plan = match faults.only {
            Some(0) => Plan::default(),
            _ => Plan {
                error: drawn("error", faults.error),
                crossed: drawn("crossed", faults.crossed),
                no_echo: faults.no_echo,
                silent_after: faults.silent_after,
                cut_after: faults.cut_after,
            },
        };
        if plan != Plan::default() {
            faults.only = faults.only.map(|left| left.saturating_sub(1));
        }
        plan
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

    /// The body that hands over the pieces, until a fault or the end.
    #[must_use]
    pub fn body(self, pieces: Vec<Piece>) -> Body {
        let relay = Relay { ticket: self, pieces: pieces.into_iter().peekable(), sent: 0 };
        let frames = futures::stream::unfold(Some(relay), step);
        StreamBody::new(frames.map(|piece| piece.map(Frame::data))).boxed_unsync()
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

struct Relay {
    ticket: Ticket,
    pieces: std::iter::Peekable<std::vec::IntoIter<Piece>>,
    sent: u64,
}

/// How the body goes on after a piece.
type Step = Option<(Result<Bytes, Cut>, Option<Relay>)>;

async fn step(relay: Option<Relay>) -> Step {
    let mut relay = relay?;
    let plan = relay.ticket.plan;
    if plan.silent_after.is_some_and(|limit| relay.sent >= limit) {
        std::future::pending::<()>().await;
    }
    if plan.cut_after.is_some_and(|limit| relay.sent >= limit) {
        tokio::time::sleep(FLUSH).await;
        relay.ticket.guard.end(Outcome::Cut);
        return Some((Err(Cut), None));
    }
    let piece = relay.pieces.next()?;
    wait(piece.pause).await;
    let room = plan.silent_after.or(plan.cut_after).map(|limit| limit - relay.sent);
    let bytes = match room.and_then(|room| usize::try_from(room).ok()) {
        Some(room) if room < piece.bytes.len() => piece.bytes.slice(..room),
        _ => piece.bytes,
    };
    relay.sent += bytes.len() as u64;
    // The server may not ask again after the last piece, so the end is recorded with it.
    let reached = |limit: Option<u64>| limit.is_some_and(|limit| relay.sent >= limit);
    let broken = reached(plan.silent_after) || reached(plan.cut_after);
    if !broken && relay.pieces.peek().is_none() {
        relay.ticket.guard.end(Outcome::Whole);
    }
    Some((Ok(bytes), Some(relay)))
}

/// Waits; no time at all is no wait, where the timer would make a millisecond of it.
pub async fn wait(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
