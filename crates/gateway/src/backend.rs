//! One start of a backend server, and what this host believes of it.

pub mod look;
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

pub use self::look::Found;
pub use self::restriction::{Restricted, Restriction};
use crate::codec::{Load, Part};

/// Connection attempts in a row that must time out before the server is held ill. A lost packet
/// delays one attempt past its time; two in a row are rare on a link that works.
const TIMEOUTS_TO_ILL: u32 = 2;
/// How long a prompt's part is believed to stay in an engine's cache, in milliseconds.
const CACHED_MS: u64 = 30_000;
/// How long a host is left alone that takes no requests, in milliseconds.
const AWAY_MS: u64 = 1_000;
/// How long what a host says of its requests is believed, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// Parts remembered for one engine at most.
const PARTS_MAX: usize = 4_096;

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
    pub near: bool,
    /// It is another host, by way of which requests go that reach no server from here.
    pub is_host: bool,
    /// Hash of its id, which preferences are worked out from.
    pub hash: u64,
    /// Connections, requests under way, health.
    pub server: Arc<Server>,
    belief: Mutex<Belief>,
    /// When it last refused a connection, in milliseconds; 0 if it has answered since.
    refused_at: AtomicU64,
    /// When it was last looked whether it has ended, and what that showed.
    looked: tokio::sync::Mutex<Option<(Millis, Found)>>,
}

/// An answer that has not begun, until dropped.
pub struct Awaited {
    backend: Arc<Backend>,
    number: u64,
}

impl Awaited {
    /// It has begun.
    pub fn began(self, now: Millis) {
        self.backend.lock().backlog.record_answer_start(self.number, now);
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        self.backend.lock().backlog.remove(self.number);
    }
}

#[derive(Default)]
struct Belief {
    suspicion: Suspicion,
    slowdown: Slowdown,
    timeouts: u32,
    /// Prompts sent there.
    backlog: Backlog,
    reported: u32,
    own_then: u32,
    reported_at: Millis,
    heard_at: Millis,
    asked_at: Millis,
    /// What this host may send it, if it falls over when it turns away too many requests.
    room: Room,
    /// Parts of prompts by model and part, and when they were last used.
    parts: HashMap<(u64, u64), Millis>,
}

/// What placement needs of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Requests there by its last report.
    pub reported: u32,
    /// This host's at that time.
    pub own_then: u32,
    /// When it came; 0 for never.
    pub reported_at: Millis,
    /// Time until it would begin to read the prompt, in milliseconds.
    pub wait_ms: f64,
    /// Leading tokens of the prompt believed to be cached.
    pub cached: f64,
    /// Share of requests that it is expected to fail.
    pub suspicion: f64,
    /// Factor by which its work takes longer than usual.
    pub slowdown: f64,
}

impl Backend {
    /// One that nothing is known of yet.
    #[must_use]
    pub fn new(row: &wire::routing::Backend, near: bool) -> Self {
        let domain = row.failure_domain.clone();
        Self {
            id: row.id.clone(),
            born: row.born,
            version: row.version.clone(),
            slots: row.slots,
            near,
            is_host: false,
            hash: place::hash(row.id.as_bytes()),
            server: Arc::new(Server::new(row.id.clone(), row.address, domain)),
            belief: Mutex::default(),
            refused_at: AtomicU64::new(0),
            looked: tokio::sync::Mutex::default(),
        }
    }

    /// Another host that passes requests on.
    #[must_use]
    pub fn host(name: Name, address: SocketAddr, failure_domain: Name, near: bool) -> Self {
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
        Self { is_host: true, ..Self::new(&row, near) }
    }

    /// It is a host and says that it takes no requests now.
    pub fn note_away(&self, now: Millis) {
        let pause = Statement { pause_ms: Some(AWAY_MS), ..Statement::default() };
        self.server
            .with_intake(now, |intake| intake.record_answer(&pause, now, rand::random(), now));
    }

    /// Requests under way there, as it said lately.
    #[must_use]
    pub fn requests(&self, now: Millis) -> Option<f64> {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let belief = self.lock();
        let is_recent = now.since(belief.reported_at) < REPORT_MS;
        is_recent.then(|| f64::from(belief.reported.max(own)))
    }

    /// What is believed of it, for a prompt.
    #[must_use]
    pub fn seen(&self, model: u64, parts: &[Part], rank: u8, now: Millis) -> Seen {
        let mut belief = self.lock();
        let wait_ms = belief.backlog.wait_ms(rank, now);
        let is_cached = |part: &&Part| {
            let used = belief.parts.get(&(model, part.id));
            used.is_some_and(|used| now.since(*used) < CACHED_MS)
        };
        let cached = parts.iter().take_while(is_cached);
        Seen {
            reported: belief.reported,
            own_then: belief.own_then,
            reported_at: belief.reported_at,
            wait_ms,
            cached: cached.map(|part| f64::from(part.tokens)).sum(),
            suspicion: belief.suspicion.share(now),
            slowdown: belief.slowdown.factor(now),
        }
    }

    /// Whether this host may send it a request, if it tolerates so many rejected ones a second.
    #[must_use]
    pub fn has_room(&self, per_second: f64, place: &Place, now: Millis) -> bool {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let belief = self.lock();
        let age_ms = now.since(belief.reported_at);
        let reported = (belief.reported_at > Millis(0)).then_some((belief.reported, age_ms));
        let load = rejection::Load { slots: self.slots, own, reported };
        belief.room.is_open(per_second, &load, place, now)
    }

    /// A request is about to be sent there.
    pub fn chosen(&self, now: Millis) {
        self.lock().room.record_sent(now);
    }

    /// It turned a request away, and tolerates so many a second; `draw` is a uniform draw.
    pub fn note_rejected(&self, per_second: f64, draw: f64, now: Millis) {
        self.lock().room.record_rejection(per_second, self.slots, draw, now);
    }

    /// Requests that it had by its last report; none if it gave none.
    #[must_use]
    pub fn reported(&self) -> Option<u32> {
        let belief = self.lock();
        (belief.reported_at > Millis(0)).then_some(belief.reported)
    }

    /// A prompt was sent there, which will keep it for a time. The answer is waited for until what
    /// is returned is dropped.
    #[must_use]
    pub fn sent(
        self: &Arc<Self>,
        model: u64,
        parts: &[Part],
        prompt: Prompt,
        now: Millis,
    ) -> Awaited {
        let mut belief = self.lock();
        let number = belief.backlog.add_own(prompt, now);
        if belief.parts.len() > PARTS_MAX {
            belief.parts.retain(|_, used| now.since(*used) < CACHED_MS);
        }
        for part in parts {
            belief.parts.insert((model, part.id), now);
        }
        drop(belief);
        Awaited { backend: Arc::clone(self), number }
    }

    /// A prompt sent by another host will keep it for a time.
    pub fn announced(&self, prompt: Prompt, now: Millis) {
        self.lock().backlog.add_announced(prompt, now);
    }

    /// Streams of it were seen, by this host or by another one.
    pub fn note_streams(&self, shown: Observation, now: Millis) {
        self.lock().slowdown.record(shown, now);
    }

    /// Its load as reported with an answer.
    pub fn note_load(&self, load: Load, now: Millis) {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let mut belief = self.lock();
        belief.reported = load.requests;
        belief.own_then = own;
        belief.reported_at = now;
        drop(belief);
        let in_flight = load.requests;
        self.server.note_load(backend::Load { in_flight, slots: load.slots, draining: false }, now);
    }

    /// It said anything at all.
    pub fn heard(&self, now: Millis) {
        self.refused_at.store(0, Ordering::Relaxed);
        self.lock().heard_at = now;
    }

    /// A request that it worked on ended well, or did not.
    pub fn note(&self, failed: bool, now: Millis) {
        let mut belief = self.lock();
        belief.suspicion.record(failed, now);
        if !failed {
            belief.timeouts = 0;
            drop(belief);
            self.server.note_success(now);
        }
    }

    /// It refuses connections.
    pub fn note_refused(&self, now: Millis) {
        if !self.server.is_ill(now) {
            self.lock().suspicion.record(true, now);
        }
        self.server.note_failure(now);
    }

    /// A connection to it timed out; true if it is now held ill.
    pub fn note_timeout(&self, now: Millis) -> bool {
        // What others under way find then is the same silence. Counted for each, it would speak against
        // the server long after it goes on.
        if self.server.is_ill(now) {
            return true;
        }
        let mut belief = self.lock();
        belief.suspicion.record(true, now);
        belief.timeouts += 1;
        let ill = belief.timeouts >= TIMEOUTS_TO_ILL;
        drop(belief);
        if ill {
            self.server.note_failure(now);
        }
        ill
    }

    fn lock(&self) -> MutexGuard<'_, Belief> {
        self.belief.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
