//! Copies of a request's KV cache, from which another engine can continue the request.
//!
//! An engine that runs a request may send the KV cache to another engine as it grows. If the first
//! engine is lost, the stream continues at the other one, which reads only what its copy lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use entry::clock;
use policy::engine::fetch::Link;
use policy::name::Name;
use policy::place::hash;
use policy::streams::backup::{self, Fleet, Run, Target, Withheld};

use crate::backend::{Backend, OpenBackup};
use crate::carry::UNSENT_MAX;
use crate::codec::Codec;
use crate::handle::Origin;
use crate::index::IndexedRoute;
use crate::job::Job;
use crate::limits::SendLimits;
use crate::open::Open;
use crate::pick;

/// A copy of a request's KV cache. Its handle can be used once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// The start of the engine that has the copy and can continue the request; see
    /// [`crate::backend::Backend::start`].
    pub start: u64,
    /// The address of the engine that has the copy.
    pub address: SocketAddr,
    /// The name of the copy at that engine.
    pub handle: Name,
}

/// Why a stream would not continue from a copy now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unusable {
    /// The deadline has passed.
    Late,
    /// This host reaches no engine.
    Unreachable,
    /// The stream's version is being replaced or rolled back.
    Version,
    /// The engine is leaving, has started again, or is of another version.
    Start,
    /// The engine takes no request now, or not this one: the stream has run there.
    Closed,
}

impl Unusable {
    /// The reason as operators read it.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "deadline passed",
            Self::Unreachable => "no engine reached",
            Self::Version => "version left",
            Self::Start => "gone or leaving",
            Self::Closed => "takes no work",
        }
    }
}

/// What decides whether and where a running stream continues from a copy. Its request's task records
/// it for those who ask where requests are.
#[derive(Clone)]
pub struct Continuation {
    /// The stream's route.
    pub indexed: Arc<IndexedRoute>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The version that the stream is on.
    pub version: Option<Name>,
    /// The copies, the newest last.
    pub copies: Vec<Copy>,
    /// See [`crate::job::Attempts::kept_at`].
    pub kept_at: Option<Arc<Backend>>,
    /// See [`crate::job::Attempts::is_moving`].
    pub is_moving: bool,
    /// Servers that the stream is not sent to again.
    pub excluded: Vec<Name>,
    /// Failure domains that did not answer.
    pub silent_domains: Vec<Name>,
    /// Attempts whose connection failed.
    pub unsent: u32,
}

impl<C: Codec> Job<C> {
    /// Decides whether the attempt at a backend server gets a backup, and where.
    pub fn choose_backup(&mut self, backend: &Arc<Backend>) {
        let chosen = match self.decide_backup(backend) {
            None => return,
            Some(Ok(chosen)) => chosen,
            Some(Err(why)) => {
                metrics::counter!("gateway_backups_withheld_total", "why" => why.label())
                    .increment(1);
                log::debug!(target: "route", request:% = self.info.id, backend:% = backend.id,
                    why = why.label(), prompt = self.info.prompt_tokens; "backup withheld");
                return;
            }
        };
        let (target, pause_ms) = chosen;
        metrics::counter!("gateway_backups_total").increment(1);
        metrics::counter!("gateway_backup_tokens_total")
            .increment(u64::from(self.info.prompt_tokens));
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id,
            backup:% = target.id, prompt = self.info.prompt_tokens, pause_ms = pause_ms as u64;
            "backup asked for");
        self.attempts.backup = Some(target.open_backup(self.info.prompt_tokens));
    }

    /// The engine that keeps the attempt's backup, with the expected pause of the stream without
    /// it; `None` if backups do not apply to the request.
    fn decide_backup(
        &self,
        backend: &Arc<Backend>,
    ) -> Option<Result<(Arc<Backend>, f64), Withheld>> {
        let route = self.route();
        let applies = self.state.streams.load().backup
            && route.kind.is_stream()
            && route.kind.may_repeat()
            && !self.info.parts.is_empty()
            && !self.info.id.is_empty()
            && self.origin == Origin::Caller;
        if !applies {
            return None;
        }
        let snapshot = self.state.snapshot.load();
        let engine = snapshot.index.services.get(&self.service)?.engine?;
        if engine.backups <= 0.0 {
            return None;
        }
        let pool = snapshot.pools.get(&self.service)?;
        let prompt = f64::from(self.info.prompt_tokens);
        let shared: u32 = self.info.shared_parts().iter().map(|part| part.tokens).sum();
        let shared = f64::from(shared).min(prompt);
        let usual = self.state.usual_prompts.with(&self.service, |usual| {
            usual.record(prompt - shared, shared);
            *usual
        });
        let now = clock::steady();
        let (others, states) = pick::others(self, pool, backend, now);
        let target = |(other, engine): (&Arc<Backend>, _)| Target {
            domain: hash(other.server.failure_domain.as_bytes()),
            engine,
            backup_tokens: other.backup_tokens() as f64,
        };
        let targets: Vec<Target> = others.iter().zip(states).map(target).collect();
        let run = Run {
            domain: hash(backend.server.failure_domain.as_bytes()),
            load: pick::load(self, backend, now),
            prompt,
            tokens_per_ms: self.tokens_per_ms(self.attempts.model),
            pause_ms: route.gap_ms.unwrap_or(route.objective_ms) as f64,
            left_ms: self.time_left().as_secs_f64() * 1_000.0,
        };
        let fleet = Fleet {
            capacity: engine.kv_capacity_tokens,
            domains: pool.domains(),
            link: Link::new(engine.token_bytes, engine.link_mbps),
            usual,
        };
        let chosen = backup::choose(&run, &targets, &fleet, rand::random());
        Some(chosen.map(|chosen| (Arc::clone(&others[chosen.target]), chosen.pause_ms)))
    }

    /// Records that the attempt with the chosen backup was sent and may run, so that the backup may
    /// exist. A backup has the request's id as its handle.
    pub fn record_backup(&mut self) {
        // Until the caller has a part of the answer, an attempt begins anew, and may use another
        // model.
        if !self.attempts.has_stream_begun {
            self.attempts.copies.clear();
        }
        let Some(target) = self.attempts.backup.as_ref().map(OpenBackup::target) else { return };
        let address = target.server.address;
        let copy = Copy { start: target.start, address, handle: self.info.id.clone() };
        self.attempts.copies.retain(|known| *known != copy);
        self.attempts.copies.push(copy);
    }

    /// Whether the stream can continue from a copy now.
    #[must_use]
    pub fn has_copy(&self) -> bool {
        self.usable_copy().is_some()
    }

    /// Takes the copy that the stream continues from, and returns the engine that has it; `None` if
    /// there is no such copy now.
    pub fn take_copy(&mut self) -> Option<Arc<Backend>> {
        let (index, backend) = self.usable_copy()?;
        let copy = self.attempts.copies.remove(index);
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id,
            handle:% = copy.handle; "continuing a stream from a copy");
        self.attempts.used_copies.push(copy.start);
        self.attempts.continue_from = Some(copy);
        self.attempts.fetch = None;
        let snapshot = self.state.snapshot.load();
        if let Some(pool) = snapshot.pools.get(&self.service) {
            SendLimits::current(self, pool).record_sent(&backend, clock::steady());
        }
        Some(backend)
    }

    /// Keeps the copy of an attempt that was not sent, and with it the handle. It is used again only
    /// if its engine still takes the request.
    pub fn return_copy(&mut self) {
        let attempts = &mut self.attempts;
        let is_left = attempts.unsent < UNSENT_MAX;
        if let Some(copy) = attempts.continue_from.take().filter(|_| is_left) {
            attempts.used_copies.retain(|start| *start != copy.start);
            attempts.copies.push(copy);
        }
    }

    /// The newest copy at an engine that takes the request now.
    fn usable_copy(&self) -> Option<(usize, Arc<Backend>)> {
        if self.attempts.copies.is_empty() {
            return None;
        }
        let mut copies = self.attempts.copies.iter().enumerate().rev();
        copies.find_map(|(index, copy)| Some((index, self.engine_with(copy).ok()?)))
    }

    /// The engine that would continue the stream from a copy now. Engines of another version compute
    /// with other weights, so their copies are of no use.
    ///
    /// # Errors
    /// Why the copy is not used.
    pub fn engine_with(&self, copy: &Copy) -> Result<Arc<Backend>, Unusable> {
        let attempts = &self.attempts;
        let snapshot = self.state.snapshot.load();
        let pool = snapshot.pools.get(&self.service).ok_or(Unusable::Start)?;
        let now = clock::steady();
        let version = attempts.version.as_ref().ok_or(Unusable::Version)?;
        match () {
            () if self.time_left().is_zero() => return Err(Unusable::Late),
            () if self.prefers_detour() => return Err(Unusable::Unreachable),
            () if attempts.is_moving || self.may_continue(pool, version, now) => {}
            () => return Err(Unusable::Version),
        }
        if let Some(kept_at) = attempts.kept_at.as_ref().filter(|at| at.start == copy.start) {
            let leaving_ms = self.state.leaving_ms.load(Ordering::Relaxed);
            let is_open = !kept_at.server.is_ill(now) && kept_at.may_take_back(leaving_ms, now);
            return if is_open { Ok(Arc::clone(kept_at)) } else { Err(Unusable::Closed) };
        }
        let mut servers = pool.servers(version);
        let backend = servers.find(|backend| backend.start == copy.start).ok_or(Unusable::Start)?;
        let is_open = Open::new(self, pool, now).includes(backend);
        if is_open { Ok(Arc::clone(backend)) } else { Err(Unusable::Closed) }
    }

    /// Records the copies of a running stream for those who ask where it would continue.
    pub fn publish_copies(&self) {
        let Some(run) = &self.run else { return };
        let attempts = &self.attempts;
        run.record_copies((!attempts.copies.is_empty()).then(|| Continuation {
            indexed: Arc::clone(&self.indexed),
            deadline: self.deadline,
            version: attempts.version.clone(),
            copies: attempts.copies.clone(),
            kept_at: attempts.kept_at.clone(),
            is_moving: attempts.is_moving,
            excluded: attempts.excluded.clone(),
            silent_domains: attempts.silent_domains.clone(),
            unsent: attempts.unsent,
        }));
    }

    /// Records that the last attempt's stream goes on, if it continues from a copy.
    pub fn record_continued(&self) {
        if self.attempts.continue_from.is_some() {
            metrics::counter!("gateway_continuations_total", "result" => "continued").increment(1);
            log::info!(target: "route", request:% = self.info.id,
                head_ms = self.attempts.head_ms; "stream continued from a copy");
        }
    }

    /// Records that an engine has no copy from which the stream was to continue.
    pub fn record_no_copy(&self, backend: &Backend) {
        metrics::counter!("gateway_continuations_total", "result" => "no_copy").increment(1);
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id;
            "engine has no copy, the stream is resumed without one");
    }
}
