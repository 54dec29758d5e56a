//! Admission control: requests wait while all servers of their service are full.
//!
//! Each service has one queue on this host. A request that is admitted holds a [`Slot`] until its
//! answer has ended, whatever way it ends.

mod request;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use entry::clock;
use policy::admit::gate::{self, Answered};
use policy::admit::room::{Kind, Room, Server};
use policy::admit::share::Offered;
use policy::admit::{Evicted, Ticket};
use policy::name::Name;
use policy::report::Scope;
use policy::time::Millis;
use policy::{engine, sample};
use tokio::sync::{Notify, oneshot};

use crate::backend::Backend;
use crate::codec::{Codec, Load};
use crate::pool::Pool;
use crate::restart;
use crate::state::State;

/// Time between two looks at the servers while requests wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Most servers that are looked at for one decision.
const SERVERS_MAX: usize = 256;
/// Service time before the first answer, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 60.0;
/// The same where hosts announce the loads of engines, whose streams last for seconds.
const INITIAL_STREAM_MS: f64 = 4_000.0;
/// Pause before the task that admits a service's waiting requests starts again after a panic. A
/// cause that persists must not use up the host's core.
const RESTART_DELAY: Duration = Duration::from_millis(20);
/// Number of services from which on those without requests are forgotten.
const GATES_MAX: usize = 256;

/// How long a service counts as short after requests have waited for it, in milliseconds.
const SHORT_MS: u64 = 2_000;

policy::domain! {
    /// Work that accounts offer to a service at one host, as told to the other hosts.
    pub struct Demand {
        /// The service.
        pub service: Name,
        /// The work of each account.
        pub offered: Vec<Offered>,
    }
}

/// A service's queue at this host.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct QueueView {
    /// Requests that wait.
    pub waiting: usize,
    /// Most requests that wait.
    pub waiting_max: usize,
    /// Requests that hold a slot.
    pub admitted: u32,
}

/// The requests of this host that wait.
#[derive(Default)]
pub struct Admission {
    /// Most requests that wait for a service; `None` if admission control is off.
    waiting_max: Option<usize>,
    gates: Mutex<HashMap<Name, Arc<Gate>>>,
    /// The service that the others were last told about.
    told: Mutex<Option<Name>>,
}

/// Admission to one service: its queue, and what this host knows of its room.
struct Gate {
    service: Name,
    inner: Mutex<Inner>,
    /// Notified when a slot becomes free.
    freed: Notify,
}

struct Inner {
    decisions: gate::Gate,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Slot, u64>>>,
    /// When requests last waited.
    short_at: Millis,
    /// What kind of servers the service has, as its last request tells.
    kind: Kind,
    /// Whether a task admits waiting requests.
    is_served: bool,
}

/// A request's slot at the service's servers, given back when dropped.
pub struct Slot {
    gate: Arc<Gate>,
    /// How crowded the servers were when the slot was given.
    crowding: f64,
    /// When the attempt that a server answers was sent; `None` if no server works on the request.
    answered_from: Option<Instant>,
}

impl Slot {
    /// Records that a server works on the request, which it was sent at this time. The time of
    /// attempts that servers reject says nothing of the time that work takes.
    pub fn record_answer(&mut self, sent_at: Instant) {
        self.answered_from = Some(sent_at);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let answered = self.answered_from.map(|sent_at| Answered {
            ms: sent_at.elapsed().as_secs_f64() * 1_000.0,
            crowding: self.crowding,
        });
        self.gate.lock().decisions.finish(answered);
        self.gate.freed.notify_one();
    }
}

/// Removes a waiting request from the queue when dropped, for example because its caller left.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        inner.decisions.queue.cancel(self.ticket);
        let sender = inner.waiting.remove(&self.ticket);
        drop(inner);
        drop(sender);
    }
}

impl Admission {
    /// The queue of a service; `None` without admission control, or before its first request.
    #[must_use]
    pub fn queue(&self, service: &Name) -> Option<QueueView> {
        let waiting_max = self.waiting_max?;
        let gate = self.known_gate(service)?;
        let inner = gate.lock();
        Some(QueueView {
            waiting: inner.decisions.queue.len(),
            waiting_max,
            admitted: inner.decisions.admitted,
        })
    }

    /// Admission control with this bound on the requests that wait for a service; off without a
    /// bound.
    #[must_use]
    pub fn new(waiting_max: Option<usize>) -> Self {
        Self { waiting_max, ..Self::default() }
    }

    /// Whether admission control is on.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.waiting_max.is_some()
    }

    /// The number of requests that wait for a service.
    #[must_use]
    pub fn waiting(&self, service: &Name) -> usize {
        let gate = self.gates().get(service).cloned();
        gate.map_or(0, |gate| gate.lock().decisions.queue.len())
    }

    fn gates(&self) -> MutexGuard<'_, HashMap<Name, Arc<Gate>>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this host tells the others: the work that accounts offer to a service for which
    /// requests have recently waited. Such services are named in turn, one in each call.
    #[must_use]
    pub fn next_demand(&self, now: Millis) -> Option<Demand> {
        let mut gates: Vec<Arc<Gate>> = self.gates().values().cloned().collect();
        gates.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let is_told = |gate: &Arc<Gate>| told.as_ref().is_some_and(|told| gate.service <= *told);
        let first = gates.partition_point(is_told);
        gates.rotate_left(first);
        let demand = gates.iter().find_map(|gate| gate.demand(now))?;
        *told = Some(demand.service.clone());
        Some(demand)
    }

    /// Records what another host tells of a service that this host has requests for.
    pub fn accept_demand(&self, host: &Name, demand: Demand, now: Millis) {
        let gate = self.gates().get(&demand.service).cloned();
        if let Some(gate) = gate {
            gate.lock().decisions.shares.accept(host, demand.offered, now);
        }
    }

    fn known_gate(&self, service: &Name) -> Option<Arc<Gate>> {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.get(service).cloned()
    }

    fn gate(&self, service: &Name, waiting_max: usize, kind: Kind) -> Arc<Gate> {
        let mut gates = self.gates();
        if gates.len() >= GATES_MAX && !gates.contains_key(service) {
            // A gate that nobody else holds has no request that waits or has a slot.
            gates.retain(|_, gate| Arc::strong_count(gate) > 1);
        }
        let gate = gates
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Gate::new(service.clone(), waiting_max, kind)));
        Arc::clone(gate)
    }
}

impl Gate {
    fn new(service: Name, waiting_max: usize, kind: Kind) -> Self {
        let service_ms = match kind {
            Kind::Plain | Kind::Engine => INITIAL_SERVICE_MS,
            Kind::AnnouncedEngine => INITIAL_STREAM_MS,
        };
        let inner = Inner {
            decisions: gate::Gate::new(waiting_max, service_ms),
            waiting: HashMap::new(),
            short_at: Millis(0),
            kind,
            is_served: false,
        };
        Self { service, inner: Mutex::new(inner), freed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn demand(&self, now: Millis) -> Option<Demand> {
        let inner = self.lock();
        let is_short = now.since(inner.short_at) < SHORT_MS && inner.short_at > Millis(0);
        let offered = is_short.then(|| inner.decisions.shares.report(now))?;
        Some(Demand { service: self.service.clone(), offered })
    }

    /// The slot of a request that has been admitted.
    fn slot(self: &Arc<Self>, room: Room) -> Slot {
        Slot { gate: Arc::clone(self), crowding: room.crowding(), answered_from: None }
    }

    /// Refuses waiting requests that can't be answered in time, and admits those for which there is
    /// room. Returns whether requests still wait.
    fn serve(self: &Arc<Self>, room: Room, hosts: u32, now: Millis) -> bool {
        let mut decided = Vec::new();
        let mut inner = self.lock();
        let draws = (rand::random(), rand::random());
        let served = inner.decisions.serve((room, hosts), draws, now);
        for ticket in served.started {
            match inner.waiting.remove(&ticket) {
                Some(to) => decided.push((to, Ok(self.slot(room)))),
                None => inner.decisions.finish(None),
            }
        }
        for Evicted { ticket, retry_after_ms } in served.refused {
            decided.extend(inner.waiting.remove(&ticket).map(|to| (to, Err(retry_after_ms))));
        }
        let waits = !inner.decisions.queue.is_empty();
        inner.short_at = now;
        inner.is_served = waits;
        metrics::gauge!("gateway_admission_waiting", "service" => self.service.to_string())
            .set(inner.decisions.queue.len() as f64);
        drop(inner);
        // A slot whose request is gone is given back, which takes the lock.
        for (to, decision) in decided {
            drop(to.send(decision));
        }
        waits
    }
}

impl<C> State<C> {
    /// Announces a load that a server has just reported to the other hosts, if they need to know it.
    pub fn announce_load(&self, backend: &Backend, load: Load, now: Millis) {
        let Some(scope) = self.announced_loads(backend) else { return };
        if let Some(report) = backend.announcement(load, scope, now) {
            // If the queue is full, the report is not announced. It does not count as known then,
            // so the next one is due.
            let _ = self.outbox.loads.try_send(report);
        }
    }

    /// Which load reports of a server the hosts announce; `None` if none.
    #[must_use]
    pub fn announced_loads(&self, backend: &Backend) -> Option<Scope> {
        let are_announced = self.placement.load().loads;
        match () {
            () if are_announced && backend.is_engine() => Some(Scope::Changes),
            () if are_announced || self.admission.is_on() => Some(Scope::NearlyFull),
            () => None,
        }
    }

    /// The room of a service's servers that take work.
    fn room(&self, gate: &Gate, kind: Kind, now: Millis) -> Option<Room> {
        let work_ms = gate.lock().decisions.work_ms;
        let snapshot = self.snapshot.load();
        let pool = snapshot.pools.get(&gate.service)?;
        let count = pool.backends.len();
        let servers = sample::draw(count, SERVERS_MAX, rand::random());
        let servers = servers.map(|index| &pool.backends[index]);
        let working = servers.filter(|backend| backend.server.accepts_work(now));
        let room = Room::of(working.map(|backend| backend.load_view(now)), kind, work_ms);
        let room = room.scaled(count, SERVERS_MAX);
        (room.slots > 0).then_some(room)
    }

    /// The number of hosts in all failure domains, this one included.
    fn host_count(&self, service: &Name) -> u32 {
        let near = self.peers.load().as_ref().as_ref().map_or(0, |peers| peers.others.len()) + 1;
        let snapshot = self.snapshot.load();
        let domains = snapshot.pools.get(service).map_or(1, |pool: &Arc<Pool>| pool.domains());
        u32::try_from(near * domains.max(1)).unwrap_or(u32::MAX)
    }
}

impl<C: Codec> State<C> {
    /// Admits the waiting requests of a service until none is left, and goes on after a panic.
    async fn keep_serving(self: Arc<Self>, gate: Arc<Gate>) {
        restart::until_done(RESTART_DELAY, || Arc::clone(&self).serve_waiting(Arc::clone(&gate)))
            .await;
    }

    /// Admits the waiting requests of a service until none is left.
    async fn serve_waiting(self: Arc<Self>, gate: Arc<Gate>) {
        loop {
            // Whether the time is over or a slot became free, the servers are looked at again.
            let _ = tokio::time::timeout(LOOK_INTERVAL, gate.freed.notified()).await;
            let (kind, now) = (gate.lock().kind, clock::steady());
            // Without a server that takes work, each request is decided as if it did not wait.
            let room = self.room(&gate, kind, now).unwrap_or(Room::unlimited());
            if !gate.serve(room, self.host_count(&gate.service), now) {
                return;
            }
        }
    }
}

impl Backend {
    /// The server's load as this host knows it.
    pub(crate) fn load_view(&self, now: Millis) -> Server {
        let estimate = self.estimate(0, now);
        Server {
            slots: self.slots,
            own: self.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            reported: estimate.reported,
            own_then: estimate.own_at_report,
            report_age_ms: engine::age_ms(estimate.reported_at, now),
        }
    }
}
