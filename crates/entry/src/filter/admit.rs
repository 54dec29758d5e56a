//! Whether a request may go to its pool now, waits, or is refused at once.

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

/// First guess of the time that a request takes, in milliseconds.
const SERVICE_MS: f64 = 100.0;
/// Requests that wait for one pool at most, if the document does not name the pool.
const QUEUE: usize = 64;
/// A pool without backend servers gets none within any deadline; refused callers come back then.
const NEVER_MS: u64 = 10_000;
/// How often waiting requests are looked at.
const TICK: Duration = Duration::from_millis(50);

/// The gates of all pools.
#[derive(Default)]
pub struct Gates {
    gates: RwLock<HashMap<Name, Arc<Gate>>>,
}

/// The queue before one pool.
struct Gate {
    pool: Name,
    inner: Mutex<Inner>,
}

struct Inner {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Place, u64>>>,
    /// Requests of this process that hold a place.
    admitted: u32,
}

/// A place in a pool, given back when dropped.
pub struct Place {
    state: Arc<State>,
    gate: Arc<Gate>,
    since: Instant,
}

impl Drop for Place {
    fn drop(&mut self) {
        let ms = self.since.elapsed().as_secs_f64() * 1000.0;
        {
            let mut inner = self.gate.lock();
            inner.admitted -= 1;
            inner.queue.record_service_ms(ms);
        }
        Gate::let_in(&self.gate, &self.state);
    }
}

/// A request that waits; its caller's leaving takes it out of the queue.
struct Waiting<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
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
        let known = self.gates.read().unwrap_or_else(PoisonError::into_inner).get(pool).cloned();
        known.unwrap_or_else(|| {
            let limit = snapshot.pool(pool).map_or(QUEUE, |pool| pool.queue as usize);
            let mut gates = self.gates.write().unwrap_or_else(PoisonError::into_inner);
            let gate =
                gates.entry(pool.clone()).or_insert_with(|| Arc::new(Gate::new(pool, limit)));
            Arc::clone(gate)
        })
    }

    fn all(&self) -> Vec<Arc<Gate>> {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        gates.values().cloned().collect()
    }
}

impl Gate {
    fn new(pool: &Name, limit: usize) -> Self {
        let queue = Queue::new(limit, SERVICE_MS);
        let inner = Inner { queue, waiting: HashMap::new(), admitted: 0 };
        Self { pool: pool.clone(), inner: Mutex::new(inner) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets waiting requests in while there are places.
    ///
    /// The places are handed over outside of the lock: a caller that left in between drops its
    /// place, which takes the lock again.
    fn let_in(gate: &Arc<Self>, state: &Arc<State>) {
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
        Place { state: Arc::clone(state), gate: Arc::clone(gate), since: Instant::now() }
    }

    fn refuse(&self, evicted: &[Evicted]) {
        let mut inner = self.lock();
        for evicted in evicted {
            if let Some(sender) = inner.waiting.remove(&evicted.ticket) {
                // It holds no place yet, so nothing is given back if its caller left.
                let _ = sender.send(Err(evicted.retry_after_ms));
            }
        }
    }
}

/// The pool as this process knows it: its own requests, and others' as far as reports tell.
fn load(snapshot: &Snapshot, pool: &Name, admitted: u32, now: Millis) -> Load {
    let slots_each = snapshot.pool(pool).map_or(1, |pool| pool.slots);
    let mut slots = 0;
    let mut others = 0.0;
    for server in snapshot.pools.get(pool).into_iter().flatten() {
        let placed = server.placement_record();
        if placed.takes_work(now) {
            slots += placed.report.map_or(slots_each, |report| report.slots);
            others += placed.load(now) - f64::from(placed.in_flight);
        }
    }
    let in_flight = admitted.saturating_add(others.round() as u32);
    let closed_ms = if slots == 0 { closed_ms(snapshot, pool, now) } else { 0 };
    Load { slots, in_flight, own: admitted, entries: snapshot.entries, closed_ms }
}

/// How long until a backend server of a pool that has none may take work again.
///
/// Without it a request would wait for servers that are held ill for longer than its caller
/// does, and be refused only when its deadline comes.
fn closed_ms(snapshot: &Snapshot, pool: &Name, now: Millis) -> u64 {
    let servers =
        snapshot.pools.get(pool).into_iter().flatten().map(|server| server.placement_record());
    let staying = servers.filter(|server| !server.draining);
    staying.map(|server| server.ill_until.since(now)).min().unwrap_or(NEVER_MS)
}

/// Waits for a place in a pool.
///
/// # Errors
/// [`Code::Overloaded`] as soon as the deadline can't be met any more; nothing ran.
pub async fn enter(
    state: &Arc<State>,
    snapshot: &Snapshot,
    pool: &Name,
    ask: &Arrival,
) -> Result<Place, Refusal> {
    let gate = state.gates.gate(snapshot, pool);
    let (ticket, waits, evicted) = {
        let mut inner = gate.lock();
        let now = clock::now();
        let load = load(snapshot, pool, inner.admitted, now);
        match inner.queue.offer(ask, load, rand::random(), now) {
            Verdict::Admit => {
                inner.admitted += 1;
                drop(inner);
                return Ok(Gate::place(&gate, state));
            }
            Verdict::Refuse { retry_after_ms } if load.slots == 0 => {
                return Err(closed(pool, retry_after_ms));
            }
            Verdict::Refuse { retry_after_ms } => return Err(overloaded(pool, retry_after_ms)),
            Verdict::Wait { ticket, evicted } => {
                let (sender, waits) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                (ticket, waits, evicted)
            }
        }
    };
    gate.refuse(evicted.as_slice());
    let _waiting = Waiting { gate: &gate, ticket };
    match waits.await {
        Ok(Ok(place)) => Ok(place),
        Ok(Err(retry_after_ms)) => Err(overloaded(pool, retry_after_ms)),
        Err(_) => Err(overloaded(pool, 1_000)),
    }
}

fn overloaded(pool: &Name, retry_after_ms: u64) -> Refusal {
    let message = format!("pool {pool} can't answer before the deadline");
    Refusal::not_run(Code::Overloaded, message).retry_after(retry_after_ms)
}

fn closed(pool: &Name, retry_after_ms: u64) -> Refusal {
    let message = format!("no backend server of pool {pool} takes new work now");
    Refusal::not_run(Code::NoBackend, message).retry_after(retry_after_ms)
}

/// Refuses waiting requests as soon as they are hopeless, and lets in those that a report has
/// made room for. Runs until the process ends.
pub async fn tick(state: Arc<State>) {
    loop {
        tokio::time::sleep(TICK).await;
        for gate in state.gates.all() {
            let evicted = {
                let mut inner = gate.lock();
                let now = clock::now();
                let load = load(&state.snapshot.load(), &gate.pool, inner.admitted, now);
                inner.queue.evict_overdue(load, rand::random(), now)
            };
            gate.refuse(&evicted);
            Gate::let_in(&gate, &state);
        }
    }
}

/// A request counted against its account's limit until dropped.
pub struct Granted {
    state: Arc<State>,
    account: Name,
}

impl Drop for Granted {
    fn drop(&mut self) {
        self.state.usage.with(&self.account, Usage::release);
    }
}

/// Counts a request against its account's limit.
///
/// # Errors
/// [`Code::AccountLimit`].
pub fn grant(
    state: &Arc<State>,
    snapshot: &Snapshot,
    name: &Name,
    account: &Account,
) -> Result<Granted, Refusal> {
    let limit = Limit {
        requests_per_second: account.limit.requests_per_second,
        in_flight: account.limit.in_flight,
    };
    let take =
        |usage: &mut Usage| usage.acquire(&limit, snapshot.entries, rand::random(), clock::now());
    match state.usage.with(name, take) {
        LimitVerdict::Granted => Ok(Granted { state: Arc::clone(state), account: name.clone() }),
        LimitVerdict::Refused { retry_after_ms } => {
            Err(Refusal::not_run(Code::AccountLimit, "the account's limit is reached")
                .retry_after(retry_after_ms))
        }
    }
}
