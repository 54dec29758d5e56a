//! One stream's move, from the first sign that its engine leaves to the end of its run there.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use entry::clock;
use policy::canary;
use policy::engine::fetch::Link;
use policy::place::hash;
use policy::streams::relocate::{Decision, Stream, Target};
use tokio::sync::oneshot;
use wire::routing::Engine;

use super::call::{Call, Trouble, UnusedCopy};
use super::{Departure, Moves};
use crate::backend::Backend;
use crate::codec::Codec;
use crate::copies::Copy;
use crate::job::Job;
use crate::open::Open;
use crate::pick;
use crate::running::Run;

/// Interval at which a stream's engine is checked for leaving. A small part of the pause that routes
/// allow.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a move is checked for being due once the engine leaves. An engine may end some
/// hundred milliseconds later.
const DUE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a move is tried again that found no engine with room, or its run busy.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Most times that one stream's move is tried again. Each may cost a copy.
const RETRIES_MAX: u32 = 3;
/// Part of the allowed pause for which the answer to a last copy is awaited. The rest is for the
/// resumption.
const LAST_COPY_SHARE: f64 = 0.5;
/// Longest duration of a first copy. It may wait for the copies of all other streams.
const FIRST_COPY_MAX: Duration = Duration::from_secs(5);

/// Outcome of a move that has to wait for an engine with room.
const NO_TARGET: &str = "no_target";
/// Outcome of a move whose target has the whole copy.
const MOVED: &str = "moved";

/// How far a stream has come. Written by the relay, read by the move.
#[derive(Default)]
pub struct Course {
    /// The number of the first event that was passed on, and when.
    first: OnceLock<(u64, Instant)>,
    last: AtomicU64,
}

impl Course {
    /// Records the number of the last event that was passed on.
    pub fn record(&self, last: u64) {
        self.last.store(last, Ordering::Relaxed);
        self.first.get_or_init(|| (last, Instant::now()));
    }

    /// Number of the last event that was passed on; `None` before that.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.first.get().map(|_| self.last.load(Ordering::Relaxed))
    }

    /// Mean time between two events, in milliseconds; `None` before there were two.
    fn event_ms(&self) -> Option<f64> {
        let (first, at) = self.first.get()?;
        let events = self.last()?.saturating_sub(*first);
        (events > 0).then(|| at.elapsed().as_secs_f64() * 1_000.0 / events as f64)
    }
}

/// What a move came to.
pub enum Outcome {
    /// The run has been stopped. The stream has to be resumed.
    Stopped(Box<Stopped>),
    /// The stream is left where it is.
    Stays,
    /// The stream is left where it is, but its run may have been stopped.
    Unknown,
}

/// A run that was stopped by a last copy.
pub struct Stopped {
    /// The copy to continue from, and the engine that can; `None` if the source kept none.
    copy: Option<(Copy, UnusedCopy)>,
    /// The source, if it keeps the KV cache.
    kept_at: Option<Arc<Backend>>,
    /// The first copy, if the last one has another handle.
    first: Option<UnusedCopy>,
    outcome: &'static str,
    /// Counts the move as in progress.
    _ends: (SourceMove, TargetMove),
}

impl Stopped {
    /// Offers the copy for the resumption of the stream.
    pub fn offer<C: Codec>(&self, job: &mut Job<C>) {
        job.attempts.kept_at.clone_from(&self.kept_at);
        if let Some((copy, _)) = &self.copy {
            job.attempts.copies.push(copy.clone());
            job.attempts.is_moving = true;
        }
    }

    /// Ends the move after the resumption of the stream, whose caller has waited for `pause`. A
    /// copy that was not used is freed.
    pub fn end<C: Codec>(self, job: &mut Job<C>, is_resumed: bool, pause: Duration) {
        let Self { copy, first, outcome, .. } = self;
        job.attempts.kept_at = None;
        job.attempts.is_moving = false;
        let mut is_used = false;
        if let Some((copy, unused)) = copy {
            job.attempts.copies.retain(|other| *other != copy);
            is_used = is_resumed && job.attempts.continue_from.as_ref() == Some(&copy);
            if is_used {
                unused.keep();
            }
        }
        drop(first);
        // Another move would cost the caller another pause.
        job.attempts.has_move_failed |= !is_used || outcome != MOVED;
        let outcome = match (is_resumed, is_used) {
            (false, _) => "lost",
            (true, false) if outcome != "copy_lost" => "copy_unused",
            (true, _) => outcome,
        };
        let pause_ms = pause.as_millis() as u64;
        log::info!(target: "route", request:% = job.info.id, outcome, is_copy_used = is_used,
            pause_ms; "stream's move ended");
        metrics::counter!("gateway_moves_total", "outcome" => outcome).increment(1);
        if is_resumed {
            metrics::histogram!("gateway_move_pause_seconds").record(pause.as_secs_f64());
        }
    }
}

/// A move off an engine that counts as in progress until dropped.
struct SourceMove {
    moves: Arc<Moves>,
    start: u64,
}

impl SourceMove {
    /// Begins a move off an engine; `None` if as many are in progress as may be.
    fn begin(moves: &Arc<Moves>, start: u64) -> Option<Self> {
        let has_begun = moves.lock().begin_source(start);
        has_begun.then(|| Self { moves: Arc::clone(moves), start })
    }
}

impl Drop for SourceMove {
    fn drop(&mut self) {
        self.moves.lock().end_source(self.start);
    }
}

/// A move to an engine that counts as in progress until dropped.
struct TargetMove {
    moves: Arc<Moves>,
    backend: Arc<Backend>,
    /// The request that is moved.
    run: Option<Arc<Run>>,
}

impl TargetMove {
    fn new<C>(job: &Job<C>, backend: &Arc<Backend>) -> Self {
        let run = job.run.as_ref().map(|registered| Arc::clone(registered.run()));
        run.iter().for_each(|run| run.record_move(Some(backend)));
        Self { moves: Arc::clone(&job.state.moves), backend: Arc::clone(backend), run }
    }
}

impl Drop for TargetMove {
    fn drop(&mut self) {
        self.run.iter().for_each(|run| run.record_move(None));
        self.moves.lock().end_target(self.backend.start);
    }
}

/// Why a try did not move the stream.
enum Obstacle {
    /// No engine has room, which may change and cost nothing to find out.
    NoTarget,
    /// The move is not possible at this moment.
    Later(&'static str),
    /// The stream is left where it is.
    Stays(&'static str),
    /// The stream is left where it is, but its run may have been stopped.
    Unknown,
}

/// The move of one running stream.
pub struct Relocation<'a, C> {
    job: &'a Job<C>,
    backend: Arc<Backend>,
    course: Arc<Course>,
    engine: Engine,
    is_stopping: AtomicBool,
    may_retry: AtomicBool,
}

impl<'a, C: Codec> Relocation<'a, C> {
    /// The move of a stream, in case its engine leaves; `None` if its engine makes no copies, the
    /// setting is off, or the stream can't be resumed.
    #[must_use]
    pub fn new(job: &'a Job<C>, backend: &Arc<Backend>, course: &Arc<Course>) -> Option<Self> {
        let is_on = job.state.streams.load().relocate;
        let has_failed = job.attempts.has_move_failed;
        if !is_on
            || has_failed
            || backend.is_host
            || !job.route().kind.may_repeat()
            || job.info.id.is_empty()
        {
            return None;
        }
        let snapshot = job.state.snapshot.load();
        let engine = snapshot.index.services.get(&job.service)?.engine?;
        let (backend, course) = (Arc::clone(backend), Arc::clone(course));
        (engine.moves > 0.0).then(|| Self {
            job,
            backend,
            course,
            engine,
            is_stopping: AtomicBool::new(false),
            may_retry: AtomicBool::new(true),
        })
    }

    /// Whether the engine has been asked for the last copy, and has not answered.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Lets the try in progress be the last one, because the stream has ended.
    pub fn end_tries(&self) {
        self.may_retry.store(false, Ordering::Relaxed);
    }

    /// Waits until the engine leaves, and moves the stream. May be dropped at any time: copies that
    /// have been made are then freed.
    pub async fn run(&self) -> Outcome {
        let known_at = self.wait_until_leaving().await;
        let (mut tries, mut has_target) = (0, true);
        loop {
            let known_ms = known_at.elapsed().as_millis() as u64;
            let why = match self.stream(known_ms).map(|stream| (stream, stream.decide())) {
                None | Some((_, Decision::Wait(_))) => None,
                Some((_, Decision::EndsSoon)) => Some(Obstacle::Stays("ends_soon")),
                Some((_, Decision::TooLate)) => Some(Obstacle::Stays("too_late")),
                Some((stream, Decision::Move)) => {
                    match SourceMove::begin(&self.job.state.moves, self.backend.start) {
                        None => None,
                        Some(source) => match self.move_once(&stream, source).await {
                            Ok(stopped) => return Outcome::Stopped(Box::new(stopped)),
                            Err(obstacle) => Some(obstacle),
                        },
                    }
                }
            };
            match why {
                None => tokio::time::sleep(DUE_INTERVAL).await,
                Some(Obstacle::NoTarget) if self.retries_max() > 0 => {
                    if std::mem::take(&mut has_target) {
                        self.record_stays(NO_TARGET);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Some(Obstacle::NoTarget) => return Outcome::Stays,
                Some(Obstacle::Later(_)) if tries < self.retries_max() => {
                    tries += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Some(Obstacle::Later(why) | Obstacle::Stays(why)) => {
                    self.record_stays(why);
                    return Outcome::Stays;
                }
                Some(Obstacle::Unknown) => {
                    self.record_stays("unanswered");
                    return Outcome::Unknown;
                }
            }
        }
    }

    fn retries_max(&self) -> u32 {
        if self.may_retry.load(Ordering::Relaxed) { RETRIES_MAX } else { 0 }
    }

    async fn wait_until_leaving(&self) -> Instant {
        while !self.backend.is_leaving() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Instant::now()
    }

    /// Whether the stream may continue at the engine although it leaves.
    fn may_return(&self) -> bool {
        let leaving_ms = self.job.state.leaving_ms.load(Ordering::Relaxed);
        self.backend.may_take_back(leaving_ms, clock::steady())
    }

    fn record_stays(&self, why: &'static str) {
        log::info!(target: "route", request:% = self.job.info.id, backend:% = self.backend.id, why;
            "stream not moved off the leaving engine");
        metrics::counter!("gateway_moves_total", "outcome" => why).increment(1);
    }

    /// The stream as the decision sees it; `None` before its first event, and while the engine has
    /// been asked when it ends.
    fn stream(&self, known_ms: u64) -> Option<Stream> {
        let Self { job, engine, .. } = self;
        let last = self.course.last()?;
        let Departure::Ends(ends_at) = job.state.moves.departure(&self.backend) else {
            return None;
        };
        // An engine that is there after it was to end may stay for any time.
        let ends_in = ends_at.and_then(|at| at.checked_duration_since(Instant::now()));
        let stride = if engine.stride > 0.0 { engine.stride } else { pick::EVENT_TOKENS };
        let remaining_events = f64::from(job.info.output_tokens) / stride - last as f64;
        let remaining_ms = self.course.event_ms().map(|event_ms| event_ms * remaining_events);
        Some(Stream {
            id: hash(job.info.id.as_bytes()),
            known_ms,
            tokens: f64::from(job.info.prompt_tokens) + last as f64 * stride,
            remaining_ms: remaining_ms.filter(|_| job.info.output_tokens > 0),
            pause_max_ms: self.pause_max().as_secs_f64() * 1_000.0,
            slots: self.backend.slots,
            link: Link::new(engine.token_bytes, engine.link_mbps),
            ends_in_ms: ends_in.map(|time| time.as_secs_f64() * 1_000.0),
        })
    }

    /// Longest pause that the route allows.
    fn pause_max(&self) -> Duration {
        let route = self.job.route();
        Duration::from_millis(route.gap_ms.unwrap_or(route.objective_ms))
    }

    /// Copies the stream to another engine and stops its run here.
    async fn move_once(&self, stream: &Stream, source: SourceMove) -> Result<Stopped, Obstacle> {
        let mut refused = Vec::new();
        let (target, first) = loop {
            let target = self.choose(stream, &refused).ok_or(Obstacle::NoTarget)?;
            let copied = self.copy(&target.backend, false, FIRST_COPY_MAX).await;
            match copied {
                Ok(copy) => break (target, copy),
                Err(Trouble::NoRoom(_)) => {
                    let (start, now) = (target.backend.start, clock::steady());
                    self.job.state.moves.lock().record_refused(start, stream.tokens, now);
                    refused.push(start);
                }
                Err(Trouble::Busy) => return Err(Obstacle::Later("busy")),
                Err(Trouble::NoRun) => return Err(Obstacle::Stays("no_run")),
                // The run goes on whatever became of the copy.
                Err(Trouble::Failed) => return Err(Obstacle::Stays("failed")),
            }
        };
        // The version may have been left during the first copy, and the target with it.
        if !self.may_continue() || !target.backend.server.accepts_work(clock::steady()) {
            return Err(Obstacle::Later("target_closed"));
        }
        self.is_stopping.store(true, Ordering::Relaxed);
        let within = self.pause_max().mul_f64(LAST_COPY_SHARE);
        let last = self.copy(&target.backend, true, within).await;
        self.is_stopping.store(false, Ordering::Relaxed);
        let may_return = self.may_return();
        let is_kept = may_return && matches!(last, Err(Trouble::NoRoom(Some(_))));
        let kept_at = is_kept.then(|| Arc::clone(&self.backend));
        let (copy, outcome) = match last {
            Ok(last) => (Some((copy_at(&target.backend, &last), last)), MOVED),
            Err(Trouble::NoRoom(Some(kept))) if may_return => {
                (Some((copy_at(&self.backend, &kept), kept)), "kept_at_source")
            }
            Err(Trouble::NoRoom(_)) => (None, "copy_lost"),
            Err(Trouble::Busy) => return Err(Obstacle::Later("busy")),
            Err(Trouble::NoRun) => return Err(Obstacle::Stays("no_run")),
            Err(Trouble::Failed) => return Err(Obstacle::Unknown),
        };
        let is_same = |last: &UnusedCopy| last.copied.handle == first.copied.handle;
        let first = match copy.as_ref().is_some_and(|(_, last)| is_same(last)) {
            true => {
                first.keep();
                None
            }
            false => Some(first),
        };
        log::info!(target: "route", request:% = self.job.info.id, from:% = self.backend.id,
            to:% = target.backend.id, outcome,
            created = copy.as_ref().map_or(0, |(_, last)| last.copied.created),
            passed_on = self.course.last().unwrap_or_default();
            "stream's run stopped by its last copy");
        Ok(Stopped { copy, kept_at, first, outcome, _ends: (source, target) })
    }

    async fn copy(
        &self,
        target: &Backend,
        is_last: bool,
        within: Duration,
    ) -> Result<UnusedCopy, Trouble<UnusedCopy>> {
        let within = within.min(self.job.time_left());
        let (answer, answered) = oneshot::channel();
        let calls = &self.job.state.moves.calls;
        let call = Call::Copy {
            source: self.backend.server.address,
            run: self.job.info.id.clone(),
            target: target.server.address,
            is_last,
            within,
            answer,
            calls: calls.downgrade(),
        };
        let began = Instant::now();
        let copied = async {
            calls.send(call).await.map_err(|_| Trouble::Failed)?;
            answered.await.map_err(|_| Trouble::Failed)?
        };
        // The queue may be long, and the adapter may not keep to its bound.
        let copied = tokio::time::timeout(within, copied).await.unwrap_or(Err(Trouble::Failed));
        let outcome = match &copied {
            Ok(_) => "copied",
            Err(Trouble::NoRun) => "no_run",
            Err(Trouble::Busy) => "busy",
            Err(Trouble::NoRoom(_)) => "no_room",
            Err(Trouble::Failed) => "failed",
        };
        log::info!(target: "route", request:% = self.job.info.id, from:% = self.backend.id,
            to:% = target.id, is_last, outcome, ms = began.elapsed().as_millis() as u64;
            "copy of a running stream");
        metrics::counter!("gateway_copies_total", "outcome" => outcome).increment(1);
        copied
    }

    /// Whether the stream could continue from a copy at another engine of its version.
    fn may_continue(&self) -> bool {
        let snapshot = self.job.state.snapshot.load();
        let pool = snapshot.pools.get(&self.job.service);
        pool.is_some_and(|pool| self.job.may_continue(pool, &self.backend.version, clock::steady()))
    }

    /// Chooses an engine for the stream: of the same version, with room, and not among those that
    /// refused a copy of it.
    fn choose(&self, stream: &Stream, refused: &[u64]) -> Option<TargetMove> {
        let Self { job, backend: source, .. } = self;
        let snapshot = job.state.snapshot.load();
        let pool = snapshot.pools.get(&job.service)?;
        let now = clock::steady();
        let version = &source.version;
        // The stream could not be resumed from the copy.
        if !job.may_continue(pool, version, now) {
            return None;
        }
        let open = Open::new(job, pool, now);
        let draw = rand::random();
        let candidates = pool.candidates(version, canary::PEAK_LOAD, None, draw, now);
        let is_open = |backend: &&Arc<Backend>| {
            backend.start != source.start
                && !refused.contains(&backend.start)
                && open.includes(backend)
        };
        let open: Vec<&Arc<Backend>> = candidates.backends.into_iter().filter(is_open).collect();
        let engines = pick::engines(job, &open, None, now);
        let targets = open.iter().zip(&engines).map(|(backend, engine)| Target {
            start: backend.start,
            is_near: backend.server.failure_domain == source.server.failure_domain,
            load: engine.load(),
            slots: engine.slots,
            slowdown: engine.slowdown,
        });
        let targets: Vec<Target> = targets.collect();
        let moves = &job.state.moves;
        let index = moves.lock().begin_target(&targets, stream.tokens, rand::random(), now)?;
        Some(TargetMove::new(job, open[index]))
    }
}

/// What the resumption needs of a copy with which an engine can continue. The handle is one of the
/// engine that made the copy, so the address is that engine's.
fn copy_at(backend: &Backend, unused: &UnusedCopy) -> Copy {
    Copy { start: backend.start, address: unused.source, handle: unused.copied.handle.clone() }
}
