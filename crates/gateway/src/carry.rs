//! Carries one request to an answer: which backend server, again or not, which model.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::carry::{self, Step, carry};
use entry::clock;
use entry::connection::Cause;
use hyper::StatusCode;
use hyper::http::response::Parts;
use policy::precedence;
use policy::retry::{self, Attempt};
use policy::time::Millis;
use wire::refusal::{Code, Refusal};

use crate::attempt::{self, Failure, Reply};
use crate::backend::Backend;
use crate::codec::{Codec, Sending};
use crate::job::Job;
use crate::pick;
use crate::refuse;
use crate::relay::Live;

/// Connections that may fail to open for want of an answer before a request is given up. Refused
/// ones have no such limit: each costs a millisecond, and a server that refused is not asked again.
const UNSENT_MAX: u32 = 4;

/// Longest pause of all servers that a stream waits out. Callers leave a stream after two seconds without
/// an event, at the earliest.
const OUTWAITED_MAX: Duration = Duration::from_millis(1_500);
/// A pause that has just ended is over within this time.
const OUTWAITED_MIN: Duration = Duration::from_millis(10);

/// What stands against another try of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// Its time is over.
    Late,
    /// It may have run, and its kind may not run again.
    Kind,
    /// It was sent to as many backend servers as its route allows.
    Attempts,
    /// Too many connections did not open in time.
    Connections,
    /// The host has no repeat left.
    Repeats,
    /// No backend server is known that takes it.
    NoServer,
    /// It is held, since servers ended under it.
    Held,
}

/// An answer that may be passed on.
pub enum Accepted {
    /// All of it.
    Whole(Parts, Bytes),
    /// Its beginning, and where the rest comes from.
    Stream(Parts, Box<Live>),
}

impl<C: Codec> Job<C> {
    /// Carries the request to an answer.
    ///
    /// # Errors
    /// A refusal; one that says "not run" only if no backend server can have run it.
    pub async fn answer(&mut self) -> Result<Accepted, Refusal> {
        self.window(|window, allowance| window.request(allowance, clock::steady()));
        carry(self).await
    }

    /// Goes on with a stream that broke, behind the last event that the caller has.
    ///
    /// # Errors
    /// Why no other backend server has taken it up.
    pub async fn resume(&mut self, last: u64) -> Result<Live, Obstacle> {
        self.go_on()?;
        loop {
            let mut resumption = Resumption { job: self, last, obstacle: Obstacle::NoServer };
            let resumed = carry(&mut resumption).await;
            let obstacle = resumption.obstacle;
            match resumed {
                Ok(live) => return Ok(live),
                // What is paid for is still to be made.
                Err(_) if obstacle == Obstacle::NoServer && self.outwaits_pauses().await => {}
                Err(_) => return Err(obstacle),
            }
        }
    }

    /// Waits until the first server takes requests again, if all want a pause and that is soon: a caller
    /// that has the beginning of a stream can't come back for the rest.
    async fn outwaits_pauses(&self) -> bool {
        let is_untried = |backend: &Backend| !self.tries.tried.contains(&backend.id);
        let pause = self.paused_ms(is_untried).map(Duration::from_millis);
        let pause = pause.filter(|pause| *pause <= OUTWAITED_MAX.min(self.left()));
        match pause {
            Some(pause) => tokio::time::sleep(pause.max(OUTWAITED_MIN)).await,
            None => return false,
        }
        true
    }

    /// Takes what another try costs: a repeat, if the request was sent.
    ///
    /// # Errors
    /// What stands against another try.
    fn go_on(&self) -> Result<(), Obstacle> {
        let tries = &self.tries;
        let attempt = Attempt {
            may_repeat: self.route().kind.may_repeat(),
            first_byte_written: tries.may_have_run,
            answer_begun: false,
            left_ms: u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX),
            expected_ms: 1,
        };
        match () {
            () if self.left().is_zero() => Err(Obstacle::Late),
            () if !retry::may_try_elsewhere(&attempt) => Err(Obstacle::Kind),
            () if tries.sent >= self.route().attempts_max => Err(Obstacle::Attempts),
            () if tries.unsent >= UNSENT_MAX => Err(Obstacle::Connections),
            () if tries.sent == 0 || tries.paid.swap(false, Ordering::Relaxed) => Ok(()),
            () if self.take_repeat() => Ok(()),
            () => Err(Obstacle::Repeats),
        }
    }

    /// Takes a repeat of the host's, if there is one for this request.
    pub fn take_repeat(&self) -> bool {
        let streams = if self.tries.is_passed_on { 0 } else { self.streams() };
        self.window(|window, allowance| window.take_beside(streams, allowance, clock::steady()))
    }

    /// Streams under way that may need a repeat of those that this request's service has; a plain
    /// service has none.
    fn streams(&self) -> usize {
        if self.route().kind.is_stream() { self.state.relays.len() } else { 0 }
    }

    /// Takes a repeat for a better answer; the next try is paid for then.
    pub fn take_spare_repeat(&self) -> bool {
        let streams = self.streams();
        let taken =
            self.window(|window, allowance| window.take_spare(streams, allowance, clock::steady()));
        self.tries.paid.fetch_or(taken, Ordering::Relaxed);
        taken
    }

    fn next_backend(&mut self) -> Option<Arc<Backend>> {
        let world = self.state.world.load_full();
        let pool = world.pools.get(&self.service)?;
        let now = clock::steady();
        let version = match &self.tries.version {
            // A stream and a session stay on their version while it has another server.
            Some(version) if pool.keeps(version, now) => version.clone(),
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

    /// Requests a second that the service's servers take in all, if limits keep this one from them.
    fn limited(&self) -> Option<f64> {
        let world = self.state.world.load();
        let backends = &world.pools.get(&self.service)?.backends;
        let now = clock::steady();
        let limited = backends.iter().filter(|backend| backend.server.takes_work(now));
        let rates = limited
            .filter_map(|backend| backend.with_intake(|intake| intake.throttle.per_second(now)));
        let rate: f64 = rates.sum();
        (rate > 0.0).then_some(rate)
    }

    /// Whether all servers of the service stand in evacuated failure domains.
    fn is_evacuated(&self) -> bool {
        let world = self.state.world.load();
        let pool = world.pools.get(&self.service);
        pool.is_some_and(|pool| pool.backends.is_empty() && pool.evacuated > 0)
    }

    /// How long all servers of the service that count still want nothing from this host, in milliseconds;
    /// none if one of them takes requests, or if none can be reached.
    fn paused_ms(&self, counts: impl Fn(&Backend) -> bool) -> Option<u64> {
        let world = self.state.world.load();
        let now = clock::steady();
        let backends = &world.pools.get(&self.service)?.backends;
        let counted = backends.iter().filter(|backend| counts(backend));
        let mut well = counted.filter(|backend| !backend.server.is_ill(now));
        let first_end = well.try_fold(Millis(u64::MAX), |first, backend| {
            backend.server.closed_until(now).map(|until| first.min(until))
        });
        first_end.filter(|end| *end < Millis(u64::MAX)).map(|end| end.since(now))
    }

    /// Whether all servers of the service leave.
    fn is_leaving(&self) -> bool {
        let world = self.state.world.load();
        let pool = world.pools.get(&self.service);
        pool.is_some_and(|pool| {
            let mut backends = pool.backends.iter();
            let has_leaving = pool.leaving > 0 || !pool.backends.is_empty();
            has_leaving
                && pool.evacuated == 0
                && backends.all(|backend| backend.server.is_leaving())
        })
    }

    async fn try_at(
        &mut self,
        backend: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        self.tries.answering = false;
        self.tries.head_at = None;
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
        if let Ok(reply) = &reply {
            self.tries.head_at = Some(Instant::now());
            self.tries.expected_ms = reply.expected_ms as u64;
            self.tries.head_ms = reply.first_ms as u64;
        }
        if !matches!(reply, Err(Failure::Unsent(_) | Failure::Unwanted)) {
            self.tries.sent += 1;
            self.tries.backend = Some(backend.id.clone());
        }
        reply
    }

    /// Where an engine puts the request among others; 0 is served first, none for plain services.
    #[must_use]
    pub fn engine_priority(&self) -> Option<u8> {
        let is_engine = !self.ask.parts.is_empty();
        let request = precedence::Request {
            read_ms: f64::from(self.ask.prompt_tokens) / self.tokens_per_ms(self.tries.model),
            priority: self.priority,
            is_again: self.tries.sent > 0,
            is_resumed: self.ask.last_event.is_some(),
        };
        is_engine.then(|| precedence::place(&request))
    }
}

impl<C: Codec> carry::Request for Job<C> {
    type Server = Arc<Backend>;
    type Answer = Accepted;
    type Failure = Failure;

    fn choose(&mut self) -> Option<Arc<Backend>> {
        self.next_backend()
    }

    async fn attempt(&mut self, backend: &Arc<Backend>) -> Step<Accepted, Failure> {
        if let Err(refusal) = self.permit().await {
            return Step::Refused(refusal);
        }
        let reply = match self.try_at(backend, self.ask.last_event).await {
            Ok(reply) => reply,
            Err(failure) => return Step::Failed(failure),
        };
        match self.judge(reply).await {
            Ok(Some(accepted)) => Step::Answered(accepted),
            Ok(None) => Step::Dropped,
            Err(failure) => Step::Failed(failure),
        }
    }

    fn failed(&mut self, backend: &Arc<Backend>, failure: Failure) {
        self.blame(backend, failure);
    }

    fn may_go_on(&mut self) -> bool {
        self.go_on().is_ok()
    }

    /// The last answer there is: a backend server's own failure, or a refusal.
    fn give_up(&mut self) -> Result<Accepted, Refusal> {
        if let Some((head, body)) = self.tries.failure.take() {
            return Ok(Accepted::Whole(head, body));
        }
        let late = self.left().is_zero();
        let paused_ms = self.paused_ms(|_| true);
        Err(match self.tries.may_have_run {
            true if late => Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"),
            true => Refusal::may_have_run(Code::BackendFailed, "the backend server failed"),
            false if let Some(ms) = paused_ms => refuse::paused(ms, rand::random()),
            false if self.tries.not_run > 0 => {
                let timing = self.state.timings.with(self.timing(), |timing| *timing);
                refuse::busy(timing.whole.mean_ms(0.0), rand::random())
            }
            false if self.is_leaving() => refuse::leaving(rand::random()),
            false if self.is_evacuated() => refuse::evacuated(rand::random()),
            false => match self.limited() {
                Some(per_second) => refuse::limited(per_second, rand::random()),
                None => refuse::no_backend(),
            },
        })
    }
}

/// A stream that goes on elsewhere, in the answer that its caller has begun to read.
struct Resumption<'a, C> {
    job: &'a mut Job<C>,
    /// The last event that the caller has.
    last: u64,
    /// What stands against another try, if none is made.
    obstacle: Obstacle,
}

impl<C: Codec> carry::Request for Resumption<'_, C> {
    type Server = Arc<Backend>;
    type Answer = Live;
    type Failure = Failure;

    fn choose(&mut self) -> Option<Arc<Backend>> {
        self.obstacle = Obstacle::NoServer;
        self.job.next_backend()
    }

    async fn attempt(&mut self, backend: &Arc<Backend>) -> Step<Live, Failure> {
        if let Err(refusal) = self.job.permit().await {
            self.obstacle = Obstacle::Held;
            return Step::Refused(refusal);
        }
        let last = Some(self.last);
        let reply = match self.job.try_at(backend, last).await {
            Ok(reply) => reply,
            Err(failure) => return Step::Failed(failure),
        };
        let status = reply.head.status;
        if status != StatusCode::OK {
            return Step::Failed(Failure::Lost(Cause::Failed(status.as_u16())));
        }
        match Live::begin(self.job, reply, last).await {
            Ok(live) => Step::Answered(live),
            Err(failure) => Step::Failed(failure),
        }
    }

    fn failed(&mut self, backend: &Arc<Backend>, failure: Failure) {
        self.job.blame(backend, failure);
    }

    fn may_go_on(&mut self) -> bool {
        let leave = self.job.go_on();
        self.obstacle = leave.err().unwrap_or(self.obstacle);
        leave.is_ok()
    }

    /// The caller learns of it by a connection that closes before the stream's end.
    fn give_up(&mut self) -> Result<Live, Refusal> {
        Err(Refusal::may_have_run(Code::BackendFailed, "the stream broke off"))
    }
}
