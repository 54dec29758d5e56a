//! Carries one request to an answer: which backend server, again or not, which model.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::clock;
use entry::connection::Cause;
use http_body_util::{BodyExt, Limited};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use policy::escalate::{self, Doubt};
use policy::name::Name;
use policy::place;
use policy::repeat::Window;
use policy::silence;
use wire::refusal::{Code, Refusal};
use wire::routing::{Kind, Route};

use crate::attempt::{self, Failure, Reply};
use crate::backend::Backend;
use crate::codec::{Ask, Codec, Sending};
use crate::index::Known;
use crate::pick;
use crate::pool::Pool;
use crate::refuse;
use crate::relay::Live;
use crate::state::State;

/// Connections that may fail to open before a request is given up.
const UNSENT_MAX: u32 = 4;
/// Largest answer that is not a stream.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// Least wait for a plain answer before another backend server is tried.
const PLAIN_WAIT_MS: f64 = 60.0;
/// Most of the time left that is waited before that.
const PLAIN_PART: f64 = 0.5;
/// Mean wait, as a part of the objective, from which slow beginnings are the load's doing. To
/// leave a busy engine then would only read the prompt twice.
const STREAM_BUSY: f64 = 0.4;
/// Repeats that are left to requests whose backend server fails; a doubtful answer is not dropped
/// for one of them.
const REPEATS_KEPT: f64 = 4.0;
/// An answer that begins within this time is never counted as too slow, in milliseconds.
const SLOW_LEAST_MS: f64 = 200.0;
/// What an engine is told of the most urgent requests; 0 is left for what must go on.
const ENGINE_URGENT: u8 = 3;
/// What it is told of requests asked again of a larger model: work was spent on them already.
const ENGINE_AGAIN: u8 = 1;
const ENGINE_PRIORITY_MAX: u8 = 9;
/// A prompt over this many tokens keeps an engine from others for longer than a step.
const ENGINE_LONG_TOKENS: u32 = 8_000;

/// A request under way.
pub struct Job<C> {
    /// Shared by all requests.
    pub state: Arc<State<C>>,
    /// Its route.
    pub known: Arc<Known>,
    /// What the caller says of it.
    pub ask: Ask,
    /// As the caller sent it.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: Uri,
    /// As the caller sent them.
    pub headers: HeaderMap,
    /// As the caller sent it.
    pub body: Bytes,
    /// The account of the caller's key.
    pub account: Option<Name>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The service that answers it.
    pub service: Name,
    /// When its head was read.
    pub started: Instant,
    /// When it is no longer waited for.
    pub until: Instant,
    /// What the tries so far have come to.
    pub tries: Tries,
}

/// What the tries of a request have come to.
#[derive(Default)]
pub struct Tries {
    /// Backend servers that it was sent to.
    pub sent: u32,
    /// Connections that did not open.
    pub unsent: u32,
    /// It may have run.
    pub may_have_run: bool,
    /// Tries that backend servers did not run.
    pub not_run: u32,
    /// The backend server that it was last sent to.
    pub backend: Option<Name>,
    /// Backend servers not to be tried again.
    pub tried: Vec<Name>,
    /// Other failure domains that did not answer; others are tried first.
    pub dark: Vec<Name>,
    /// Index of the model that is asked now.
    pub model: usize,
    /// The version that it was first sent to.
    pub version: Option<Name>,
    /// Old connections are no longer used.
    pub new_only: bool,
    /// A backend server's own failure, if nothing better comes.
    failure: Option<(Parts, Bytes)>,
    /// Why the last try failed.
    pub last: Option<Failure>,
    /// The next try has been paid for.
    pub paid: AtomicBool,
    /// The last try has begun to answer, and counts as sent.
    pub answering: bool,
    /// From its coming in to the beginning of its answer, in milliseconds; 0 before that.
    pub begun_ms: u64,
    /// The confidence with which a smaller model's answer was dropped.
    pub doubted: Option<u8>,
}

/// An answer that may be passed on.
pub enum Accepted {
    /// All of it.
    Whole(Parts, Bytes),
    /// Its beginning, and where the rest comes from.
    Stream(Parts, Box<Live>),
}

impl<C: Codec> Job<C> {
    /// Its route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.known.route
    }

    /// The time left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// The name under which the times of its answers are kept.
    #[must_use]
    pub fn timing(&self) -> &Name {
        &self.known.timings[self.tries.model.min(self.known.timings.len() - 1)]
    }

    /// The model chosen, if the choice is ours.
    #[must_use]
    pub fn model(&self) -> Option<&Name> {
        self.route().models.get(self.tries.model)
    }

    /// Names the model among cached parts of prompts.
    #[must_use]
    pub fn model_hash(&self) -> u64 {
        self.model().map_or(0, |model| place::hash(model.as_bytes()))
    }

    /// What places it among versions: its session, or itself.
    #[must_use]
    pub fn subject(&self) -> &Name {
        self.ask.session.as_ref().unwrap_or(&self.ask.id)
    }

    /// Whether a backend server's times are those that others are measured by: a version under
    /// trial is not.
    #[must_use]
    pub fn timed(&self, backend: &Backend) -> bool {
        let world = self.state.world.load();
        let pool = world.pools.get(&self.service);
        let trial = pool.and_then(|pool| pool.rollout.as_ref()).filter(|trial| trial.is_open());
        trial.is_none_or(|trial| trial.target != backend.version)
    }

    /// Carries the request to an answer.
    ///
    /// # Errors
    /// A refusal; one that says "not run" only if no backend server can have run it.
    pub async fn answer(&mut self) -> Result<Accepted, Refusal> {
        self.window(|window, allowance| window.request(allowance, clock::steady()));
        loop {
            let Some(backend) = self.next_backend() else { return self.give_up() };
            match self.attempt(&backend, self.ask.last_event).await {
                Ok(reply) => match self.judge(reply).await {
                    Ok(Some(accepted)) => return Ok(accepted),
                    Ok(None) => {}
                    Err(failure) => self.failed(&backend, failure),
                },
                Err(failure) => self.failed(&backend, failure),
            }
            if !self.may_go_on() {
                return self.give_up();
            }
        }
    }

    /// Goes on with a stream that broke, behind the last event that the caller has.
    pub async fn resume(&mut self, last: u64) -> Option<Live> {
        while self.may_go_on() {
            let backend = self.next_backend()?;
            match self.attempt(&backend, Some(last)).await {
                Ok(reply) if reply.head.status == StatusCode::OK => {
                    match Live::begin(self, reply, Some(last)).await {
                        Ok(live) => return Some(live),
                        Err(failure) => self.failed(&backend, failure),
                    }
                }
                Ok(reply) => {
                    let status = reply.head.status.as_u16();
                    drop(reply);
                    self.failed(&backend, Failure::Lost(Cause::Failed(status)));
                }
                Err(failure) => self.failed(&backend, failure),
            }
        }
        None
    }

    fn next_backend(&mut self) -> Option<Arc<Backend>> {
        let world = self.state.world.load_full();
        let pool = world.pools.get(&self.service)?;
        let now = clock::steady();
        let version = match &self.tries.version {
            // A stream and a session stay on their version while it has another server.
            Some(version) if pool.of(version).next().is_some() => version.clone(),
            _ => pool.version(self.subject(), now).clone(),
        };
        let stopped = pool
            .rollout
            .as_ref()
            .is_some_and(|trial| trial.target == version && trial.share(now) == 0.0);
        let chosen = if stopped { None } else { pick::choose(self, pool, &version) };
        let chosen = chosen.or_else(|| {
            let other = pool.fallback(&version, now)?;
            pick::choose(self, pool, other)
        });
        chosen.inspect(|backend| self.tries.version = Some(backend.version.clone()))
    }

    async fn attempt(
        &mut self,
        backend: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        self.tries.answering = false;
        let sending = Sending {
            backend: &backend.id,
            account: self.account.as_ref(),
            left_ms: u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX),
            model: self.model(),
            last_event,
            priority: self.engine_priority(),
        };
        let reply = attempt::send(self, backend, &sending).await;
        self.tries.answering = reply.is_ok();
        if !matches!(reply, Err(Failure::Unsent(_))) {
            self.tries.sent += 1;
            self.tries.backend = Some(backend.id.clone());
        }
        reply
    }

    fn engine_priority(&self) -> Option<u8> {
        let is_engine = !self.ask.parts.is_empty();
        let own = (ENGINE_URGENT + 2 * self.priority.min(ENGINE_URGENT)).min(ENGINE_PRIORITY_MAX);
        let again = if self.tries.sent > 0 { ENGINE_AGAIN } else { 0 };
        // A long prompt waits for the short ones of its kind: they are read in a moment.
        let long = u8::from(self.ask.prompt_tokens > ENGINE_LONG_TOKENS);
        is_engine.then_some((own + long - again).min(ENGINE_PRIORITY_MAX))
    }

    /// How long the head of an answer is still waited for before the backend server is left; none
    /// if the time has come.
    pub async fn first_wait(&self, backend: &Backend, since: Instant) -> Option<Duration> {
        let route = self.route();
        if !route.kind.may_repeat() || self.tries.sent + 1 >= route.attempts_max {
            return Some(self.left());
        }
        let first = self.state.timings.with(self.timing(), |timing| timing.first);
        let objective = route.objective_ms as f64;
        let silent = since.elapsed();
        if route.kind == Kind::Idempotent {
            let left_ms = (silent + self.left()).as_secs_f64() * 1_000.0;
            let wait = first.wait_ms(PLAIN_WAIT_MS, left_ms * PLAIN_PART);
            return Duration::from_secs_f64(wait / 1_000.0).checked_sub(silent);
        }
        let bounds = match first.mean_ms(0.0) > objective * STREAM_BUSY {
            true => silence::FIRST_BUSY,
            false => silence::FIRST,
        };
        backend.bears(&bounds, silent, objective).await
    }

    /// Whether a silent backend server is left: only if the request can be sent to another one.
    /// The repeat is paid for then, so that the next try can't be refused for want of it.
    pub fn leave(&self, backend: &Backend) -> bool {
        let world = self.state.world.load();
        let Some(pool) = world.pools.get(&self.service) else { return false };
        let is_other = |other: &&Arc<Backend>| {
            other.id != backend.id
                && !self.tries.tried.contains(&other.id)
                && other.server.takes_work(clock::steady())
        };
        let sent = self.tries.sent + u32::from(!self.tries.answering);
        let way_on = self.route().kind.may_repeat()
            && sent < self.route().attempts_max
            && pool.of(&backend.version).any(|other| is_other(&other));
        let paid = way_on && self.window(|w, allowance| w.take(allowance, clock::steady()));
        self.tries.paid.fetch_or(paid, Ordering::Relaxed);
        paid
    }

    /// What becomes of an answer: passed on, or none yet.
    async fn judge(&mut self, reply: Reply) -> Result<Option<Accepted>, Failure> {
        let status = reply.head.status;
        if status.is_server_error() {
            return self.judge_failure(reply).await;
        }
        self.note_version(&reply.backend, Some(reply.first_ms));
        if self.escalates(&reply) {
            self.tries.doubted = reply.said.confidence;
            self.tries.model = self.route().models.len() - 1;
            self.tries.may_have_run = true;
            reply.backend.note(false, clock::steady());
            return Ok(None);
        }
        if self.route().kind.is_stream() && status == StatusCode::OK {
            let head = reply.head.clone();
            let live = Live::begin(self, reply, self.ask.last_event).await?;
            self.note_begun();
            return Ok(Some(Accepted::Stream(head, Box::new(live))));
        }
        let (head, body) = self.read_whole(reply).await?;
        Ok(Some(Accepted::Whole(head, body)))
    }

    /// A backend server's own failure: it ran the request. It is passed on unless the request may
    /// run again.
    async fn judge_failure(&mut self, reply: Reply) -> Result<Option<Accepted>, Failure> {
        let backend = Arc::clone(&reply.backend);
        backend.note(true, clock::steady());
        self.note_version(&backend, None);
        self.tries.may_have_run = true;
        let (head, body) = self.read_whole(reply).await?;
        self.tries.tried.push(backend.id.clone());
        log::info!(target: "route", request:% = self.ask.id, backend:% = backend.id,
            status = head.status.as_u16(), sent = self.tries.sent; "backend server failed");
        match self.route().kind.may_repeat() {
            true => {
                self.tries.failure = Some((head, body));
                Ok(None)
            }
            false => Ok(Some(Accepted::Whole(head, body))),
        }
    }

    async fn read_whole(&self, reply: Reply) -> Result<(Parts, Bytes), Failure> {
        let Reply { head, body, mut connection, lease, backend, sent_at, .. } = reply;
        let collected = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let body = match tokio::time::timeout_at(self.until.into(), collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(Failure::Lost(Cause::Truncated)),
            Err(_) => return Err(Failure::Lost(Cause::Deadline)),
        };
        if !head.status.is_server_error() {
            backend.note(false, clock::steady());
        }
        if self.timed(&backend) {
            let ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
            self.state.timings.with(self.timing(), |timing| timing.whole.note(ms, clock::steady()));
        }
        if self.route().kind == Kind::Idempotent {
            connection.mark_proven();
            lease.server.put_idle(connection);
        }
        Ok((head, body))
    }

    /// Whether a small model's doubtful answer is dropped for a larger one's.
    fn escalates(&self, reply: &Reply) -> bool {
        let models = &self.route().models;
        let largest = models.len().saturating_sub(1);
        let may = self.route().kind.may_repeat() && self.tries.sent < self.route().attempts_max;
        if reply.head.status != StatusCode::OK || self.tries.model >= largest || !may {
            return false;
        }
        let objective_ms = self.route().objective_ms as f64;
        let larger = self.state.timings.with(&self.known.timings[largest], |timing| *timing);
        let usual_ms = larger.first.faded_ms(objective_ms / 4.0, clock::steady());
        // A prompt far longer than usual keeps an engine for seconds, and all that wait there.
        let read_ms = f64::from(self.ask.prompt_tokens) / larger.tokens_per_ms;
        let doubt = Doubt {
            confidence: reply.said.confidence,
            priority: self.priority,
            waited_ms: self.started.elapsed().as_secs_f64() * 1_000.0,
            larger_ms: usual_ms.max(read_ms),
            read_ms,
            objective_ms,
            pressure: self
                .state
                .pressures
                .with(&self.service, |pressure| pressure.faded_ms(0.0, clock::steady())),
        };
        let repeats = self.window(|window, allowance| window.left(allowance, clock::steady()));
        escalate::escalate(&doubt) && repeats >= REPEATS_KEPT
    }

    /// The caller gets the beginning of its answer now.
    pub fn note_begun(&mut self) {
        let waited = self.started.elapsed().as_secs_f64() * 1_000.0;
        self.tries.begun_ms = waited as u64;
        let part = waited / self.route().objective_ms.max(1) as f64;
        self.state.pressures.with(&self.service, |pressure| pressure.note(part, clock::steady()));
    }

    /// A try failed: who is to blame, and what is known of the request now.
    pub fn failed(&mut self, backend: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        self.tries.last = Some(failure);
        match failure {
            Failure::Unsent(cause) => {
                self.tries.unsent += 1;
                match cause {
                    Cause::Refused => backend.note_refused(now),
                    Cause::Silent => {
                        backend.note_timeout(now);
                        // A whole failure domain may be cut off. Trying its servers one after
                        // another would use up the request's time.
                        if !backend.near {
                            self.tries.dark.push(backend.server.failure_domain.clone());
                        }
                    }
                    // An old connection was closed by the other end; a new one is tried.
                    _ => self.tries.new_only = true,
                }
                if matches!(cause, Cause::Refused | Cause::Silent) {
                    self.tries.tried.push(backend.id.clone());
                }
            }
            Failure::NotRun { misdirected } => {
                self.tries.not_run += 1;
                self.tries.tried.push(backend.id.clone());
                if misdirected {
                    backend.note_refused(now);
                }
            }
            Failure::Lost(_) => {
                self.tries.may_have_run = true;
                self.tries.new_only = true;
                self.tries.tried.push(backend.id.clone());
                if !self.left().is_zero() {
                    backend.note(true, now);
                    self.note_version(backend, None);
                }
                if failure == Failure::Lost(Cause::Silent) && self.timed(backend) {
                    let waited = self.route().objective_ms as f64 * STREAM_BUSY;
                    self.state.timings.with(self.timing(), |timing| {
                        timing.first.note_cut(waited, now);
                    });
                }
            }
        }
        log::info!(target: "route", request:% = self.ask.id, backend:% = backend.id,
            cause:? = failure, sent = self.tries.sent, left_ms = self.left().as_millis() as u64;
            "try failed");
    }

    /// Whether the request may be sent once more; takes a repeat from the budget if it was sent.
    pub fn may_go_on(&self) -> bool {
        let tries = &self.tries;
        let safe = self.route().kind.may_repeat() || !tries.may_have_run;
        let room = tries.sent < self.route().attempts_max && tries.unsent < UNSENT_MAX;
        safe && room
            && !self.left().is_zero()
            && (tries.sent == 0
                || tries.paid.swap(false, Ordering::Relaxed)
                || self.window(|window, allowance| window.take(allowance, clock::steady())))
    }

    fn window<T>(&self, use_it: impl FnOnce(&mut Window, &policy::repeat::Allowance) -> T) -> T {
        let allowance = self.state.allowance.load();
        self.state.windows.with(&self.service, |window| use_it(window, &allowance))
    }

    /// Counts an answer for the roll-out under way; no time if it failed.
    pub fn note_version(&self, backend: &Backend, first_ms: Option<f64>) {
        let world = self.state.world.load();
        let pool: Option<&Arc<Pool>> = world.pools.get(&self.service);
        let trial = pool.and_then(|pool| pool.rollout.as_ref()).filter(|trial| trial.is_open());
        let Some(trial) = trial else { return };
        let first = self.state.timings.with(self.timing(), |timing| timing.first);
        let usual = first.mean_ms(f64::INFINITY) * policy::canary::SLOW_FACTOR;
        let is_bad = first_ms.is_none_or(|ms| ms > usual.max(SLOW_LEAST_MS));
        let is_new = backend.version == trial.target;
        self.state.tally.note(&self.service, &self.route().name, is_new, is_bad);
    }

    /// The last answer there is: a backend server's own failure, or a refusal.
    fn give_up(&mut self) -> Result<Accepted, Refusal> {
        if let Some((head, body)) = self.tries.failure.take() {
            return Ok(Accepted::Whole(head, body));
        }
        let late = self.left().is_zero();
        Err(match self.tries.may_have_run {
            true if late => Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"),
            true => Refusal::may_have_run(Code::BackendFailed, "the backend server failed"),
            false if self.tries.not_run > 0 => {
                let timing = self.state.timings.with(self.timing(), |timing| *timing);
                refuse::busy(timing.whole.mean_ms(0.0), rand::random())
            }
            false => refuse::no_backend(),
        })
    }
}
