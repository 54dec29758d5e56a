//! This process's record of each backend server: idle connections, health and load reports.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::intake::Intake;
use policy::name::Name;
use policy::report::OwnRequests;
use policy::time::Millis;
use policy::{place, probe};
use wire::backend::Load;

use crate::clock;
use crate::connection::{Connection, Failure};

/// Age from which an idle connection is closed: a device between the two ends may have dropped its
/// state, and the next request on the connection would then wait in vain.
pub const IDLE: Duration = Duration::from_millis(probe::IDLE_MS);
/// Limit on the idle connections to one backend server.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Health of a backend server as this process has observed it; newer evidence replaces older.
///
/// Its times come from the clock that the callers pass as `now`: the wall clock in this crate, the
/// steady clock in the gateway.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// State of the health check: healthy, suspect, or held ill until a time.
    pub probe: probe::Health,
    /// Last load report of the server; the default before the first one.
    pub load: Load,
    /// Requests in flight from other hosts: those in the last load report minus this process's own
    /// requests at the moment the report arrived.
    pub others_in_flight: u32,
    /// Time at which the last load report arrived; 0 before the first one.
    pub load_received_at: Millis,
    /// Time of the last answer other than a load report; 0 before the first one.
    pub answered_at: Millis,
}

/// One backend server. The object is kept from view to view for as long as the host list names the
/// server as live at the same address.
pub struct Server {
    /// Name of the server in the host list.
    pub name: Name,
    /// Address at which the server accepts connections.
    pub address: SocketAddr,
    /// Failure domain that the server is in.
    pub failure_domain: Name,
    /// Requests of this process in flight at the server.
    pub in_flight: AtomicU32,
    /// The recent numbers of requests of this process in flight.
    own: Mutex<OwnRequests>,
    hash: u64,
    idle: Mutex<Vec<Connection>>,
    health: Mutex<Health>,
    intake: Mutex<Intake>,
    /// Whether `intake` restricts requests. Most servers set no restriction, and this flag spares
    /// them the lock.
    is_restricted: AtomicBool,
}

impl Server {
    /// A server without connections, reports or observations yet.
    #[must_use]
    pub fn new(name: Name, address: SocketAddr, failure_domain: Name) -> Self {
        Self {
            hash: place::hash(name.as_bytes()),
            name,
            address,
            failure_domain,
            in_flight: AtomicU32::new(0),
            own: Mutex::default(),
            idle: Mutex::default(),
            health: Mutex::default(),
            intake: Mutex::default(),
            is_restricted: AtomicBool::new(false),
        }
    }

    /// Removes and returns the most recently used idle connection that is ready for a request; none
    /// if there is no such connection.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.is_usable(IDLE));
        let ready = idle.iter().rposition(Connection::is_ready)?;
        Some(idle.remove(ready))
    }

    /// Returns a connection for a request: an idle one that last proved that it works less than
    /// `reuse` ago, or a new one, opened with `within` as the timeout.
    ///
    /// A connection can go silent for good while new ones work, even one that answered a moment
    /// ago. A request that may not be repeated can't move from it to another connection: it would
    /// be rejected as "may have run". Such a request passes none as `reuse` and takes the cost of a
    /// new connection.
    ///
    /// # Errors
    /// Always with `sent: false`.
    pub async fn connect(
        &self,
        reuse: Option<Duration>,
        within: Duration,
    ) -> Result<Connection, Failure> {
        let idle = reuse.and_then(|reuse| self.take_idle().filter(|idle| idle.is_usable(reuse)));
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address, within).await,
        }
    }

    /// Keeps a connection for later requests; closes it if the limit of idle ones is reached.
    pub fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }

    /// Closes the idle connections older than [`IDLE`], or with `all` every idle connection.
    pub fn retire(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !all && connection.is_usable(IDLE));
    }

    /// A copy of the current health.
    #[must_use]
    pub fn health(&self) -> Health {
        self.lock().clone()
    }

    /// Whether new requests may be sent to the server: it is not draining, not held ill, and
    /// has not asked for no requests.
    #[must_use]
    pub fn accepts_work(&self, now: Millis) -> bool {
        let health = self.lock();
        let is_healthy = !health.load.draining && health.probe.ill_until <= now;
        is_healthy && self.closed_until(clock::steady()).is_none()
    }

    /// Whether the server is held ill at `now`.
    #[must_use]
    pub fn is_ill(&self, now: Millis) -> bool {
        self.lock().probe.ill_until > now
    }

    /// Reads or updates what the server has said about the requests that it accepts. `now` is a
    /// time of the steady clock.
    pub fn with_intake<T>(&self, now: Millis, apply: impl FnOnce(&mut Intake) -> T) -> T {
        let mut intake = self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        let result = apply(&mut intake);
        self.is_restricted.store(intake.is_restricted(now), Ordering::Relaxed);
        result
    }

    /// Whether the server itself restricts the requests that it accepts.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.is_restricted.load(Ordering::Relaxed)
    }

    /// Steady-clock time until which the server has asked for no requests; none if it accepts
    /// requests.
    #[must_use]
    pub fn closed_until(&self, now: Millis) -> Option<Millis> {
        let intake = || self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        if self.is_restricted() { intake().closed_until(now) } else { None }
    }

    /// Wall-clock time at which a pause that the server asked for ends; 0 without a pause.
    /// Placement in this crate uses wall-clock times, but a pause is stored by the steady clock, as
    /// the wall clock may be set back.
    fn pause_end(&self) -> Millis {
        let now = clock::steady();
        self.closed_until(now).map_or(Millis(0), |until| clock::now() + until.since(now))
    }

    /// Whether the server has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let intake = || self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_restricted() && intake().is_leaving()
    }

    /// The record that placement decides by.
    #[must_use]
    pub fn placement_record(&self) -> place::Server {
        let health = self.lock();
        let has_report = health.load_received_at > Millis(0);
        let own = self.in_flight.load(Ordering::Relaxed);
        place::Server {
            name: self.name.clone(),
            in_flight: own,
            report: has_report.then_some(place::Report {
                // Placement subtracts the requests of this process again. Subtracting the present
                // count from an old report would count each request of this process that has ended
                // since as load from other hosts.
                in_flight: own.saturating_add(health.others_in_flight),
                slots: health.load.slots,
                at: health.load_received_at,
            }),
            draining: health.load.draining || self.is_leaving(),
            ill_until: health.probe.ill_until.max(self.pause_end()),
            hash: self.hash,
        }
    }

    /// Records that the server answered on a working connection.
    pub fn record_success(&self, now: Millis) {
        let mut health = self.lock();
        health.probe.mark_healthy();
        health.answered_at = now;
    }

    /// Whether the server answered anything but a load report at or after `since`.
    #[must_use]
    pub fn answered_since(&self, since: Millis) -> bool {
        self.lock().answered_at >= since
    }

    /// Records that a reused connection went silent or broke. That is evidence against the
    /// connection and not yet against the server, so all idle connections are closed and the next
    /// request uses a new one.
    pub fn record_suspicion(&self) {
        self.lock().probe.mark_suspect();
        self.retire(true);
    }

    /// Records that the server refused a connection or failed on a new one, and holds it ill.
    pub fn record_failure(&self, now: Millis) {
        let mut health = self.lock();
        // Failures of requests that were in flight when the server was first held ill are no new
        // evidence. If each doubled the time, a second of silence would exclude a busy server for
        // half a minute.
        if health.probe.ill_until <= now {
            health.probe.record_failure(now);
        }
        drop(health);
        self.retire(true);
    }

    /// Records a load report. A server that answers is reachable again, so it is no longer held
    /// ill. The `draining` in its own report is newer than any host list.
    pub fn record_load(&self, load: Load, now: Millis) {
        let mut health = self.lock();
        health.others_in_flight =
            load.in_flight.saturating_sub(self.in_flight.load(Ordering::Relaxed));
        health.load = load;
        health.load_received_at = now;
        health.probe.mark_healthy();
    }

    /// Requests of this process that were in flight at the server at a recent time.
    #[must_use]
    pub fn own_at(&self, time: Millis) -> u32 {
        let own = self.own();
        own.at(time, self.in_flight.load(Ordering::Relaxed))
    }

    fn own(&self) -> std::sync::MutexGuard<'_, OwnRequests> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request in flight at a backend server until it is dropped.
pub struct Lease {
    /// Server that the request was sent to.
    pub server: Arc<Server>,
}

impl Lease {
    /// Adds one to the server's requests in flight.
    #[must_use]
    pub fn new(server: Arc<Server>) -> Self {
        let mut own = server.own();
        let before = server.in_flight.fetch_add(1, Ordering::Relaxed);
        own.record_change(before, clock::steady());
        drop(own);
        Self { server }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut own = self.server.own();
        let before = self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
        own.record_change(before, clock::steady());
    }
}
