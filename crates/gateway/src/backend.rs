//! One start of a backend server, and what this host believes of it.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use entry::clock;
use entry::connection::Connection;
use entry::server::Server;
use policy::backlog::{Backlog, Prompt};
use policy::intake::{Intake, Statement};
use policy::name::Name;
use policy::place;
use policy::silence::{self, Action, Bounds, Silence};
use policy::suspicion::Suspicion;
use policy::throttle::Limit;
use policy::time::Millis;
use tokio::net::TcpStream;
use wire::backend;
use wire::routing::Warmup;

use crate::codec::{Load, Part};
use crate::poison::Guard;

/// Connection attempts in a row that must time out before the server is held ill. A lost packet
/// delays one attempt past its time; two in a row are rare on a link that works.
const TIMEOUTS_TO_ILL: u32 = 2;
/// How long a prompt's part is believed to stay in an engine's cache, in milliseconds.
const CACHED_MS: u64 = 30_000;
/// Longest wait for a connection that is opened only to see whether the server lives.
const PROBE: Duration = Duration::from_millis(200);
/// Between two questions to a server that can't be reached, in milliseconds.
const ASK_MS: u64 = 200;
/// Until a server that lives is looked at again; longest wait for a connection then.
const LOOK: Duration = Duration::from_millis(100);
/// The same, in milliseconds.
const LOOK_MS: u64 = LOOK.as_millis() as u64;
/// A server that refused connections is believed to have ended for this long, in milliseconds. Its entry
/// lapses within that time if it has.
const ENDED_MS: u64 = 5_000;
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

policy::domain! {
    /// What a backend server says of how much it takes, as other hosts are notified of it.
    pub struct Restricted {
        /// The backend server.
        pub backend: Name,
        /// When the start of it began that says so, see [`Backend::born`].
        #[serde(default)]
        pub born: u64,
        /// What it says.
        pub restriction: Restriction,
    }

    /// What keeps requests from a backend server.
    pub enum Restriction {
        /// It takes so many requests a second.
        Limit(Limit),
        /// It leaves.
        Leaving,
    }
}

impl Restriction {
    /// The same with its times on another clock; `from` and `to` are the same moment on both.
    #[must_use]
    pub fn on_clock(&self, from: Millis, to: Millis) -> Self {
        match self {
            Self::Limit(limit) => Self::Limit(limit.on_clock(from, to)),
            Self::Leaving => Self::Leaving,
        }
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
    /// Hash of its id, which preferences are worked out from.
    pub hash: u64,
    /// Connections, requests under way, health.
    pub server: Arc<Server>,
    belief: Mutex<Belief>,
    /// When it last refused a connection, in milliseconds; 0 if it has answered since.
    refused_at: AtomicU64,
    /// When it was last looked whether it has ended, and whether it had.
    looked: tokio::sync::Mutex<Option<(Millis, bool)>>,
}

/// An answer that has not begun, until dropped.
pub struct Awaited {
    backend: Arc<Backend>,
    number: u64,
}

impl Awaited {
    /// It has begun.
    pub fn began(self, now: Millis) {
        self.backend.lock().backlog.began(self.number, now);
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        self.backend.lock().backlog.dropped(self.number);
    }
}

#[derive(Default)]
struct Belief {
    suspicion: Suspicion,
    timeouts: u32,
    /// Prompts sent there.
    backlog: Backlog,
    reported: u32,
    own_then: u32,
    reported_at: Millis,
    heard_at: Millis,
    asked_at: Millis,
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
            hash: place::hash(row.id.as_bytes()),
            server: Arc::new(Server::new(row.id.clone(), row.address, domain)),
            belief: Mutex::default(),
            refused_at: AtomicU64::new(0),
            looked: tokio::sync::Mutex::default(),
        }
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
        }
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
        let number = belief.backlog.sent(prompt, now);
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
        self.lock().backlog.announced(prompt, now);
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

    /// What it says of how much it takes, in the answer to a request that was sent then; what the other
    /// hosts are to be notified of.
    pub fn note_statement(
        &self,
        statement: &Statement,
        sent: Millis,
        now: Millis,
    ) -> Vec<Restricted> {
        let draw = rand::random();
        let news = self.with_intake(|intake| intake.heard(statement, sent, draw, now));
        if news.is_pause {
            metrics::counter!("gateway_pauses_total").increment(1);
            log::info!(target: "route", backend:% = self.id, pause_ms:? = statement.pause_ms;
                "backend server asks for a pause");
        }
        let limit = news.is_limit.then(|| {
            let per_second = statement.per_second;
            log::info!(target: "route", backend:% = self.id, per_second:? = per_second;
                "backend server names another limit");
            Restriction::Limit(Limit { per_second, at: now, until: None })
        });
        let leaving = news.is_leave.then(|| {
            log::info!(target: "route", backend:% = self.id; "backend server says that it leaves");
            Restriction::Leaving
        });
        limit.into_iter().chain(leaving).map(|restriction| self.restricted(restriction)).collect()
    }

    /// What it takes, as another host says of this start of it; whether the world is another one now.
    pub fn learn(&self, restriction: &Restriction, now: Millis) -> bool {
        match restriction {
            Restriction::Limit(limit) => {
                self.learn_limit(*limit, now);
                false
            }
            Restriction::Leaving => {
                let is_news = self.with_intake(|intake| intake.leave(now));
                if is_news {
                    log::info!(target: "route", backend:% = self.id;
                        "leave of a backend server heard of");
                }
                is_news
            }
        }
    }

    /// How much it takes, as another host or its entry says.
    pub fn learn_limit(&self, limit: Limit, now: Millis) {
        if self.with_intake(|intake| intake.learn(limit, now)) {
            log::info!(target: "route", backend:% = self.id, per_second:? = limit.per_second,
                until_ms = limit.until.map(|until| until.since(now));
                "limit of a backend server heard of");
        }
    }

    /// It can't be reached, and may start again before its entry says so; what the other hosts are
    /// to be notified of, if it is news.
    ///
    /// A server that is back under its id is empty, so that all hosts would send to it at once, and
    /// end it once more before it is warm.
    pub fn may_start_again(&self, warmup: Warmup, now: Millis) -> Option<Restricted> {
        let limit = Limit::warmup(warmup.per_second, now + warmup.ms, now);
        let is_news = self.with_intake(|intake| intake.learn(limit, now));
        is_news.then(|| {
            log::info!(target: "route", backend:% = self.id, per_second = warmup.per_second,
                until_ms = warmup.ms; "backend server may start again");
            self.restricted(Restriction::Limit(limit))
        })
    }

    /// What the other hosts should know of how much it takes.
    #[must_use]
    pub fn restrictions(&self, now: Millis) -> Vec<Restricted> {
        let intake = self.with_intake(|intake| *intake);
        let limit = intake.throttle.shared(now).map(Restriction::Limit);
        let leaving = intake.is_leaving().then_some(Restriction::Leaving);
        limit.into_iter().chain(leaving).map(|restriction| self.restricted(restriction)).collect()
    }

    fn restricted(&self, restriction: Restriction) -> Restricted {
        Restricted { backend: self.id.clone(), born: self.born, restriction }
    }

    /// Uses what is known of how much it takes.
    pub fn with_intake<T>(&self, use_it: impl FnOnce(&mut Intake) -> T) -> T {
        self.server.with_intake(clock::steady(), use_it)
    }

    /// Whether it has said that it takes nothing now.
    #[must_use]
    pub fn is_closed(&self, now: Millis) -> bool {
        self.server.is_restricted() && self.with_intake(|intake| intake.is_closed(now))
    }

    /// It said anything at all.
    pub fn heard(&self, now: Millis) {
        self.refused_at.store(0, Ordering::Relaxed);
        self.lock().heard_at = now;
    }

    /// Whether it refused connections when it was last tried, lately. One that is out of reach doesn't.
    #[must_use]
    pub fn has_ended(&self, now: Millis) -> bool {
        let refused_at = Millis(self.refused_at.load(Ordering::Relaxed));
        refused_at > Millis(0) && now.since(refused_at) < ENDED_MS
    }

    /// Nothing listens at its address.
    pub fn note_ended(&self, now: Millis) {
        self.refused_at.store(now.0, Ordering::Relaxed);
    }

    /// When it last said anything.
    #[must_use]
    pub fn heard_at(&self) -> Millis {
        self.lock().heard_at
    }

    /// A request that it worked on ended well, or did not.
    pub fn note(&self, failed: bool, now: Millis) {
        let mut belief = self.lock();
        belief.suspicion.note(failed, now);
        if !failed {
            belief.timeouts = 0;
            drop(belief);
            self.server.note_success(now);
        }
    }

    /// It refuses connections.
    pub fn note_refused(&self, now: Millis) {
        self.lock().suspicion.note(true, now);
        self.server.note_failure(now);
    }

    /// A connection to it timed out; true if it is now held ill.
    pub fn note_timeout(&self, now: Millis) -> bool {
        let mut belief = self.lock();
        belief.suspicion.note(true, now);
        belief.timeouts += 1;
        let ill = belief.timeouts >= TIMEOUTS_TO_ILL;
        drop(belief);
        if ill {
            self.server.note_failure(now);
        }
        ill
    }

    /// How long its silence is still tolerated; none if it is to be left.
    pub async fn tolerates(
        &self,
        bounds: &Bounds,
        silent: Duration,
        useful_ms: f64,
    ) -> Option<Duration> {
        let silence = Silence {
            silent_ms: silent.as_secs_f64() * 1_000.0,
            useful_ms,
            heard_ms: clock::steady().since(self.heard_at()),
        };
        match silence::act(bounds, &silence) {
            Action::Wait(ms) => Some(Duration::from_secs_f64(ms / 1_000.0)),
            Action::Probe if self.takes_connections().await => Some(LOOK),
            Action::Probe | Action::Leave => None,
        }
    }

    /// Looks, in the background, whether it has ended: a connection that breaks alone says nothing of
    /// the server.
    pub fn look_soon(self: &Arc<Self>, poison: &Arc<Guard>) {
        let (backend, poison) = (Arc::clone(self), Arc::clone(poison));
        tokio::spawn(async move { backend.look(&poison).await });
    }

    /// Whether nothing listens at its address any more; then the requests that were lost with it are
    /// noted. Those who ask together share one look.
    pub async fn look(&self, poison: &Guard) -> bool {
        let mut looked = self.looked.lock().await;
        let now = clock::steady();
        if let Some((at, ended)) = *looked
            && now.since(at) < LOOK_MS
        {
            return ended;
        }
        let opened = tokio::time::timeout(LOOK, TcpStream::connect(self.server.address)).await;
        // One that is reset was taken first: whoever did so lives.
        let is_refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        let ended = opened.is_ok_and(|opened| opened.is_err_and(is_refused));
        // From its end on: those who wait for a look that takes all its time share what it found.
        let now = clock::steady();
        *looked = Some((now, ended));
        if ended {
            self.note_ended(now);
            log::info!(target: "route", backend:% = self.id; "backend server ended");
            poison.ended(&self.id);
        }
        ended
    }

    /// Opens a connection and closes it: a host that is unreachable, or behind a cut, takes none.
    async fn takes_connections(&self) -> bool {
        let taken = Connection::open(self.server.address, PROBE).await.is_ok();
        if taken {
            self.heard(clock::steady());
        }
        taken
    }

    /// Asks in the background whether it takes connections again, unless that was just done.
    pub fn probe_soon(self: &Arc<Self>) {
        let now = clock::steady();
        let mut belief = self.lock();
        if now.since(belief.asked_at) < ASK_MS {
            return;
        }
        belief.asked_at = now;
        drop(belief);
        let backend = Arc::clone(self);
        tokio::spawn(async move {
            if backend.takes_connections().await {
                log::info!(target: "route", backend:% = backend.id; "backend server reached again");
                backend.server.note_success(clock::steady());
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Belief> {
        self.belief.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
