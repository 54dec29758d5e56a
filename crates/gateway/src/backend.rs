//! One start of a backend server, and what this host knows of it.

mod pending;
pub mod probe;
mod report;
mod restriction;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::server::Server;
use policy::backlog::{Backlog, Prompt};
use policy::hedge;
use policy::intake::Statement;
use policy::name::Name;
use policy::place;
use policy::prefix::{self, Part, Recent, Weights};
use policy::rejection::{self, Room};
use policy::report::Announcements;
use policy::slowdown::{Moment, Observation, Slowdown};
use policy::suspicion::Suspicion;
use policy::throttle::Place;
use policy::time::Millis;

pub use self::pending::{OpenBackup, OpenTransfer, PendingAnswer};
pub use self::probe::Liveness;
pub use self::report::LoadReport;
pub use self::restriction::{Restriction, RestrictionNotice};

/// Consecutive connection attempts that must time out before a server is marked ill. A lost packet
/// delays one attempt beyond its timeout; two in a row are rare on a working link.
const TIMEOUTS_TO_ILL: u32 = 2;
/// Part of the time in which hosts stop sending requests to a leaving server within which a stream
/// may continue there from its copy. The rest is for the request's way.
const TAKE_BACK_SHARE: f64 = 0.85;
/// How long a host that says it takes no requests is not asked again.
const UNAVAILABLE_PAUSE_MS: u64 = 1_000;

policy::domain! {
    /// A long prompt that was just sent to a backend server, as announced to other hosts.
    pub struct Prefill {
        /// The id of the backend server.
        pub backend: Name,
        /// How long the server is expected to read the prompt, in milliseconds.
        pub read_ms: u32,
        /// The prompt's rank among those that wait at the server; 0 is read first.
        #[serde(default)]
        pub rank: u8,
        /// Whether the server is in another failure domain than the hosts, so that only its cache
        /// matters to them.
        #[serde(default)]
        pub is_far: bool,
        /// The hash of the model; 0 if the caller chooses it.
        #[serde(default)]
        pub model: u64,
        /// The shared parts of the prompt; empty if the prefix cache index does not cover the
        /// server.
        #[serde(default)]
        pub shared: Vec<Part>,
    }
}

/// One start of a backend server, or another host that passes requests on.
pub struct Backend {
    /// The server's id, or the name of the host. A server may start again under the same id.
    pub id: Name,
    /// When this start began, in milliseconds since the epoch; 0 if it is not stated.
    pub born: u64,
    /// The version of the server's software or weights.
    pub version: Name,
    /// Requests that the server runs at once, as listed.
    pub slots: u32,
    /// Whether the server is in this host's failure domain.
    pub is_near: bool,
    /// Whether this is another host, through which requests go that reach no server from here.
    pub is_host: bool,
    /// Hash of the id. Hosts derive their preferences for servers from it.
    pub id_hash: u64,
    /// Identifies this start of the server in the prefix cache index.
    pub start: u64,
    /// The server's connections, requests in flight and health.
    pub server: Arc<Server>,
    /// Whether the server tells what it has cached.
    has_cache_events: AtomicBool,
    /// Transfers from the server that this host has asked for and that have not ended.
    transfers: AtomicU32,
    /// Tokens of the backups that this host has asked for at the server and that may exist.
    backup_tokens: AtomicU64,
    /// Whether the routing table describes the server as a model engine.
    is_engine: AtomicBool,
    /// Whether the server serves several models, so that cached parts belong to one of them.
    has_models: AtomicBool,
    /// Whether the server's row says that it is leaving.
    is_draining: AtomicBool,
    /// Whether the server's row is gone, and kept because it may have lapsed.
    is_kept: AtomicBool,
    /// Whether the server's row is gone and not kept.
    is_removed: AtomicBool,
    /// When the store can first have confirmed that the server leaves, in milliseconds; 0 while its
    /// row does not say so.
    draining_since: AtomicU64,
    observations: Mutex<Observations>,
    /// When the server last refused a connection, in milliseconds; 0 if it has answered since.
    refused_at: AtomicU64,
    /// When a new connection to the server last opened; 0 if none has.
    opened_at: AtomicU64,
    /// When the server was last probed for having ended, and the result.
    last_probe: tokio::sync::Mutex<Option<(Millis, Liveness)>>,
}

#[derive(Default)]
struct Observations {
    suspicion: Suspicion,
    slowdown: Slowdown,
    /// What the server reports of its speed at the moment.
    moment: Moment,
    timeouts: u32,
    /// Prompts that wait at the server or are being read there.
    backlog: Backlog,
    reported: u32,
    own_at_report: u32,
    reported_at: Millis,
    /// When the server made the newest report, or when the report came. A rejection is none.
    stated_at: Millis,
    announcements: Announcements,
    last_contact: Millis,
    /// When the server last gave a whole answer in a usual time.
    fast_at: Millis,
    probed_at: Millis,
    /// What this host may send to the server, if it crashes when it rejects too many requests.
    room: Room,
    /// Prompt parts that this host has recently sent to the server.
    recent_parts: Recent,
}

/// What this host estimates of a server when it places a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests at the server by its last report.
    pub reported: u32,
    /// This host's requests at the server at the time of that report.
    pub own_at_report: u32,
    /// When the last report came; 0 if there was none.
    pub reported_at: Millis,
    /// Time until the server would begin to read the prompt, in milliseconds.
    pub wait_ms: f64,
    /// The fraction of requests that the server is expected to fail.
    pub suspicion: f64,
    /// The factor by which the server's work takes longer than usual.
    pub slowdown: f64,
    /// The further factor at this moment, by the server's own reports.
    pub moment: f64,
    /// The factor that the server usually reports.
    pub usual_moment: f64,
}

impl Backend {
    /// A backend server of which nothing is known yet but its row.
    #[must_use]
    pub fn new(row: &wire::routing::Backend, is_near: bool) -> Self {
        let domain = row.failure_domain.clone();
        let id_hash = place::hash(row.id.as_bytes());
        Self {
            id: row.id.clone(),
            born: row.born,
            version: row.version.clone(),
            slots: row.slots,
            is_near,
            is_host: false,
            id_hash,
            start: prefix::start(id_hash, row.born),
            has_cache_events: AtomicBool::new(false),
            transfers: AtomicU32::new(0),
            backup_tokens: AtomicU64::new(0),
            is_engine: AtomicBool::new(false),
            has_models: AtomicBool::new(false),
            is_draining: AtomicBool::new(row.draining),
            is_kept: AtomicBool::new(false),
            is_removed: AtomicBool::new(false),
            draining_since: AtomicU64::new(0),
            server: Arc::new(Server::new(row.id.clone(), row.address, domain)),
            observations: Mutex::default(),
            refused_at: AtomicU64::new(0),
            opened_at: AtomicU64::new(0),
            last_probe: tokio::sync::Mutex::default(),
        }
    }

    /// Another host that passes requests on.
    #[must_use]
    pub fn host(name: Name, address: SocketAddr, failure_domain: Name, is_near: bool) -> Self {
        let row = wire::routing::Backend {
            id: name,
            born: 0,
            service: Name::default(),
            address,
            failure_domain,
            version: Name::default(),
            slots: 0,
            draining: false,
            warmup_ms: None,
        };
        Self { is_host: true, ..Self::new(&row, is_near) }
    }

    /// Records that this host (`is_host`) says it takes no requests now.
    pub fn record_unavailable(&self, now: Millis) {
        let pause = Statement { pause_ms: Some(UNAVAILABLE_PAUSE_MS), ..Statement::default() };
        self.server
            .with_intake(now, |intake| intake.record_answer(&pause, now, rand::random(), now));
    }

    /// What this host knows of the server, for a prompt of the given rank.
    #[must_use]
    pub fn estimate(&self, rank: u8, now: Millis) -> Estimate {
        let mut observations = self.lock();
        let wait_ms = observations.backlog.wait_ms(rank, now);
        Estimate {
            reported: observations.reported,
            own_at_report: observations.own_at_report,
            reported_at: observations.reported_at,
            wait_ms,
            suspicion: observations.suspicion.share(now),
            slowdown: observations.slowdown.factor(now),
            moment: observations.moment.factor(now),
            usual_moment: observations.moment.usual_factor(),
        }
    }

    /// Whether this host may send the server a request, if the server tolerates only `per_second`
    /// rejected requests.
    #[must_use]
    pub fn has_room(&self, per_second: f64, place: &Place, now: Millis) -> bool {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let observations = self.lock();
        let age_ms = now.since(observations.reported_at);
        let reported =
            (observations.reported_at > Millis(0)).then_some((observations.reported, age_ms));
        let load = rejection::Load { slots: self.slots, own, reported };
        observations.room.is_open(per_second, &load, place, now)
    }

    /// Records that a request is about to be sent to a server with a limited tolerance for rejected
    /// requests.
    pub fn record_chosen(&self, now: Millis) {
        self.lock().room.record_sent(now);
    }

    /// Records that the server rejected a request. It tolerates `per_second` rejected requests;
    /// `draw` is uniform in 0 to 1.
    pub fn record_rejected(&self, per_second: f64, draw: f64, now: Millis) {
        self.lock().room.record_rejection(per_second, self.slots, draw, now);
    }

    /// Sets what the routing table says of the server's service.
    pub fn set_service(&self, service: Option<&wire::routing::Service>) {
        let engine = service.and_then(|service| service.engine.as_ref());
        self.is_engine.store(engine.is_some(), Ordering::Relaxed);
        let has_cache_events = engine.is_some_and(|engine| engine.events_max > 0);
        self.has_cache_events.store(has_cache_events, Ordering::Relaxed);
        let has_models = service.is_some_and(|service| service.models.len() > 1);
        self.has_models.store(has_models, Ordering::Relaxed);
    }

    /// Sets that the server is listed, and whether its row says that it is leaving, which the store
    /// can have confirmed from `since` on.
    pub fn set_listed(&self, is_draining: bool, since: Millis) {
        self.is_removed.store(false, Ordering::Relaxed);
        if is_draining && !self.is_draining.swap(true, Ordering::Relaxed) {
            self.draining_since.store(since.0.max(1), Ordering::Relaxed);
        }
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Sets that the server's row is gone for good.
    pub fn set_removed(&self) {
        self.is_removed.store(true, Ordering::Relaxed);
    }

    /// Whether the server's row is gone, or says that it is leaving.
    fn is_delisted(&self) -> bool {
        self.is_removed.load(Ordering::Relaxed) || self.is_draining.load(Ordering::Relaxed)
    }

    /// Since when the server has been leaving, as far as this host can know: by its row or by what it
    /// says itself. None if it is not leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Millis> {
        let said_at = self.with_intake(|intake| intake.leaving_at());
        let draining_since = Millis(self.draining_since.load(Ordering::Relaxed));
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        is_draining.then_some(draining_since).into_iter().chain(said_at).min()
    }

    /// Whether a stream may still continue at the server, which is leaving and keeps its KV cache.
    /// `leaving_ms` is the time after which it must get no requests.
    #[must_use]
    pub fn may_take_back(&self, leaving_ms: u64, now: Millis) -> bool {
        let most_ms = (leaving_ms as f64 * TAKE_BACK_SHARE) as u64;
        let is_removed = self.is_removed.load(Ordering::Relaxed);
        !is_removed && self.leaving_since().is_none_or(|since| now.since(since) < most_ms)
    }

    /// Sets whether the server's row is gone, and kept because it may have lapsed.
    pub fn set_kept(&self, is_kept: bool) {
        self.is_kept.store(is_kept, Ordering::Relaxed);
    }

    /// Whether the server's row is gone, and kept because it may have lapsed.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.is_kept.load(Ordering::Relaxed)
    }

    /// Whether the server is leaving, by its row or by what it says itself.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed) || self.server.is_leaving()
    }

    /// Whether the routing table describes the server as a model engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.is_engine.load(Ordering::Relaxed)
    }

    /// Whether the server tells what it has cached.
    #[must_use]
    pub fn has_cache_events(&self) -> bool {
        self.has_cache_events.load(Ordering::Relaxed)
    }

    /// The weights by which the server computes the parts of prompts, for a model given by its
    /// hash. A server of one model uses it whether a request names it or not.
    #[must_use]
    pub fn weights(&self, model: u64) -> Weights {
        let has_models = self.has_models.load(Ordering::Relaxed);
        Weights::new(if has_models { model } else { 0 }, &self.version)
    }

    /// Records the parts of a prompt that this host sends to the server.
    pub(crate) fn record_parts(&self, model: u64, parts: &[Part], now: Millis) {
        self.lock().recent_parts.record(model, parts, now);
    }

    /// The leading tokens of a prompt that this host has recently sent to the server.
    pub(crate) fn recently_sent(&self, model: u64, parts: &[Part], now: Millis) -> f64 {
        self.lock().recent_parts.cached_tokens(model, parts, now)
    }

    /// Records that another host sent a prompt, which will keep the server busy for a time.
    pub fn record_announced(&self, prompt: Prompt, now: Millis) {
        self.lock().backlog.add_announced(prompt, now);
    }

    /// Records the pace of streams of the server that this host or another one has observed.
    pub fn record_streams(&self, shown: Observation, now: Millis) {
        self.lock().slowdown.record(shown, now);
    }

    /// Records that the server sent anything at all.
    pub fn record_contact(&self, now: Millis) {
        self.refused_at.store(0, Ordering::Relaxed);
        self.lock().last_contact = now;
    }

    /// Records whether a request that the server worked on failed.
    pub fn record_outcome(&self, failed: bool, now: Millis) {
        let mut observations = self.lock();
        observations.suspicion.record(failed, now);
        if !failed {
            observations.timeouts = 0;
            drop(observations);
            self.server.record_success(now);
        }
    }

    /// Records that another server answered a request before this one.
    pub fn record_slow(&self, now: Millis) {
        self.lock().suspicion.record_slow(now);
    }

    /// Records that the server gave a whole answer in a usual time, to this host or a peer.
    pub fn record_fast(&self, at: Millis) {
        let mut observations = self.lock();
        observations.fast_at = observations.fast_at.max(at);
    }

    /// What is known of the server's load and speed when a request may be hedged. `hosts` may send to
    /// it; 0 if their number is not known.
    #[must_use]
    pub fn hedge_target(&self, hosts: u32) -> hedge::Target {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let observations = self.lock();
        hedge::Target {
            slots: self.slots,
            own,
            reported: observations.reported,
            own_at_report: observations.own_at_report,
            reported_at: observations.reported_at,
            fast_at: observations.fast_at,
            hosts,
        }
    }

    /// Records that the server refused a connection.
    pub fn record_refused(&self, now: Millis) {
        if !self.server.is_ill(now) {
            self.lock().suspicion.record(true, now);
        }
        self.server.record_failure(now);
    }

    /// Records that a connection to the server timed out, and no other one opened meanwhile. Returns
    /// true if the server is now ill.
    pub fn record_timeout(&self, now: Millis) -> bool {
        // The other connections that are being opened then meet the same silence. Counted one by
        // one, they would speak against the server long after it has recovered.
        if self.server.is_ill(now) {
            return true;
        }
        let mut observations = self.lock();
        observations.suspicion.record(true, now);
        observations.timeouts += 1;
        let ill = observations.timeouts >= TIMEOUTS_TO_ILL;
        drop(observations);
        if ill {
            self.server.record_failure(now);
        }
        ill
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
