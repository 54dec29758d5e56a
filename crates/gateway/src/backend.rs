//! One start of a backend server, and what this host believes of it.

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
use policy::slowdown::{Shown, Slowdown};
use policy::suspicion::Suspicion;
use policy::throttle::Place;
use policy::time::Millis;
use wire::backend;

pub use self::probe::Liveness;
pub use self::restriction::{Restriction, RestrictionNotice};
use crate::codec::{Load, PromptPart};

/// Connection attempts in a row that must time out before the server is held ill. A lost packet
/// delays one attempt past its time; two in a row are rare on a link that works.
const TIMEOUTS_TO_ILL: u32 = 2;
/// How long a prompt's part is believed to stay in an engine's cache, in milliseconds.
const CACHE_LIFETIME_MS: u64 = 30_000;
/// How long a host is left alone that takes no requests, in milliseconds.
const UNAVAILABLE_PAUSE_MS: u64 = 1_000;
/// How long what a host says of its requests is believed, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Parts remembered for one engine at most.
const CACHED_PARTS_MAX: usize = 4_096;

policy::domain! {
    /// A long prompt that was just sent to a backend server, as it is announced to other hosts.
    pub struct Prefill {
        /// The backend server's start.
        pub backend: Name,
        /// How long it will be kept, in milliseconds.
        pub read_ms: u32,
        /// The prompt's place among those that wait there.
        #[serde(default)]
        pub rank: u8,
    }
}

/// A backend server.
pub struct Backend {
    /// The server's.
    pub id: Name,
    /// When this start of it began, in milliseconds since the epoch; 0 if it does not say.
    pub born: u64,
    /// Of its software or weights.
    pub version: Name,
    /// Requests that it works on at once, as listed.
    pub slots: u32,
    /// Whether it stands in this host's failure domain.
    pub is_near: bool,
    /// It is another host, by way of which requests go that reach no server from here.
    pub is_host: bool,
    /// Hash of its id, which preferences are worked out from.
    pub id_hash: u64,
    /// Connections, requests under way, health.
    pub server: Arc<Server>,
    observations: Mutex<Observations>,
    /// When it last refused a connection, in milliseconds; 0 if it has answered since.
    refused_at: AtomicU64,
    /// When it was last looked whether it has ended, and what that showed.
    last_probe: tokio::sync::Mutex<Option<(Millis, Liveness)>>,
}

/// An answer that has not begun, until dropped.
pub struct PendingAnswer {
    backend: Arc<Backend>,
    number: u64,
}

impl PendingAnswer {
    /// It has begun.
    pub fn begin(self, now: Millis) {
        self.backend.lock().backlog.began(self.number, now);
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.backend.lock().backlog.dropped(self.number);
    }
}

#[derive(Default)]
struct Observations {
    suspicion: Suspicion,
    slowdown: Slowdown,
    timeouts: u32,
    /// Prompts sent there.
    backlog: Backlog,
    reported: u32,
    own_at_report: u32,
    reported_at: Millis,
    last_contact: Millis,
    probed_at: Millis,
    /// What this host may send it, if it falls over when it turns away too many requests.
    room: Room,
    /// Parts of prompts by model and part, and when they were last used.
    cached_parts: HashMap<(u64, u64), Millis>,
}

/// What placement needs of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests there by its last report.
    pub reported: u32,
    /// This host's at that time.
    pub own_at_report: u32,
    /// When it came; 0 for never.
    pub reported_at: Millis,
    /// Time until it would begin to read the prompt, in milliseconds.
    pub wait_ms: f64,
    /// Leading tokens of the prompt believed to be cached.
    pub cached_tokens: f64,
    /// Share of requests that it is expected to fail.
    pub suspicion: f64,
    /// Factor by which its work takes longer than usual.
    pub slowdown: f64,
}

impl Backend {
    /// One that nothing is known of yet.
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

    /// It is a host and says that it takes no requests now.
    pub fn record_unavailable(&self, now: Millis) {
        let pause = Statement { pause_ms: Some(UNAVAILABLE_PAUSE_MS), ..Statement::default() };
        self.server.with_intake(now, |intake| intake.heard(&pause, now, rand::random(), now));
    }

    /// Requests under way there, as it said lately.
    #[must_use]
    pub fn recent_requests(&self, now: Millis) -> Option<f64> {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let observations = self.lock();
        let is_recent = now.since(observations.reported_at) < REPORT_LIFETIME_MS;
        is_recent.then(|| f64::from(observations.reported.max(own)))
    }

    /// What is believed of it, for a prompt.
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

    /// Whether this host may send it a request, if it tolerates so many rejected ones a second.
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

    /// A request is about to be sent there.
    pub fn record_chosen(&self, now: Millis) {
        self.lock().room.sent(now);
    }

    /// It turned a request away, and tolerates so many a second; `draw` is a uniform draw.
    pub fn record_rejected(&self, per_second: f64, draw: f64, now: Millis) {
        self.lock().room.rejected(per_second, self.slots, draw, now);
    }

    /// Requests that it had by its last report; none if it gave none.
    #[must_use]
    pub fn reported_requests(&self) -> Option<u32> {
        let observations = self.lock();
        (observations.reported_at > Millis(0)).then_some(observations.reported)
    }

    /// A prompt was sent there, which will keep it for a time. The answer is waited for until what
    /// is returned is dropped.
    #[must_use]
    pub fn record_sent(
        self: &Arc<Self>,
        model: u64,
        parts: &[PromptPart],
        prompt: Prompt,
        now: Millis,
    ) -> PendingAnswer {
        let mut observations = self.lock();
        let number = observations.backlog.sent(prompt, now);
        if observations.cached_parts.len() > CACHED_PARTS_MAX {
            observations.cached_parts.retain(|_, used| now.since(*used) < CACHE_LIFETIME_MS);
        }
        for part in parts {
            observations.cached_parts.insert((model, part.id), now);
        }
        drop(observations);
        PendingAnswer { backend: Arc::clone(self), number }
    }

    /// A prompt sent by another host will keep it for a time.
    pub fn record_announced(&self, prompt: Prompt, now: Millis) {
        self.lock().backlog.announced(prompt, now);
    }

    /// Streams of it were seen, by this host or by another one.
    pub fn record_streams(&self, shown: Shown, now: Millis) {
        self.lock().slowdown.note(shown, now);
    }

    /// Its load as reported with an answer.
    pub fn record_load(&self, load: Load, now: Millis) {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let mut observations = self.lock();
        observations.reported = load.requests;
        observations.own_at_report = own;
        observations.reported_at = now;
        drop(observations);
        let in_flight = load.requests;
        self.server.note_load(backend::Load { in_flight, slots: load.slots, draining: false }, now);
    }

    /// It said anything at all.
    pub fn record_contact(&self, now: Millis) {
        self.refused_at.store(0, Ordering::Relaxed);
        self.lock().last_contact = now;
    }

    /// A request that it worked on ended well, or did not.
    pub fn record_outcome(&self, failed: bool, now: Millis) {
        let mut observations = self.lock();
        observations.suspicion.note(failed, now);
        if !failed {
            observations.timeouts = 0;
            drop(observations);
            self.server.note_success(now);
        }
    }

    /// It refuses connections.
    pub fn record_refused(&self, now: Millis) {
        if !self.server.is_ill(now) {
            self.lock().suspicion.note(true, now);
        }
        self.server.note_failure(now);
    }

    /// A connection to it timed out; true if it is now held ill.
    pub fn record_timeout(&self, now: Millis) -> bool {
        // What others under way find then is the same silence. Counted for each, it would speak against
        // the server long after it goes on.
        if self.server.is_ill(now) {
            return true;
        }
        let mut observations = self.lock();
        observations.suspicion.note(true, now);
        observations.timeouts += 1;
        let ill = observations.timeouts >= TIMEOUTS_TO_ILL;
        drop(observations);
        if ill {
            self.server.note_failure(now);
        }
        ill
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
