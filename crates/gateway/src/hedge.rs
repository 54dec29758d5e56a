//! Sends a request to a second backend server while the first one works on it, and takes the
//! answer that is whole first. [`policy::hedge`] decides when.
//!
//! Only idempotent requests to plain services are hedged: an engine would read the prompt twice.
//! The slower run is dropped with its connection, which cancels the backend server's work.

mod race;
mod reports;

use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use entry::clock;
use entry::connection::Cause;
use entry::sharded::Sharded;
use policy::hedge::{
    self, Domain, LoadClass, ResponseTimes, Situation, Trend, Unreported, Withheld,
};
use policy::name::Name;
use policy::repeat::Window;
use policy::retry::Attempt;
use policy::time::Millis;
use wire::routing::Kind;

use crate::attempt::{Failure, Reply};
use crate::backend::Backend;
use crate::codec::Codec;
use crate::handle::Origin;
use crate::holder::MemoryWait;
use crate::job::Job;
use crate::judge::is_framed;
use crate::pick;
use race::{Race, Run};

/// What hedged requests are decided by, for all requests of this host.
#[derive(Default)]
pub struct Hedging {
    /// Most hedges per request; `None` if no requests are hedged.
    share: ArcSwap<Option<f64>>,
    /// Failure domains with hosts; 0 if the settings name none.
    failure_domains: AtomicU32,
    /// The requests and hedges of the last seconds, by service.
    windows: Sharded<Window>,
    /// The requests of the last seconds that may be hedged, by service.
    eligible: Sharded<Window>,
    /// Response times by route and model.
    by_route: Sharded<ResponseTimes>,
    /// Response times of all routes by service, for routes with few requests.
    by_service: Sharded<ResponseTimes>,
    /// Late runs, by service.
    trends: Sharded<Trend>,
    /// What the other hosts of the failure domain report, by service.
    domains: Sharded<Domain>,
    /// What this host has not reported to them yet, by service.
    unreported: Sharded<Unreported>,
    /// What distinguishes the reports of this process from those before a restart.
    start: OnceLock<u32>,
    /// When what the failure domain knows was last logged, by service.
    logged: Sharded<Millis>,
    /// When an ignored report was last logged, by service.
    ignored: Sharded<Millis>,
}

/// The state of a request's hedge.
#[derive(Default)]
pub struct HedgeState {
    /// The backend server of the first run, while a second run is in flight beside it.
    raced: Mutex<Option<Name>>,
    /// The backend servers of both runs, until the request's attempts count them. A run that is
    /// silent must not be left for the server of the other one.
    servers: Mutex<Vec<Name>>,
    /// Hedges that are in flight or may have been sent, and that the request's attempts don't
    /// count yet.
    uncounted: AtomicU32,
    /// After which time the run in flight counts as late; `None` if it will not be hedged.
    late_after: Mutex<Option<Duration>>,
    /// The backend server whose run was counted as late when it passed the threshold.
    late: Mutex<Option<Name>>,
    /// Whether a hedge was sent.
    pub is_sent: bool,
    /// Whether the answer of the hedge was passed on.
    pub has_won: bool,
    /// The backend server that answered, if it was the hedge's.
    pub answered_by: Option<Arc<Backend>>,
}

/// A body that was read while its request was raced.
pub struct Collected {
    /// The whole body.
    pub body: Bytes,
    /// Whether the body's end could be told from a lost connection.
    pub is_framed: bool,
    /// For how long reading it waited for memory of this host.
    pub memory_wait: Duration,
}

impl Hedging {
    /// Sets the most hedges per request; `None` if no requests are hedged.
    pub fn set_share(&self, share: Option<f64>) {
        self.share.store(Arc::new(share));
    }

    /// Sets the number of failure domains with hosts; 0 if it is not known.
    pub fn set_failure_domains(&self, count: usize) {
        self.failure_domains.store(u32::try_from(count).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// The most hedges per request; `None` if no requests are hedged.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        **self.share.load()
    }
}

impl HedgeState {
    /// Hedges that the request's attempts don't count yet.
    pub fn uncounted(&self) -> u32 {
        self.uncounted.load(Ordering::Relaxed)
    }

    /// Whether the run at this backend server is the first of two runs in flight.
    pub fn is_raced(&self, backend: &Name) -> bool {
        lock(&self.raced).as_ref() == Some(backend)
    }

    /// After which time the run in flight counts as late; `None` if it will not be hedged.
    pub fn late_after(&self) -> Option<Duration> {
        *lock(&self.late_after)
    }

    /// Whether one of the runs that the request's attempts don't count yet is at this server.
    pub fn includes(&self, backend: &Name) -> bool {
        lock(&self.servers).contains(backend)
    }

    /// Both runs have ended, and the request's attempts count them.
    fn finish(&self) {
        *lock(&self.raced) = None;
        *lock(&self.late_after) = None;
        lock(&self.servers).clear();
        self.uncounted.store(0, Ordering::Relaxed);
    }
}

impl<C: Codec> Job<C> {
    /// Whether a request may have a second run beside this attempt. An attempt after a failed one
    /// has none: the request itself may be the cause.
    pub fn may_race(&self, last_event: Option<u64>) -> bool {
        self.state.hedging.share().is_some_and(|share| share > 0.0)
            && self.route().kind == Kind::Idempotent
            && self.origin == Origin::Caller
            && self.attempts.sent == 0
            && last_event.is_none()
    }

    /// Counts the request, of whose number hedges may be a share.
    pub fn count_for_hedges(&self) {
        let hedging = &self.state.hedging;
        if let Some(share) = hedging.share() {
            let (allowance, now) = (hedge::allowance(share), clock::steady());
            let record = |window: &mut Window| window.record_request(&allowance, now);
            hedging.windows.with(&self.service, record);
            if self.route().kind == Kind::Idempotent {
                hedging.eligible.with(&self.service, record);
            }
        }
    }

    /// The load of a backend server that is about to receive the request; `None` if no requests
    /// are hedged.
    pub fn load_class(&self, backend: &Backend) -> Option<LoadClass> {
        let now = clock::steady();
        let is_counted = self.state.hedging.share().is_some() && !self.route().kind.is_stream();
        is_counted.then(|| backend.hedge_target(0).load_class(now))
    }

    /// Records the time of a whole answer, or of a cancelled run (`is_cancelled`).
    pub fn record_response_time(
        &self,
        backend: &Backend,
        class: Option<LoadClass>,
        ms: f64,
        is_cancelled: bool,
    ) {
        let (Some(class), true) = (class, self.is_timed(backend)) else { return };
        let threshold = self.late_after_ms(class);
        let is_late = is_cancelled || threshold.is_some_and(|threshold| ms >= threshold);
        let (hedging, now) = (&self.state.hedging, clock::steady());
        // A run that passed the threshold was counted then.
        if lock(&self.attempts.hedge.late).as_ref() != Some(&backend.id) {
            hedging.record_ended(&self.service, is_late);
        }
        let trend = hedging.trends.with(&self.service, |trend| *trend);
        let is_recorded =
            hedging.by_route.with(self.timing_key(), |times| times.record(class, ms, &trend, now));
        if is_recorded {
            hedging.unreported.with(&self.service, |unreported| {
                unreported.record_run(self.timing_key(), class, ms);
            });
        }
        let is_fast = hedging.by_service.with(&self.service, |times| {
            let is_fast = times.is_fast(class, ms);
            times.record(class, ms, &trend, now);
            is_fast
        });
        if is_fast && !is_cancelled {
            backend.record_fast(now);
            hedging
                .unreported
                .with(&self.service, |unreported| unreported.record_fast(&backend.id, now));
        }
    }

    /// The time after which a run counts as late, in milliseconds; `None` while it is not known.
    fn late_after_ms(&self, class: LoadClass) -> Option<f64> {
        let hedging = &self.state.hedging;
        let share = hedging.share_of_eligible(&self.service, clock::steady())?;
        let threshold = |times: &mut ResponseTimes| times.threshold_ms(class, share);
        let own = hedging.by_route.with(self.timing_key(), threshold);
        own.or_else(|| hedging.by_service.with(&self.service, threshold))
    }

    /// Sends the request, and to a second backend server as well if the first one is late. Returns
    /// the answer that is whole first.
    ///
    /// # Errors
    /// Why the first run gave no answer, if no run did.
    pub async fn attempt_hedged(&mut self, backend: &Arc<Backend>) -> Result<Reply, Failure> {
        let (began, class) = (Instant::now(), self.load_class(backend));
        let Race { first, second, memory_wait } = self.race(backend, class).await;
        self.attempts.hedge.finish();
        let Some((other, second)) = second else { return self.finish_attempt(backend, first) };
        self.attempts.hedge.is_sent = true;
        let has_won = second.is_answer();
        let result = if has_won { "won" } else { "lost" };
        metrics::counter!("gateway_hedges_total", "result" => result).increment(1);
        log::info!(target: "route", request:% = self.info.id, first:% = backend.id,
            second:% = other.id, first_run = first.label(), second_run = second.label(),
            ms = began.elapsed().as_millis() as u64; "hedged request decided");
        let waited_ms = began.elapsed().saturating_sub(memory_wait).as_secs_f64() * 1_000.0;
        if !has_won {
            self.settle(&other, second, None, waited_ms).await;
            return self.finish_attempt(backend, first);
        }
        self.settle(backend, first, class, waited_ms).await;
        self.attempts.hedge.has_won = true;
        self.attempts.hedge.answered_by = Some(Arc::clone(&other));
        self.finish_attempt(&other, second)
    }

    /// Records the run whose result becomes that of the attempt.
    fn finish_attempt(&mut self, backend: &Arc<Backend>, run: Run) -> Result<Reply, Failure> {
        let reply = match run {
            Run::Ended(reply) => *reply,
            Run::Cancelled => Err(Failure::Lost(Cause::Silent)),
        };
        self.count_attempt(backend, &reply);
        reply
    }

    /// Runs the request at the first backend server, and at a second one if the first is late.
    async fn race(&self, backend: &Arc<Backend>, class: Option<LoadClass>) -> Race {
        let began = Instant::now();
        let waits = MemoryWait::default();
        let mut first = pin!(self.run(backend, &waits));
        let Some(late_ms) = class.and_then(|class| self.late_after_ms(class)) else {
            return Race::single(first.await);
        };
        let late_after = Duration::from_secs_f64(late_ms / 1_000.0);
        *lock(&self.attempts.hedge.late_after) = Some(late_after);
        tokio::select! {
            biased;
            ended = first.as_mut() => return Race::single(ended),
            () = wait_until_late(late_after, &waits) => {}
        }
        *lock(&self.attempts.hedge.late_after) = None;
        let claimed = self.claim_hedge(backend, began, late_ms, class);
        if self.is_timed(backend) {
            // Counted after the decision, which is about the runs before this one.
            *lock(&self.attempts.hedge.late) = Some(backend.id.clone());
            self.state.hedging.record_ended(&self.service, true);
        }
        let other = match claimed {
            Ok(other) => other,
            Err(why) => {
                metrics::counter!("gateway_hedges_withheld_total", "why" => why.label())
                    .increment(1);
                log::debug!(target: "route", request:% = self.info.id, backend:% = backend.id,
                    why = why.label(); "hedge withheld");
                return Race::single(first.await);
            }
        };
        metrics::counter!("gateway_hedges_sent_total").increment(1);
        metrics::histogram!("gateway_hedge_wait_seconds").record(began.elapsed().as_secs_f64());
        log::info!(target: "route", request:% = self.info.id, first:% = backend.id,
            second:% = other.id, late_ms = late_ms as u64, load:? = class; "hedge sent");
        let race = self.run_both(backend, first, other).await;
        Race { memory_wait: waits.total(), ..race }
    }

    /// Waits for the first answer of two runs, of which the first is in flight already.
    async fn run_both(
        &self,
        backend: &Arc<Backend>,
        mut first: Pin<&mut impl Future<Output = Result<Reply, Failure>>>,
        other: Arc<Backend>,
    ) -> Race {
        *lock(&self.attempts.hedge.raced) = Some(backend.id.clone());
        lock(&self.attempts.hedge.servers).extend([backend.id.clone(), other.id.clone()]);
        self.attempts.hedge.uncounted.store(1, Ordering::Relaxed);
        let both = async {
            let waits = MemoryWait::default();
            let mut second = pin!(self.run(&other, &waits));
            let (mut first_run, mut second_run) = (Run::Cancelled, Run::Cancelled);
            // If both answers are there at once, the first run's is taken.
            tokio::select! {
                biased;
                ended = first.as_mut() => first_run = Run::ended(ended),
                ended = second.as_mut() => second_run = Run::ended(ended),
            }
            *lock(&self.attempts.hedge.raced) = None;
            match (first_run.failure(), second_run.failure()) {
                _ if first_run.is_answer() || second_run.is_answer() => {}
                // The second run has taken the repeat for another attempt, and the first one has
                // been silent for longer.
                (_, Some(Failure::Lost(Cause::Silent))) => {
                    first_run = Run::ended(Err(Failure::Lost(Cause::Silent)));
                }
                (_, failure) if matches!(second_run, Run::Ended(_)) => {
                    if failure.is_some_and(Failure::is_unsent) {
                        self.attempts.hedge.uncounted.store(0, Ordering::Relaxed);
                    }
                    first_run = Run::ended(first.await);
                }
                _ => second_run = Run::ended(second.await),
            }
            (first_run, second_run)
        };
        let (first, second) = both.await;
        Race { first, second: Some((other, second)), memory_wait: Duration::ZERO }
    }

    /// Sends the request and reads the whole answer.
    async fn run(&self, backend: &Arc<Backend>, waits: &MemoryWait) -> Result<Reply, Failure> {
        let mut reply = self.send(backend, None).await?;
        let is_framed = is_framed(&reply);
        let body = match self.collect(reply.head.status, &mut reply.body, waits).await {
            Ok(body) => body,
            Err(failure) => {
                self.end_watch(reply.watched, failure);
                return Err(failure);
            }
        };
        reply.collected = Some(Collected { body, is_framed, memory_wait: waits.total() });
        Ok(reply)
    }

    /// Chooses the backend server for a second run, and takes the hedge and the repeat that it
    /// costs.
    fn claim_hedge(
        &self,
        backend: &Arc<Backend>,
        began: Instant,
        late_ms: f64,
        class: Option<LoadClass>,
    ) -> Result<Arc<Backend>, Withheld> {
        let hedging = &self.state.hedging;
        let usual_ms = class.and_then(|class| {
            hedging.by_service.with(&self.service, |times| times.usual_ms(class))
        });
        let situation = Situation {
            attempt: Attempt {
                may_repeat: self.route().kind.may_repeat(),
                first_byte_written: true,
                answer_begun: false,
                left_ms: u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX),
                expected_ms: usual_ms.unwrap_or(late_ms) as u64,
            },
            waited_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
            threshold_ms: late_ms as u64,
            sent: self.attempts.sent + 1,
            attempts_max: self.attempts_max,
            is_suspect: self.is_suspect(),
        };
        let trend = hedging.trends.with(&self.service, |trend| *trend);
        hedge::decide(&situation, &trend)?;
        // The version on trial is judged by its own answer times.
        if !self.is_timed(backend) {
            return Err(Withheld::NoServer);
        }
        let other = pick::hedge_server(self, backend)?;
        self.take_hedge()?;
        pick::record_hedge(self, &other);
        Ok(other)
    }

    /// Takes a hedge and a repeat, or neither.
    fn take_hedge(&self) -> Result<(), Withheld> {
        let (hedging, now) = (&self.state.hedging, clock::steady());
        let allowance = hedge::allowance(hedging.share().unwrap_or_default());
        let peers = self.state.peer_count();
        hedging.domains.with(&self.service, |domain| {
            let own = hedging.counts(&self.service, now);
            let budget = domain.budget(own, peers, allowance.share, rand::random(), now);
            let take_repeat = || self.window(|window, repeats| window.take_extra(0, repeats, now));
            match () {
                () if budget.left < 1.0 => Err(Withheld::Share),
                () if !take_repeat() => Err(Withheld::Repeats),
                () => {
                    domain.record_hedge(now);
                    hedging
                        .windows
                        .with(&self.service, |hedges| hedges.record_repeat(&allowance, now));
                    Ok(())
                }
            }
        })
    }

    /// Records the run whose result does not become that of the attempt.
    async fn settle(
        &mut self,
        backend: &Arc<Backend>,
        run: Run,
        class: Option<LoadClass>,
        waited_ms: f64,
    ) {
        match run {
            Run::Cancelled => {
                self.count_sent(backend);
                self.record_cancelled(backend, class, waited_ms);
            }
            Run::Ended(ended) => match *ended {
                Err(failure) => {
                    if !failure.is_unsent() {
                        self.count_sent(backend);
                    }
                    self.blame(backend, failure);
                }
                Ok(reply) => {
                    self.count_sent(backend);
                    // The body has been read already, so this can't fail.
                    let _ = self.judge_failure(reply).await;
                }
            },
        }
    }

    /// Records a run that was cancelled because another one answered first. Its server was slow;
    /// whether it would have failed is not known.
    fn record_cancelled(&self, backend: &Backend, class: Option<LoadClass>, waited_ms: f64) {
        self.record_abandoned(backend);
        // The hedge itself is cancelled without having had much time.
        let Some(class) = class else { return };
        backend.record_slow(clock::steady());
        self.record_response_time(backend, Some(class), waited_ms, true);
        if self.is_timed(backend) {
            self.state.timings.with(self.timing_key(), |timing| {
                timing.first.record(waited_ms, clock::steady());
            });
        }
    }
}

/// Waits until a run that begins now has taken as long as `late`. Time for which it waits for memory
/// of this host does not count.
pub async fn wait_until_late(late: Duration, waits: &MemoryWait) {
    let began = Instant::now();
    loop {
        let taken = began.elapsed().saturating_sub(waits.total());
        match late.saturating_sub(taken) {
            Duration::ZERO => return,
            left => tokio::time::sleep(left).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
