//! Decides what becomes of an answer: it is passed on, dropped for a larger model's answer, or the
//! request is sent again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::body::{self, Fault, Gate, Limits, Reservation, Shortage};
use entry::clock;
use entry::connection::Cause;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use policy::escalate::{self, Doubt, Verdict};
use policy::gain;
use policy::poison::Answer;
use wire::routing::Kind;

use crate::attempt::{Failure, Reply};
use crate::backend::Backend;
use crate::carry::AcceptedAnswer;
use crate::codec::Codec;
use crate::evidence::Watched;
use crate::holder::{Charge, MemoryWait};
use crate::job::Job;
use crate::pick;
use crate::relay::LiveStream;
use crate::volume::{ANSWER_BYTES_MAX, SMALL_BYTES};

/// How long the body of a failure is read while another server could answer. It comes with its head
/// or right after it.
const FAILURE_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Counts an answer that is read whole, as one of all such answers and as held for its request.
struct AnswerGate<'a> {
    reservation: Reservation,
    charge: Charge,
    waits: &'a MemoryWait,
}

impl Gate for AnswerGate<'_> {
    async fn wait(&mut self, held: usize, more: usize) -> Result<(), Shortage> {
        self.reservation.wait(held, more).await?;
        self.waits.track(self.charge.wait(held, more)).await
    }

    fn finish(&mut self, held: usize) {
        self.charge.finish(held);
    }
}

/// Whether the end of an answer's body can be told from a lost connection.
#[must_use]
pub fn is_framed(reply: &Reply) -> bool {
    reply.body.size_hint().exact().is_some() || reply.head.headers.contains_key(TRANSFER_ENCODING)
}

impl<C: Codec> Job<C> {
    /// Decides what becomes of an answer. Returns the answer if it is passed on, and `None` if
    /// another attempt is needed.
    ///
    /// # Errors
    /// The answer broke off. The request may have run.
    pub async fn judge(&mut self, reply: Reply) -> Result<Option<AcceptedAnswer>, Failure> {
        let status = reply.head.status;
        if status.is_server_error() {
            return self.judge_failure(reply).await;
        }
        self.record_gain(&reply);
        if let Some(larger) = self.escalation(&reply) {
            self.attempts.dropped_confidence = reply.info.confidence;
            self.attempts.model = larger;
            self.attempts.may_have_run = true;
            reply.backend.record_outcome(false, clock::steady());
            self.record_abandoned(&reply.backend);
            return Ok(None);
        }
        if self.route().kind.is_stream() && status == StatusCode::OK {
            let head = reply.head.clone();
            let live = LiveStream::begin(self, reply, self.info.last_event).await?;
            self.attempts.answer_began_at = Some(Instant::now());
            self.record_begun();
            return Ok(Some(AcceptedAnswer::Stream(head, Box::new(live))));
        }
        self.attempts.answer_began_at = Some(Instant::now());
        let (head, body) = self.read_whole(reply).await?;
        Ok(Some(AcceptedAnswer::Whole(head, body)))
    }

    /// Handles an error answer of a backend server that ran the request. It is passed on unless the
    /// request may run again.
    ///
    /// # Errors
    /// The answer broke off.
    pub async fn judge_failure(
        &mut self,
        mut reply: Reply,
    ) -> Result<Option<AcceptedAnswer>, Failure> {
        let (backend, status) = (Arc::clone(&reply.backend), reply.head.status.as_u16());
        reply.watched.take().into_iter().for_each(Watched::resolve);
        backend.record_outcome(true, clock::steady());
        self.record_for_rollout(&backend, None);
        self.record_fetch_failed();
        self.attempts.may_have_run = true;
        let read = self.read_whole(reply).await;
        let is_given_up = matches!(read, Err(Failure::Lost(Cause::Failed(_))));
        let answer = match read {
            Err(_) if is_given_up => None,
            read => Some(read?),
        };
        // The host that made the attempt may be asked again, for another server.
        self.record_failed_server(self.attempts.backend.clone());
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id,
            status, sent = self.attempts.sent, is_given_up;
            "backend server answered with an error");
        match answer {
            Some((head, body)) if !self.route().kind.may_repeat() => {
                Ok(Some(AcceptedAnswer::Whole(head, body)))
            }
            answer => {
                self.attempts.failure_answer = answer.or(self.attempts.failure_answer.take());
                Ok(None)
            }
        }
    }

    /// Reads the whole body of an answer. Counts the time for which that waits for memory.
    ///
    /// The body of a failure is read only for a moment while another server could answer: the
    /// caller has no use for it then, and it may have no end.
    ///
    /// # Errors
    /// The body broke off or is too long, or the deadline has passed.
    pub async fn collect(
        &self,
        status: StatusCode,
        body: &mut Incoming,
        waits: &MemoryWait,
    ) -> Result<Bytes, Failure> {
        let is_replaceable = status.is_server_error() && self.can_be_answered_elsewhere();
        let limits = match is_replaceable {
            true => Limits { whole: FAILURE_READ_TIMEOUT, ..Limits::new(SMALL_BYTES) },
            false => Limits::new(ANSWER_BYTES_MAX),
        };
        let limits = Limits { until: Some(self.deadline), ..limits };
        let mut gate = AnswerGate {
            reservation: self.state.buffers.reserve(),
            charge: self.holder.charge(0),
            waits,
        };
        match body::read(body, &limits, &mut gate).await {
            Ok(body) => Ok(gate.charge.hold(body)),
            Err(Fault::Slow { .. } | Fault::TooLong(_) | Fault::NoMemory(_)) if is_replaceable => {
                Err(Failure::Lost(Cause::Failed(status.as_u16())))
            }
            Err(Fault::Late | Fault::NoMemory(Shortage::Expired)) => {
                Err(Failure::Lost(Cause::Deadline))
            }
            Err(_) => Err(Failure::Lost(Cause::Truncated)),
        }
    }

    /// Whether another attempt may be made, and there is a server or host for it.
    fn can_be_answered_elsewhere(&self) -> bool {
        self.route().kind.may_repeat()
            && self.attempts.sent < self.attempts_max
            && (pick::has_server(self) || self.has_host())
    }

    async fn read_whole(&self, reply: Reply) -> Result<(Parts, Bytes), Failure> {
        let is_framed = is_framed(&reply);
        let load_class = reply.load_class;
        let Reply { head, mut body, mut connection, lease, backend, sent_at, watched, .. } = reply;
        let (body, is_framed, memory_wait) = match reply.collected {
            Some(collected) => (collected.body, collected.is_framed, collected.memory_wait),
            None => {
                let waits = MemoryWait::default();
                match self.collect(head.status, &mut body, &waits).await {
                    Ok(body) => (body, is_framed, waits.total()),
                    Err(failure) => {
                        self.end_watch(watched, failure);
                        return Err(failure);
                    }
                }
            }
        };
        let ms = sent_at.elapsed().saturating_sub(memory_wait).as_secs_f64() * 1_000.0;
        watched.into_iter().for_each(Watched::resolve);
        let forwarding = reply.forwarding;
        forwarding.into_iter().for_each(|mut forwarding| forwarding.complete());
        self.record_answered(match () {
            () if !head.status.is_success() => Answer::Failure,
            () if is_framed => Answer::Whole,
            () => Answer::Unframed,
        });
        if !head.status.is_server_error() {
            backend.record_outcome(false, clock::steady());
        }
        if self.is_timed(&backend) {
            self.state
                .timings
                .with(self.timing_key(), |timing| timing.whole.record(ms, clock::steady()));
        }
        if !head.status.is_server_error() {
            self.record_response_time(&backend, load_class, ms, false);
            self.record_for_rollout(&backend, Some(ms));
        }
        if self.route().kind == Kind::Idempotent {
            connection.mark_proven();
            lease.server.put_idle(connection);
        }
        Ok((head, body))
    }

    /// The larger model to ask if a small model's doubtful answer is dropped. Takes the repeat for
    /// it.
    fn escalation(&mut self, reply: &Reply) -> Option<usize> {
        self.attempts.kept_doubtful = "";
        let models = &self.route().models;
        let largest = models.len().saturating_sub(1);
        let may_repeat = self.route().kind.may_repeat() && self.attempts.sent < self.attempts_max;
        if reply.head.status != StatusCode::OK || self.attempts.model >= largest || !may_repeat {
            return None;
        }
        let larger = self.next_larger_model(reply.info.confidence?, self.delay_share());
        let doubt = self.doubt(larger, reply.info.confidence);
        let verdict = match escalate::decide(&doubt) {
            Verdict::Keep => return None,
            Verdict::Late => escalate::decide(&self.doubt_by_placement(larger, doubt)),
            Verdict::Escalate => Verdict::Escalate,
        };
        let kept = match verdict {
            Verdict::Keep => "",
            Verdict::Late => "late",
            Verdict::Escalate if !(pick::has_server(self) || self.has_host()) => "no_server",
            Verdict::Escalate if !self.take_spare_repeat() => "no_repeat_left",
            Verdict::Escalate => return Some(larger),
        };
        self.attempts.kept_doubtful = kept;
        None
    }

    /// The same doubt, with the times of the engine that would be chosen now where engines' speeds
    /// are weighed. The mean over all engines counts a long prompt as late although a fast engine, or
    /// one that has its prefix cached, answers in time.
    fn doubt_by_placement(&mut self, larger: usize, doubt: Doubt) -> Doubt {
        if !self.state.placement.load().speeds {
            return doubt;
        }
        // Placement takes the model from `attempts`: speeds and cached parts are kept by model.
        let current = std::mem::replace(&mut self.attempts.model, larger);
        let best = pick::best_terms(self);
        self.attempts.model = current;
        best.map_or(doubt, |terms| Doubt {
            larger_ms: terms.first_event_ms(),
            read_ms: terms.prefill_ms(),
            ..doubt
        })
    }

    /// Chooses the model that is asked first: the smallest one, unless a doubtful answer of it
    /// would have to be passed on because no repeat is left.
    pub fn choose_first_model(&mut self) {
        let largest = self.route().models.len().saturating_sub(1);
        if largest == 0 || !self.route().kind.may_repeat() || self.has_spare_repeat() {
            return;
        }
        if escalate::should_start_with_largest(&self.doubt(largest, None)) {
            self.attempts.model = largest;
        }
    }

    /// What is known of the answer that a larger model would give instead of a doubtful one.
    fn doubt(&self, larger: usize, confidence: Option<u8>) -> Doubt {
        let objective_ms = self.route().objective_ms as f64;
        let timing = self.state.timings.with(&self.indexed.timings[larger], |timing| *timing);
        let usual_ms = timing.first.decayed_mean_ms(objective_ms / 4.0, clock::steady());
        // A prompt far longer than usual keeps an engine busy for seconds, and delays all requests
        // that wait there.
        let read_ms = f64::from(self.info.prompt_tokens) / self.tokens_per_ms(larger);
        Doubt {
            confidence,
            priority: self.priority,
            waited_ms: self.started.elapsed().as_secs_f64() * 1_000.0,
            larger_ms: usual_ms.max(read_ms),
            read_ms,
            objective_ms,
            delay: self.delay_share(),
        }
    }

    /// How long callers have lately waited for streams to begin, as a fraction of their objective.
    fn delay_share(&self) -> f64 {
        let now = clock::steady();
        self.state.delays.with(&self.service, |delay| delay.decayed_mean_ms(0.0, now))
    }

    /// The index of the larger model that is asked after a doubtful answer.
    fn next_larger_model(&self, confidence: u8, delay_share: f64) -> usize {
        let largest = self.route().models.len() - 1;
        // If that model doubts its answer as well, an attempt must be left for the largest one.
        if self.attempts.model > 0 || self.attempts.sent + 1 >= self.attempts_max {
            return largest;
        }
        let between = &self.route().models[1..largest];
        let gain = |model| self.state.gains.with(model, |gain| *gain);
        let gains: Vec<_> = between.iter().map(gain).collect();
        1 + gain::choose(confidence, escalate::threshold(self.priority, delay_share), &gains)
    }

    /// Records the confidence of a larger model in its answer, compared with the smallest model's
    /// in the dropped answer.
    fn record_gain(&self, reply: &Reply) {
        if let (Some(small), Some(larger), Some(model)) =
            (self.attempts.dropped_confidence, reply.info.confidence, self.model())
        {
            self.state.gains.with(model, |gain| gain.record(small, larger));
        }
    }

    /// Records that the caller now receives the beginning of its answer.
    pub fn record_begun(&mut self) {
        let waited = self.started.elapsed().as_secs_f64() * 1_000.0;
        self.attempts.began_after_ms = waited as u64;
        self.attempts.has_stream_begun = true;
        let share = waited / self.route().objective_ms.max(1) as f64;
        self.state.delays.with(&self.service, |delay| delay.record(share, clock::steady()));
    }

    /// Records the speed of an engine, by the pace of a stream that has ended.
    pub fn record_engine_speed(&self, backend: &Backend, pace_ms: f64) {
        // Streams through another host are recorded there.
        if backend.is_host {
            return;
        }
        let shown =
            self.state.timings.with(self.timing_key(), |timing| timing.best.record(pace_ms));
        backend.record_streams(shown, clock::steady());
        if backend.is_near {
            self.state.paces.record(&backend.id, shown);
        }
    }
}
