//! Backend servers as this process knows them: idle connections, health, load reports.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::intake::Intake;
use policy::name::Name;
use policy::time::Millis;
use policy::{place, probe};
use wire::backend::Load;

use crate::clock;
use crate::connection::{Connection, Failure};

/// An idle connection older than this is retired: something between the two ends may have lost
/// track of it, and then the next request on it would wait for nothing.
pub const IDLE: Duration = Duration::from_millis(probe::IDLE_MS);
/// Idle connections kept for one backend server.
const IDLE_MAX: usize = 64;

/// What this process saw of a backend server's health; the newest evidence wins.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Whether it is believed to work.
    pub probe: probe::Health,
    /// Its last load report.
    pub load: Load,
    /// What the report counted beyond this process's own requests at that moment.
    pub others: u32,
    /// When that came; 0 for never.
    pub load_at: Millis,
    /// When it last answered anything else.
    pub worked_at: Millis,
}

/// One backend server, kept across views for as long as the host list names it.
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: Name,
    /// Requests of this process under way there.
    pub in_flight: AtomicU32,
    hash: u64,
    idle: Mutex<Vec<Connection>>,
    health: Mutex<Health>,
    intake: Mutex<Intake>,
    /// Most servers say nothing of what they take, and need not be locked to learn that.
    is_restricted: AtomicBool,
}

impl Server {
    /// One that nothing is known of yet.
    #[must_use]
    pub fn new(name: Name, address: SocketAddr, failure_domain: Name) -> Self {
        Self {
            hash: place::hash(name.as_bytes()),
            name,
            address,
            failure_domain,
            in_flight: AtomicU32::new(0),
            idle: Mutex::default(),
            health: Mutex::default(),
            intake: Mutex::default(),
            is_restricted: AtomicBool::new(false),
        }
    }

    /// An idle connection, the most recently used first.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.usable(IDLE));
        let ready = idle.iter().rposition(Connection::is_ready)?;
        Some(idle.remove(ready))
    }

    /// A connection for a request: an idle one that proved to work within `reuse`, or a new one.
    ///
    /// A connection can go silent for good while new ones work, and one that answered a moment ago
    /// may be silent now. A request that may not be repeated could not leave it: it would end as
    /// "may have run". Such a request gives no `reuse` and pays for a new connection.
    ///
    /// # Errors
    /// Always with `sent: false`.
    pub async fn connect(
        &self,
        reuse: Option<Duration>,
        within: Duration,
    ) -> Result<Connection, Failure> {
        let idle = reuse.and_then(|reuse| self.take_idle().filter(|idle| idle.usable(reuse)));
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address, within).await,
        }
    }

    /// Keeps a connection for later.
    pub fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    /// Closes the idle connections that are too old, or all of them.
    pub fn retire(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !all && connection.usable(IDLE));
    }

    /// What is known of its health.
    #[must_use]
    pub fn health(&self) -> Health {
        self.lock().clone()
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self, now: Millis) -> bool {
        let health = self.lock();
        let is_well = !health.load.draining && health.probe.ill_until <= now;
        is_well && self.closed_until(clock::steady()).is_none()
    }

    /// Whether it was found ill.
    #[must_use]
    pub fn is_ill(&self, now: Millis) -> bool {
        self.lock().probe.ill_until > now
    }

    /// Uses what it says of how much it takes; `now` is of the steady clock.
    pub fn with_intake<T>(&self, now: Millis, use_it: impl FnOnce(&mut Intake) -> T) -> T {
        let mut intake = self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        let used = use_it(&mut intake);
        self.is_restricted.store(intake.is_restricted(now), Ordering::Relaxed);
        used
    }

    /// Whether it says anything that keeps requests from it.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.is_restricted.load(Ordering::Relaxed)
    }

    /// Until when it wants nothing, as it says itself, by the steady clock; none if it takes requests.
    #[must_use]
    pub fn closed_until(&self, now: Millis) -> Option<Millis> {
        let intake = || self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        if self.is_restricted() { intake().closed_until(now) } else { None }
    }

    /// When a pause ends, by the time of day, as health is kept; 0 if there is none. Pauses are kept by the
    /// steady clock: the other one may be set back.
    fn pause_end(&self) -> Millis {
        let now = clock::steady();
        self.closed_until(now).map_or(Millis(0), |until| clock::now() + until.since(now))
    }

    /// Whether it has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let intake = || self.intake.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_restricted() && intake().is_leaving()
    }

    /// As placement sees it.
    #[must_use]
    pub fn placed(&self) -> place::Server {
        let health = self.lock();
        let known = health.load_at > Millis(0);
        let own = self.in_flight.load(Ordering::Relaxed);
        place::Server {
            name: self.name.clone(),
            in_flight: own,
            report: known.then_some(place::Report {
                // Placement takes its own count off again. Taking today's off an old report would
                // make others' load of every request of ours that ended since.
                in_flight: own.saturating_add(health.others),
                slots: health.load.slots,
                at: health.load_at,
            }),
            draining: health.load.draining || self.is_leaving(),
            ill_until: health.probe.ill_until.max(self.pause_end()),
            hash: self.hash,
        }
    }

    /// It answered on a connection that works.
    pub fn note_success(&self, now: Millis) {
        let mut health = self.lock();
        health.probe.mark_healthy();
        health.worked_at = now;
    }

    /// Whether it answered anything since then.
    #[must_use]
    pub fn worked_since(&self, since: Millis) -> bool {
        self.lock().worked_at >= since
    }

    /// An old connection of it went silent or broke: that speaks against the connection, so
    /// the others of its age are closed too, and the server is tried on a new one.
    pub fn note_suspicion(&self) {
        self.lock().probe.mark_suspect();
        self.retire(true);
    }

    /// It refused a connection, or failed on a new one.
    pub fn note_failure(&self, now: Millis) {
        let mut health = self.lock();
        // Others that were under way when it was found ill say nothing new. Were each to double the time,
        // a second of silence would keep a busy server out for half a minute.
        if health.probe.ill_until <= now {
            health.probe.record_failure(now);
        }
        drop(health);
        self.retire(true);
    }

    /// Its own report. A server that answers is reachable again, so it is no longer held ill;
    /// its own `draining` is newer than any list.
    pub fn note_load(&self, load: Load, now: Millis) {
        let mut health = self.lock();
        health.others = load.in_flight.saturating_sub(self.in_flight.load(Ordering::Relaxed));
        health.load = load;
        health.load_at = now;
        health.probe.mark_healthy();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request under way at a backend server; counted until dropped.
pub struct Lease {
    /// Where.
    pub server: Arc<Server>,
}

impl Lease {
    /// Counts one in.
    #[must_use]
    pub fn new(server: Arc<Server>) -> Self {
        server.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { server }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
