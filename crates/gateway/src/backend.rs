//! One start of a backend server, and what this host knows of it.

pub mod probe;
mod restriction;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::server::Server;
use policy::backlog::{Backlog, Prompt};
use policy::intake::Statement;
use policy::name::Name;
use policy::place;
use policy::rejection::{self, Room};
use policy::slowdown::{Observation, Slowdown};
use policy::suspicion::Suspicion;
use policy::throttle::Place;
use policy::time::Millis;
use wire::backend;

pub use self::probe::Liveness;
pub use self::restriction::{Restriction, RestrictionNotice};
use crate::codec::{Load, PromptPart};

/// Consecutive connection attempts that must time out before a server is marked ill. A lost packet
/// delays one attempt beyond its timeout; two in a row are rare on a working link.
const TIMEOUTS_TO_ILL: u32 = 2;
/// How long a prompt part is assumed to stay in an engine's cache after its last use.
const CACHE_LIFETIME_MS: u64 = 30_000;
/// How long a host that says it takes no requests is not asked again.
const UNAVAILABLE_PAUSE_MS: u64 = 1_000;
/// How long another host's report of its requests in flight is used.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Prompt parts remembered for one engine before outdated ones are removed.
const CACHED_PARTS_MAX: usize = 4_096;

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
    /// The server's connections, requests in flight and health.
    pub server: Arc<Server>,
    observations: Mutex<Observations>,
    /// When the server last refused a connection, in milliseconds; 0 if it has answered since.
    refused_at: AtomicU64,
    /// When the server was last probed for having ended, and the result.
    last_probe: tokio::sync::Mutex<Option<(Millis, Liveness)>>,
}

/// A prompt that was sent and whose answer has not begun. Dropped before that, the prompt no longer
/// counts as waiting.
pub struct PendingAnswer {
    backend: Arc<Backend>,
    number: u64,
}

impl PendingAnswer {
    /// Records that the answer has begun.
    pub fn begin(self, now: Millis) {
        self.backend.lock().backlog.record_answer_start(self.number, now);
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.backend.lock().backlog.remove(self.number);
    }
}

#[derive(Default)]
struct Observations {
    suspicion: Suspicion,
    slowdown: Slowdown,
    timeouts: u32,
    /// Prompts that wait at the server or are being read there.
    backlog: Backlog,
    reported: u32,
    own_at_report: u32,
    reported_at: Millis,
    last_contact: Millis,
    probed_at: Millis,
    /// What this host may send to the server, if it crashes when it rejects too many requests.
    room: Room,
    /// When prompt parts were last used at the server, by hash of the model and id of the part.
    cached_parts: HashMap<(u64, u64), Millis>,
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
    /// Leading tokens of the prompt that are assumed to be cached.
    pub cached_tokens: f64,
    /// The fraction of requests that the server is expected to fail.
    pub suspicion: f64,
    /// The factor by which the server's work takes longer than usual.
    pub slowdown: f64,
}

impl Backend {
    /// A backend server of which nothing is known yet but its row.
    #[must_use]
    pub fn new(row: &wire::routing::Backend, is_near: bool) -> Self {
        let domain = row.failure_domain.clone();
        Self {
            id: row.id.clone(),
            born: row.born,
            version: row.version.clone(),
            slots: row.slots,
            is_near,
            is_host: false,
            id_hash: place::hash(row.id.as_bytes()),
            server: Arc::new(Server::new(row.id.clone(), row.address, domain)),
            observations: Mutex::default(),
            refused_at: AtomicU64::new(0),
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

    /// Requests in flight at this host or server, if it has reported them recently.
    #[must_use]
    pub fn recent_requests(&self, now: Millis) -> Option<f64> {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let observations = self.lock();
        let is_recent = now.since(observations.reported_at) < REPORT_LIFETIME_MS;
        is_recent.then(|| f64::from(observations.reported.max(own)))
    }

    /// What this host knows of the server, for a prompt of the given parts and rank.
    #[must_use]
    pub fn estimate(&self, model: u64, parts: &[PromptPart], rank: u8, now: Millis) -> Estimate {
        let mut observations = self.lock();
        let wait_ms = observations.backlog.wait_ms(rank, now);
        let is_cached = |part: &&PromptPart| {
            let used = observations.cached_parts.get(&(model, part.id));
            used.is_some_and(|used| now.since(*used) < CACHE_LIFETIME_MS)
        };
        let cached = parts.iter().take_while(is_cached);
        Estimate {
            reported: observations.reported,
            own_at_report: observations.own_at_report,
            reported_at: observations.reported_at,
            wait_ms,
            cached_tokens: cached.map(|part| f64::from(part.tokens)).sum(),
            suspicion: observations.suspicion.share(now),
            slowdown: observations.slowdown.factor(now),
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

    /// Requests at the server by its last report; `None` if there was none.
    #[must_use]
    pub fn reported_requests(&self) -> Option<u32> {
        let observations = self.lock();
        (observations.reported_at > Millis(0)).then_some(observations.reported)
    }

    /// Records that a prompt was sent to the server, which will be busy reading it. The prompt
    /// counts as waiting until the returned guard is dropped or told that the answer has begun.
    #[must_use]
    pub fn record_sent(
        self: &Arc<Self>,
        model: u64,
        parts: &[PromptPart],
        prompt: Prompt,
        now: Millis,
    ) -> PendingAnswer {
        let mut observations = self.lock();
        let number = observations.backlog.add_own(prompt, now);
        if observations.cached_parts.len() > CACHED_PARTS_MAX {
            observations.cached_parts.retain(|_, used| now.since(*used) < CACHE_LIFETIME_MS);
        }
        for part in parts {
            observations.cached_parts.insert((model, part.id), now);
        }
        drop(observations);
        PendingAnswer { backend: Arc::clone(self), number }
    }

    /// Records that another host sent a prompt, which will keep the server busy for a time.
    pub fn record_announced(&self, prompt: Prompt, now: Millis) {
        self.lock().backlog.add_announced(prompt, now);
    }

    /// Records the pace of streams of the server that this host or another one has observed.
    pub fn record_streams(&self, shown: Observation, now: Millis) {
        self.lock().slowdown.record(shown, now);
    }

    /// Records the load that the server reported with an answer.
    pub fn record_load(&self, load: Load, now: Millis) {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let mut observations = self.lock();
        observations.reported = load.requests;
        observations.own_at_report = own;
        observations.reported_at = now;
        drop(observations);
        let in_flight = load.requests;
        self.server
            .record_load(backend::Load { in_flight, slots: load.slots, draining: false }, now);
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

    /// Records that the server refused a connection.
    pub fn record_refused(&self, now: Millis) {
        if !self.server.is_ill(now) {
            self.lock().suspicion.record(true, now);
        }
        self.server.record_failure(now);
    }

    /// Records that a connection to the server timed out. Returns true if the server is now ill.
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
