//! Holds back requests that crash the servers that run them, by themselves or by a part of their
//! prompts. See [`policy::poison`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use entry::clock;
use entry::connection::Cause;
use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{Answer, Attempt, Digest, Kind, Polls, Registry, Suspect, Verdict};
use tokio::sync::{Notify, mpsc, oneshot};
use wire::refusal::{Code, Refusal};

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::reach::Reachability;

/// An answer that has been coming for this long no longer counts as just begun.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// The longest wait for permission to try a suspect request. The store answers in a few
/// milliseconds.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// When a caller may come back if another host is trying its request.
const TRIAL_RETRY_MS: u64 = 2_000;

/// A message about a trial to the task that talks to the store.
pub enum TrialMessage {
    /// Asks whether this host may try a request.
    Request(TrialRequest),
    /// Reports that a server has answered the request on trial. Hosts that ask for a trial must
    /// learn of it.
    Answered(Digest),
}

/// Asks for permission to try a request under which servers have ended, or one with a part under
/// which they have ended. Only one of all hosts is permitted to.
pub struct TrialRequest {
    /// The digest of the request or part.
    pub digest: Digest,
    /// Whether the digest is that of a request or of a part.
    pub kind: Kind,
    /// How long no other host may try the request if this one may, in milliseconds.
    pub alone_ms: u64,
    /// The number of servers known to have ended under the digest.
    pub servers: u32,
    /// Receives whether this host may try the request.
    pub granted: oneshot::Sender<bool>,
}

/// What this host knows of requests that were lost with their servers.
pub struct Guard {
    book: Mutex<Registry>,
    polls: Mutex<Polls>,
    /// Whether nothing speaks against any request, so that requests need no look-up in the book.
    is_empty: AtomicBool,
    /// Notified when the other hosts must be told of changes.
    pub changed: Notify,
    /// Whether this host reaches any backend server. A server out of reach has not ended.
    pub reach: Arc<Reachability>,
    trials: mpsc::Sender<TrialMessage>,
}

impl Guard {
    /// A guard that knows of no lost requests.
    #[must_use]
    pub fn new(trials: mpsc::Sender<TrialMessage>) -> Self {
        Self {
            book: Mutex::default(),
            polls: Mutex::default(),
            is_empty: AtomicBool::new(true),
            changed: Notify::new(),
            reach: Arc::default(),
            trials,
        }
    }

    /// Runs a function on the book of lost requests.
    pub fn with_book<T>(&self, use_it: impl FnOnce(&mut Registry) -> T) -> T {
        let mut book = self.lock();
        let used = use_it(&mut book);
        self.is_empty.store(book.is_empty(), Ordering::Relaxed);
        used
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a function on the schedule by which the store is read for what other hosts know.
    pub fn with_polls<T>(&self, use_them: impl FnOnce(&mut Polls) -> T) -> T {
        use_them(&mut self.polls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that a server has ended, here or elsewhere. Other hosts may know more about it.
    pub fn alarm(&self) {
        self.with_polls(|polls| polls.schedule(clock::steady()));
        self.changed.notify_one();
    }

    /// Whether something must be sent or read, now or soon.
    pub fn is_awake(&self) -> bool {
        self.with_polls(|polls| polls.is_scheduled()) || self.lock().has_unsent()
    }

    /// Adds what another host or the store knows of a request, with times of this host's clock.
    /// Returns whether it is news.
    pub fn learn(&self, heard: &Suspect, source: Source) -> bool {
        let now = clock::steady();
        let (is_news, verdict) = self.with_book(|book| {
            let is_news = book.learn(heard, source, now);
            (is_news, book.verdict(heard.digest, now))
        });
        if is_news {
            self.with_polls(|polls| polls.restart(now));
            self.changed.notify_one();
        }
        // Every host learns of all victims. Only what can hold a request back is logged.
        if is_news && verdict != Verdict::Run {
            log::info!(target: "route", digest:% = heard.digest, verdict:? = verdict,
                from:? = source; "lost request heard of");
        }
        is_news
    }

    fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Relaxed)
    }

    /// Records that a server has ended, and the requests that were lost with it.
    pub fn record_ended(&self, server: &Name) {
        let now = clock::steady();
        let lost = self.with_book(|book| {
            let requests = book.record_server_end(server, now).into_iter();
            let count =
                |digest| book.suspect(digest).map_or(0, |suspect| suspect.server_count(now));
            let counted = requests.map(|request| {
                let parts = request.parts.iter().map(|part| (*part, count(*part)));
                let worst = parts.max_by_key(|(_, servers)| *servers);
                (request.request, count(request.request), worst.filter(|part| part.1 > 0))
            });
            counted.collect::<Vec<_>>()
        });
        for (digest, servers, part) in &lost {
            metrics::counter!("gateway_requests_lost_with_server_total").increment(1);
            let (part, part_servers) = part.unzip();
            log::info!(target: "route", digest:% = digest, backend:% = server, servers,
                prompt_part:% = part.map(|part| part.to_string()).unwrap_or_default(),
                part_servers = part_servers.unwrap_or_default();
                "request lost with its server");
        }
        if !lost.is_empty() {
            self.with_polls(|polls| polls.restart(now));
            self.changed.notify_one();
        }
    }

    async fn request_trial(
        &self,
        (digest, kind): (Digest, Kind),
        servers: u32,
        alone_ms: u64,
    ) -> bool {
        let (granted, answer) = oneshot::channel();
        let request = TrialRequest { digest, kind, servers, alone_ms, granted };
        if self.trials.try_send(TrialMessage::Request(request)).is_err() {
            return false;
        }
        matches!(tokio::time::timeout(TRIAL_TIMEOUT, answer).await, Ok(Ok(true)))
    }
}

impl<C: Codec> Job<C> {
    /// Checks that the request may be sent to one more server, or to another host.
    ///
    /// # Errors
    /// The request is held back, because it was lost with one server after another, or this host is
    /// stopping and has no time for it.
    pub async fn permit(&mut self, place: &Backend) -> Result<(), Refusal> {
        self.check_grace()?;
        if let Some(backend) = self.attempts.unprobed_server.take() {
            // The outcome of the last attempt decides about the next one.
            self.state.probe(&backend).await;
        }
        if self.state.poison.is_empty() {
            return Ok(());
        }
        let now = clock::steady();
        let judged = self.state.poison.with_book(|book| book.judge(self.fingerprint(), now));
        let Some(cause) = judged.cause else { return Ok(()) };
        match judged.verdict {
            Verdict::Run => Ok(()),
            Verdict::Hold(ms) => Err(self.hold(cause, ms)),
            // The other host asks for permission itself. Only one of all hosts receives it.
            Verdict::Trial { .. } if place.is_host => Ok(()),
            // The permission is still valid. The request has not been sent yet, or a small model's
            // answer was dropped: no server has ended since.
            Verdict::Trial { servers, .. }
                if self.attempts.granted_trial == Some((cause.0, servers)) =>
            {
                Ok(())
            }
            Verdict::Trial { servers, alone_ms }
                if self.state.poison.request_trial(cause, servers, alone_ms).await =>
            {
                self.attempts.granted_trial = Some((cause.0, servers));
                log::info!(target: "route", request:% = self.info.id, digest:% = cause.0,
                    kind:? = cause.1, servers; "trial of a suspect request");
                Ok(())
            }
            Verdict::Trial { .. } => Err(self.hold(cause, TRIAL_RETRY_MS)),
        }
    }

    /// Whether servers may have ended because of the request or a part of its prompt.
    pub fn is_suspect(&self) -> bool {
        let judge = || {
            let now = clock::steady();
            self.state.poison.with_book(|book| book.judge(self.fingerprint(), now))
        };
        !self.state.poison.is_empty() && judge().cause.is_some()
    }

    fn hold(&self, (digest, kind): (Digest, Kind), ms: u64) -> Refusal {
        let label = match kind {
            Kind::Request => "request",
            Kind::Part => "part",
        };
        metrics::counter!("gateway_requests_held_total", "cause" => label).increment(1);
        let crashes = self.state.poison.with_book(|book| {
            let suspect = book.suspect(digest);
            suspect.map(|suspect| suspect.crashes.clone()).unwrap_or_default()
        });
        let servers: Vec<&str> = crashes.iter().map(|crash| &*crash.server).collect();
        log::warn!(target: "route", request:% = self.info.id, digest:% = digest, kind:? = kind,
            prompt_part:% = self.part_id(digest).unwrap_or_default(), hold_ms = ms,
            servers:% = servers.join(" "), sent = self.attempts.sent;
            "request held, servers ended while running it");
        const HELD_REQUEST: &str = "held back, servers ended while running this request";
        const HELD_PART: &str =
            "held back, servers ended while running a prompt with one of its parts";
        let why = if kind == Kind::Part { HELD_PART } else { HELD_REQUEST };
        match self.attempts.may_have_run {
            true => Refusal::may_have_run(Code::BackendFailed, why),
            false => Refusal::not_run(Code::Held, why).retry_after(ms),
        }
    }

    /// The id of the prompt part that a digest stands for, as callers write it.
    fn part_id(&self, digest: Digest) -> Option<String> {
        let mut parts = self.fingerprint().parts.iter();
        let index = parts.position(|part| *part == digest)?;
        self.info.parts.get(index).map(|part| format!("{:x}", part.id))
    }

    /// Records that an attempt broke off. What that says of the request is known once its server
    /// has been probed.
    pub fn record_broken(&mut self, backend: &Arc<Backend>, cause: Cause) {
        if !matches!(cause, Cause::Broken | Cause::Truncated | Cause::Silent) {
            return;
        }
        let run = self.run_at(backend);
        self.state.poison.with_book(|book| book.record_loss(run, clock::steady()));
        if cause != Cause::Silent {
            self.attempts.unprobed_server = Some(Arc::clone(backend));
            self.state.probe_soon(backend);
        }
    }

    /// Records that a server ended under the request, which another host had sent there.
    pub fn record_crash(&self, backend: &Backend) {
        let run = self.run_at(backend);
        self.state.poison.with_book(|book| book.record_loss(run, clock::steady()));
        self.state.poison.record_ended(&backend.id);
    }

    /// Records that a run was abandoned while its server was working on it. The server may still
    /// crash because of it.
    pub fn record_abandoned(&self, backend: &Backend) {
        if backend.is_host {
            return;
        }
        let run = self.run_at(backend);
        self.state.poison.with_book(|book| book.record_abandoned(run, clock::steady()));
    }

    /// Records that a server has answered the request.
    pub fn record_answered(&self, answer: Answer) {
        let now = clock::steady();
        self.state.poison.with_book(|book| book.record_answer(self.fingerprint(), answer, now));
        let acquitted = self.attempts.granted_trial.filter(|_| answer == Answer::Whole);
        if let Some((digest, _)) = acquitted {
            // If the queue is full, the other hosts find out by trials of their own.
            let _ = self.state.poison.trials.try_send(TrialMessage::Answered(digest));
        }
    }

    fn run_at(&self, backend: &Backend) -> Attempt {
        let is_settled = |begun: Instant| begun.elapsed() >= SETTLED_AFTER;
        Attempt {
            request: self.fingerprint().clone(),
            server: backend.id.clone(),
            born: backend.born,
            is_early: !self.attempts.answer_began_at.is_some_and(is_settled),
        }
    }
}
