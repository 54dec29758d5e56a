//! Admission to a pool: a request is admitted, waits in a queue, or is refused at once. Also counts
//! requests against the limit of their client account.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use policy::admit::{Arrival, Evicted, Load, Queue, Ticket, Verdict};
use policy::limit::{Limit, Usage, Verdict as LimitVerdict};
use policy::name::Name;
use policy::time::Millis;
use tokio::sync::oneshot;
use wire::configuration::Account;
use wire::refusal::{Code, Refusal};

use crate::clock;
use crate::snapshot::Snapshot;
use crate::state::State;

/// Estimate of the time that a request takes until the first ones have been measured.
const INITIAL_SERVICE_MS: f64 = 100.0;
/// Maximum requests that wait for a pool which the configuration document does not name.
const DEFAULT_QUEUE_MAX: usize = 64;
/// `Retry-After` for a pool that has no backend servers, or only leaving ones. Such a pool gets no
/// server within any deadline, so its requests are refused instead of waiting.
const NO_SERVER_RETRY_MS: u64 = 10_000;
/// Interval at which the queues are checked for requests to admit or refuse.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The gates of all pools that have had a request.
#[derive(Default)]
pub struct Gates {
    gates: RwLock<HashMap<Name, Arc<Gate>>>,
}

/// Admits requests to one pool, and queues those that must wait.
struct Gate {
    pool: Name,
    inner: Mutex<GateState>,
}

struct GateState {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Place, u64>>>,
    /// Requests of this process that hold a place in the pool.
    admitted: u32,
}

/// A request's place in a pool, given back when dropped.
pub struct Place {
    state: Arc<State>,
    gate: Arc<Gate>,
    entered_at: Instant,
}

impl Drop for Place {
    fn drop(&mut self) {
        let ms = self.entered_at.elapsed().as_secs_f64() * 1000.0;
        {
            let mut inner = self.gate.lock();
            inner.admitted -= 1;
            inner.queue.record_service_ms(ms);
        }
        Gate::admit_waiting(&self.gate, &self.state);
    }
}

/// Removes a waiting request from the queue when dropped, for example because its caller left.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let sender = {
            let mut inner = self.gate.lock();
            inner.queue.cancel(self.ticket);
            inner.waiting.remove(&self.ticket)
        };
        drop(sender);
    }
}

impl Gates {
    fn gate(&self, snapshot: &Snapshot, pool: &Name) -> Arc<Gate> {
        let existing = self.gates.read().unwrap_or_else(PoisonError::into_inner).get(pool).cloned();
        existing.unwrap_or_else(|| {
            let limit = snapshot.pool(pool).map_or(DEFAULT_QUEUE_MAX, |pool| pool.queue as usize);
            let mut gates = self.gates.write().unwrap_or_else(PoisonError::into_inner);
            let gate =
                gates.entry(pool.clone()).or_insert_with(|| Arc::new(Gate::new(pool, limit)));
            Arc::clone(gate)
        })
    }

    fn list(&self) -> Vec<Arc<Gate>> {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        gates.values().cloned().collect()
    }
}

impl Gate {
    fn new(pool: &Name, limit: usize) -> Self {
        let queue = Queue::new(limit, INITIAL_SERVICE_MS);
        let inner = GateState { queue, waiting: HashMap::new(), admitted: 0 };
        Self { pool: pool.clone(), inner: Mutex::new(inner) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits waiting requests while the pool has free places.
    ///
    /// Each place is sent without holding the lock: if the caller has left in the meantime, the
    /// place is dropped, which takes the lock again.
    fn admit_waiting(gate: &Arc<Self>, state: &Arc<State>) {
        let snapshot = state.snapshot.load();
        loop {
            let sender = {
                let mut inner = gate.lock();
                if inner.queue.is_empty() {
                    return;
                }
                let load = load(&snapshot, &gate.pool, inner.admitted, clock::now());
                let ticket = (load.free() > 0).then(|| inner.queue.pop()).flatten();
                let Some(ticket) = ticket else { return };
                let Some(sender) = inner.waiting.remove(&ticket) else { continue };
                inner.admitted += 1;
                sender
            };
            drop(sender.send(Ok(Gate::place(gate, state))));
        }
    }

    fn place(gate: &Arc<Self>, state: &Arc<State>) -> Place {
        Place { state: Arc::clone(state), gate: Arc::clone(gate), entered_at: Instant::now() }
    }

    fn refuse(&self, evicted: &[Evicted]) {
        let mut inner = self.lock();
        for evicted in evicted {
            if let Some(sender) = inner.waiting.remove(&evicted.ticket) {
                // A failed send means that the caller left; it holds no place to give back.
                let _ = sender.send(Err(evicted.retry_after_ms));
            }
        }
    }
}

/// The load of a pool as far as this process knows it: its own requests, plus those of other hosts
/// as the backend servers report them.
fn load(snapshot: &Snapshot, pool: &Name, admitted: u32, now: Millis) -> Load {
    let default_slots = snapshot.pool(pool).map_or(1, |pool| pool.slots);
    let mut slots = 0;
    let mut others = 0.0;
    for server in snapshot.pools.get(pool).into_iter().flatten() {
        let placed = server.placement_record();
        if placed.takes_work(now) {
            slots += placed.report.map_or(default_slots, |report| report.slots);
            others += placed.load(now) - f64::from(placed.in_flight);
        }
    }
    let in_flight = admitted.saturating_add(others.round() as u32);
    let closed_ms = if slots == 0 { closed_ms(snapshot, pool, now) } else { 0 };
    Load { slots, in_flight, own: admitted, entries: snapshot.entries, closed_ms }
}

/// Time until a backend server may accept work again, for a pool where none does now.
///
/// Without this time, a request would wait for servers that count as ill beyond its deadline, and
/// be refused only when the deadline comes.
fn closed_ms(snapshot: &Snapshot, pool: &Name, now: Millis) -> u64 {
    let servers =
        snapshot.pools.get(pool).into_iter().flatten().map(|server| server.placement_record());
    let staying = servers.filter(|server| !server.draining);
    staying.map(|server| server.ill_until.since(now)).min().unwrap_or(NO_SERVER_RETRY_MS)
}

/// Waits for a place in a pool.
///
/// # Errors
/// [`Code::Overloaded`] as soon as the deadline can't be met any more, [`Code::NoBackend`] if the
/// pool has no backend server that accepts work. The request did not run in either case.
pub async fn enter(
    state: &Arc<State>,
    snapshot: &Snapshot,
    pool: &Name,
    arrival: &Arrival,
) -> Result<Place, Refusal> {
    let gate = state.gates.gate(snapshot, pool);
    let (ticket, receiver, evicted) = {
        let mut inner = gate.lock();
        let now = clock::now();
        let load = load(snapshot, pool, inner.admitted, now);
        match inner.queue.offer(arrival, load, rand::random(), now) {
            Verdict::Admit => {
                inner.admitted += 1;
                drop(inner);
                return Ok(Gate::place(&gate, state));
            }
            Verdict::Refuse { retry_after_ms } if load.slots == 0 => {
                return Err(no_server(pool, retry_after_ms));
            }
            Verdict::Refuse { retry_after_ms } => return Err(overloaded(pool, retry_after_ms)),
            Verdict::Wait { ticket, evicted } => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                (ticket, receiver, evicted)
            }
        }
    };
    gate.refuse(evicted.as_slice());
    let _guard = WaitGuard { gate: &gate, ticket };
    match receiver.await {
        Ok(Ok(place)) => Ok(place),
        Ok(Err(retry_after_ms)) => Err(overloaded(pool, retry_after_ms)),
        Err(_) => Err(overloaded(pool, 1_000)),
    }
}

fn overloaded(pool: &Name, retry_after_ms: u64) -> Refusal {
    let message = format!("pool {pool} can't answer before the deadline");
    Refusal::not_run(Code::Overloaded, message).retry_after(retry_after_ms)
}

fn no_server(pool: &Name, retry_after_ms: u64) -> Refusal {
    let message = format!("no backend server of pool {pool} takes new work now");
    Refusal::not_run(Code::NoBackend, message).retry_after(retry_after_ms)
}

/// Refuses waiting requests as soon as they can't meet their deadline, and admits requests after a
/// load report has shown free places. Runs until the process ends.
pub async fn tick(state: Arc<State>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        for gate in state.gates.list() {
            let evicted = {
                let mut inner = gate.lock();
                let now = clock::now();
                let load = load(&state.snapshot.load(), &gate.pool, inner.admitted, now);
                inner.queue.evict_overdue(load, rand::random(), now)
            };
            gate.refuse(&evicted);
            Gate::admit_waiting(&gate, &state);
        }
    }
}

/// Counts a request as in flight against its account's limit until dropped.
pub struct Grant {
    state: Arc<State>,
    account: Name,
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.state.usage.with(&self.account, Usage::release);
    }
}

/// Counts a request against its account's limit.
///
/// # Errors
/// [`Code::AccountLimit`] if the account has reached its rate or its requests in flight.
pub fn grant(
    state: &Arc<State>,
    snapshot: &Snapshot,
    name: &Name,
    account: &Account,
) -> Result<Grant, Refusal> {
    let limit = Limit {
        requests_per_second: account.limit.requests_per_second,
        in_flight: account.limit.in_flight,
    };
    let acquire =
        |usage: &mut Usage| usage.acquire(&limit, snapshot.entries, rand::random(), clock::now());
    match state.usage.with(name, acquire) {
        LimitVerdict::Granted => Ok(Grant { state: Arc::clone(state), account: name.clone() }),
        LimitVerdict::Refused { retry_after_ms } => {
            Err(Refusal::not_run(Code::AccountLimit, "the account's limit is reached")
                .retry_after(retry_after_ms))
        }
    }
}
