//! Carries a request to an answer: chooses backend servers and models, and repeats failed attempts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use entry::carry::{self, Step, carry};
use entry::clock;
use hyper::http::response::Parts;
use policy::name::Name;
use policy::precedence;
use policy::retry::{self, Attempt};
use policy::time::Millis;
use wire::refusal::Refusal;

use crate::attempt::{self, Failure, Reply};
use crate::backend::Backend;
use crate::codec::{AttemptInfo, Codec};
use crate::handle::Origin;
use crate::job::Job;
use crate::pick;
use crate::pool::Pool;
use crate::relay::LiveStream;
use crate::resume::Obstacle;

/// Connections that may fail without an answer before a request is given up. Refused connections
/// have no such limit: each costs a millisecond, and a server that refused is not tried again.
pub const UNSENT_MAX: u32 = 4;

/// An answer that is passed on to the caller.
pub enum AcceptedAnswer {
    /// The head and body of a complete answer.
    Whole(Parts, Bytes),
    /// The head of a stream, and the stream that its body comes from.
    Stream(Parts, Box<LiveStream>),
}

impl<C: Codec> Job<C> {
    /// Carries the request to an answer.
    ///
    /// # Errors
    /// A refusal. It says "not run" only if no backend server can have run the request.
    pub async fn answer(&mut self) -> Result<AcceptedAnswer, Refusal> {
        // A request that another host passed on is counted there, and so are its repeats.
        if self.origin == Origin::Caller {
            self.window(|window, allowance| window.record_request(allowance, clock::steady()));
            self.count_for_hedges();
            self.choose_first_model();
        }
        loop {
            self.enter().await?;
            match carry(self).await {
                Err(_) if self.takes_place_again() => {}
                answer => return answer,
            }
        }
    }

    /// Checks that another attempt is allowed, and takes the repeat that it costs if the request
    /// was sent before.
    ///
    /// # Errors
    /// What stands against another attempt.
    pub fn claim_attempt(&self) -> Result<(), Obstacle> {
        let attempts = &self.attempts;
        let attempt = Attempt {
            may_repeat: self.route().kind.may_repeat(),
            first_byte_written: attempts.may_have_run,
            answer_begun: false,
            left_ms: u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX),
            expected_ms: 1,
        };
        match () {
            () if self.time_left().is_zero() || self.is_rejected_late() => Err(Obstacle::Late),
            () if !retry::may_retry_elsewhere(&attempt) => Err(Obstacle::Kind),
            () if attempts.sent >= self.attempts_max => Err(Obstacle::Attempts),
            () if attempts.unsent >= UNSENT_MAX && !self.has_host() => Err(Obstacle::Connections),
            () if attempts.sent == 0 || attempts.is_paid.swap(false, Ordering::Relaxed) => Ok(()),
            () if self.take_repeat() => Ok(()),
            () => Err(Obstacle::Repeats),
        }
    }

    /// Takes one of the host's repeats, if this request may have one.
    pub fn take_repeat(&self) -> bool {
        let streams = if self.attempts.has_stream_begun { 0 } else { self.streams_in_flight() };
        self.window(|window, allowance| window.take_reserving(streams, allowance, clock::steady()))
    }

    /// Streams in flight that may need one of the repeats left for this request's service; 0 for a
    /// plain service.
    fn streams_in_flight(&self) -> usize {
        if self.route().kind.is_stream() { self.state.relays.len() } else { 0 }
    }

    /// Takes a repeat to get a better answer. The next attempt then needs no further one.
    pub fn take_spare_repeat(&self) -> bool {
        let streams = self.streams_in_flight();
        let taken =
            self.window(|window, allowance| window.take_extra(streams, allowance, clock::steady()));
        self.attempts.is_paid.fetch_or(taken, Ordering::Relaxed);
        taken
    }

    /// Whether a repeat to get a better answer is left.
    pub fn has_spare_repeat(&self) -> bool {
        let streams = self.streams_in_flight();
        self.window(|window, allowance| {
            window.would_take_extra(streams, allowance, clock::steady())
        })
    }

    /// Chooses where the next attempt goes: to a backend server, or through another host if no
    /// server can be reached.
    pub fn next_destination(&mut self) -> Option<Arc<Backend>> {
        self.attempts.fetch = None;
        self.attempts.continue_from = None;
        match self.prefers_detour() {
            true => self.next_host().or_else(|| self.next_backend()),
            false => self.next_backend().or_else(|| self.next_host()),
        }
    }

    /// Chooses the backend server for the next attempt.
    pub fn next_backend(&mut self) -> Option<Arc<Backend>> {
        let snapshot = self.state.snapshot.load_full();
        let pool = snapshot.pools.get(&self.service)?;
        let now = clock::steady();
        let version = self.version(pool, now);
        let choose = |version| pick::choose(self, pool, version);
        let chosen = pool.versions_to_try(version, now).find_map(choose);
        let pick::Choice { backend, fetch } = chosen?;
        self.attempts.version = Some(backend.version.clone());
        self.attempts.fetch = fetch;
        Some(backend)
    }

    /// The version that the next attempt is meant for. A stream and a session stay on theirs while
    /// it has another server.
    #[must_use]
    pub fn version<'a>(&'a self, pool: &'a Pool, now: Millis) -> &'a Name {
        let current = self.attempts.version.as_ref();
        let current = current.filter(|version| pool.stays_on(version, now));
        current.unwrap_or_else(|| pool.version(self.subject(), now))
    }

    /// Sends the request to a backend server or another host, and waits for the head of its answer.
    ///
    /// # Errors
    /// See [`attempt::send`] and [`Job::forward`].
    pub async fn attempt_at(
        &mut self,
        backend: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        if let Some(run) = &self.run {
            run.record_attempt(backend);
        }
        self.attempts.has_begun = true;
        self.attempts.is_answering = false;
        self.attempts.answer_began_at = None;
        self.attempts.hedge.answered_by = None;
        // The previous attempt has ended, and its backup counts no longer.
        self.attempts.backup = None;
        let reply = match backend.is_host {
            true => self.forward(backend, last_event).await,
            false if self.may_race(last_event) => return self.attempt_hedged(backend).await,
            false => {
                self.choose_backup(backend);
                self.send(backend, last_event).await
            }
        };
        if matches!(reply, Ok(_) | Err(Failure::Lost(_))) {
            self.record_backup();
        }
        self.count_attempt(backend, &reply);
        reply
    }

    /// Records how an attempt went.
    pub fn count_attempt(&mut self, backend: &Arc<Backend>, reply: &Result<Reply, Failure>) {
        self.attempts.is_answering = reply.is_ok();
        if let Ok(reply) = reply {
            self.attempts.expected_ms = reply.expected_ms as u64;
            self.attempts.head_ms = reply.head_ms as u64;
            if let Some(slot) = self.attempts.slot.as_mut().filter(|_| !backend.is_host) {
                slot.record_answer(reply.sent_at);
            }
        }
        // Attempts through another host are counted with that host's answer.
        let was_sent = !reply.as_ref().is_err_and(|failure| failure.is_unsent());
        if was_sent && !backend.is_host {
            // A run that continues from a copy is the same run.
            self.attempts.sent += u32::from(self.attempts.continue_from.is_none());
            self.attempts.backend = Some(backend.id.clone());
        }
    }

    /// Counts an attempt that was or may have been sent to a backend server.
    pub fn count_sent(&mut self, backend: &Backend) {
        self.attempts.sent += 1;
        self.attempts.backend = Some(backend.id.clone());
    }

    /// Sends the request to a backend server, and waits for the head of its answer.
    ///
    /// # Errors
    /// See [`attempt::send`].
    pub async fn send(
        &self,
        backend: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        let attempt_info = AttemptInfo {
            backend: &backend.id,
            account: self.account.as_ref(),
            left_ms: u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX),
            model: self.model(),
            last_event,
            priority: self.engine_priority(),
            fetch_from: self.attempts.fetch.as_ref().map(|fetch| fetch.source.server.address),
            backup_at: self.attempts.backup.as_ref().map(|kept| kept.target().server.address),
            continue_from: self.attempts.continue_from.as_ref(),
        };
        attempt::send(self, backend, &attempt_info).await
    }

    /// The request's rank among those that wait for an engine. 0 is served first; `None` for plain
    /// services.
    #[must_use]
    pub fn engine_priority(&self) -> Option<u8> {
        let is_engine = !self.info.parts.is_empty();
        let tokens = match self.attempts.continue_from {
            Some(_) => 0.0,
            None => f64::from(self.info.prompt_tokens),
        };
        let request = precedence::Request {
            read_ms: tokens / self.tokens_per_ms(self.attempts.model),
            priority: self.priority,
            is_repeat: self.attempts.sent > 0,
            is_resumed: self.info.last_event.is_some(),
        };
        is_engine.then(|| precedence::rank(&request))
    }
}

impl<C: Codec> carry::Request for Job<C> {
    type Server = Arc<Backend>;
    type Answer = AcceptedAnswer;
    type Failure = Failure;

    fn choose(&mut self) -> Option<Arc<Backend>> {
        let chosen = self.next_destination();
        self.attempts.found_no_server = chosen.is_none();
        chosen
    }

    async fn attempt(&mut self, backend: &Arc<Backend>) -> Step<AcceptedAnswer, Failure> {
        if let Err(refusal) = self.permit(backend).await {
            return Step::Refused(refusal);
        }
        let reply = match self.attempt_at(backend, self.info.last_event).await {
            Ok(reply) => reply,
            Err(failure) => return Step::Failed(failure),
        };
        if backend.is_host && !reply.info.is_signed {
            return Step::Refused(self.refused_elsewhere(&reply));
        }
        match self.judge(reply).await {
            Ok(Some(accepted)) => Step::Answered(accepted),
            Ok(None) => Step::Dropped,
            Err(failure) => Step::Failed(failure),
        }
    }

    fn record_failure(&mut self, backend: &Arc<Backend>, failure: Failure) {
        let answered_by = self.attempts.hedge.answered_by.take();
        self.blame(answered_by.as_ref().unwrap_or(backend), failure);
    }

    fn may_retry(&mut self) -> bool {
        self.claim_attempt().is_ok()
    }

    /// Returns what remains if no attempt succeeded: a backend server's own error answer, or a
    /// refusal.
    fn give_up(&mut self) -> Result<AcceptedAnswer, Refusal> {
        if let Some((head, body)) = self.attempts.failure_answer.take() {
            return Ok(AcceptedAnswer::Whole(head, body));
        }
        match self.attempts.host_refusal.take() {
            Some(refusal) if !self.attempts.may_have_run => Err(refusal),
            _ => Err(self.refusal()),
        }
    }
}
