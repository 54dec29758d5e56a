//! Holds back requests that end the servers that run them; see [`policy::poison`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use entry::clock;
use entry::connection::Cause;
use policy::name::Name;
use policy::poison::book::Source;
use policy::poison::{Book, Digest, Polls, Run, Suspect, Verdict};
use tokio::sync::{Notify, mpsc, oneshot};
use wire::refusal::{Code, Refusal};

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::reach::Reach;

/// An answer that has been coming for this long was not just begun.
const SETTLED: Duration = Duration::from_secs(1);
/// Longest wait for leave to try such a request. The store answers in a few milliseconds.
const TRIAL_WAIT: Duration = Duration::from_millis(500);
/// When a caller may come back whose request another host is trying, in milliseconds.
const TRIED_MS: u64 = 2_000;

/// Asks for leave to try a request that servers ended under: of all hosts one may.
pub struct Ask {
    /// The request.
    pub digest: Digest,
    /// Servers known to have ended under it.
    pub servers: u32,
    /// Whether it may be tried here.
    pub granted: oneshot::Sender<bool>,
}

/// What is known of requests lost with their servers, for all requests of this host.
pub struct Guard {
    book: Mutex<Book>,
    polls: Mutex<Polls>,
    /// Nothing speaks against any request, so none needs to be looked up.
    is_calm: AtomicBool,
    /// Wakes whoever tells the other hosts.
    pub changed: Notify,
    /// Whether this host reaches any server: one that it can't reach has not ended.
    pub reach: Arc<Reach>,
    trials: mpsc::Sender<Ask>,
}

impl Guard {
    /// Nothing known yet.
    #[must_use]
    pub fn new(trials: mpsc::Sender<Ask>) -> Self {
        Self {
            book: Mutex::default(),
            polls: Mutex::default(),
            is_calm: AtomicBool::new(true),
            changed: Notify::new(),
            reach: Arc::default(),
            trials,
        }
    }

    /// Uses what is known.
    pub fn with<T>(&self, use_it: impl FnOnce(&mut Book) -> T) -> T {
        let mut book = self.lock();
        let used = use_it(&mut book);
        self.is_calm.store(book.is_empty(), Ordering::Relaxed);
        used
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Uses the times at which the store is read for what others know.
    pub fn polls<T>(&self, use_them: impl FnOnce(&mut Polls) -> T) -> T {
        use_them(&mut self.polls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A server ended, here or elsewhere: others may know more.
    pub fn alarm(&self) {
        self.polls(|polls| polls.alarm(clock::steady()));
        self.changed.notify_one();
    }

    /// Whether something is to be told or read, now or soon.
    pub fn is_awake(&self) -> bool {
        self.polls(|polls| polls.is_awake()) || self.lock().has_unsent()
    }

    /// Something was learnt of a request, with times of this host's clock; whether it is news.
    pub fn learn(&self, heard: &Suspect, source: Source) -> bool {
        let now = clock::steady();
        let (is_news, verdict) = self.with(|book| {
            let is_news = book.learn(heard, source, now);
            (is_news, book.verdict(heard.digest, now))
        });
        if is_news {
            self.polls(|polls| polls.hurry(now));
            self.changed.notify_one();
        }
        // Of victims every host hears; what is decided by is told of.
        if is_news && verdict != Verdict::Run {
            log::info!(target: "route", digest:% = heard.digest, verdict:? = verdict,
                from:? = source; "lost request heard of");
        }
        is_news
    }

    fn is_calm(&self) -> bool {
        self.is_calm.load(Ordering::Relaxed)
    }

    /// A server has ended.
    pub fn ended(&self, server: &Name) {
        let now = clock::steady();
        let lost = self.with(|book| {
            let digests = book.ended(server, now).into_iter();
            let count = |digest| book.suspect(digest).map_or(0, |suspect| suspect.servers(now));
            digests.map(|digest| (digest, count(digest))).collect::<Vec<_>>()
        });
        for (digest, servers) in &lost {
            metrics::counter!("gateway_requests_lost_with_server_total").increment(1);
            log::info!(target: "route", digest:% = digest, backend:% = server, servers;
                "request lost with its server");
        }
        if !lost.is_empty() {
            self.polls(|polls| polls.hurry(now));
            self.changed.notify_one();
        }
    }

    async fn may_try(&self, digest: Digest, servers: u32) -> bool {
        let (granted, answer) = oneshot::channel();
        if self.trials.try_send(Ask { digest, servers, granted }).is_err() {
            return false;
        }
        matches!(tokio::time::timeout(TRIAL_WAIT, answer).await, Ok(Ok(true)))
    }
}

impl<C: Codec> Job<C> {
    /// Whether the request may be sent to one more server, or by way of another host.
    ///
    /// # Errors
    /// A refusal: it is held back, since it was lost with server after server.
    pub async fn permit(&mut self, place: &Backend) -> Result<(), Refusal> {
        if let Some(backend) = self.tries.broke_at.take() {
            // What the last try came to decides about the next one.
            self.state.look(&backend).await;
        }
        if self.state.poison.is_calm() {
            return Ok(());
        }
        let now = clock::steady();
        let digest = self.digest();
        let verdict = self.state.poison.with(|book| book.verdict(digest, now));
        match verdict {
            Verdict::Run => Ok(()),
            Verdict::Hold(ms) => Err(self.held(ms)),
            // The other host asks for leave itself: of all hosts one may have it.
            Verdict::Trial { .. } if place.is_host => Ok(()),
            // It was not sent yet, or a small model's answer was dropped: no server has ended since.
            Verdict::Trial { servers } if self.tries.trial == Some(servers) => Ok(()),
            Verdict::Trial { servers } if self.state.poison.may_try(digest, servers).await => {
                self.tries.trial = Some(servers);
                log::info!(target: "route", request:% = self.ask.id, digest:% = digest, servers;
                    "suspect request tried");
                Ok(())
            }
            Verdict::Trial { .. } => Err(self.held(TRIED_MS)),
        }
    }

    fn held(&self, ms: u64) -> Refusal {
        let digest = self.digest();
        metrics::counter!("gateway_requests_held_total").increment(1);
        let crashes = self.state.poison.with(|book| {
            let suspect = book.suspect(digest);
            suspect.map(|suspect| suspect.crashes.clone()).unwrap_or_default()
        });
        let servers: Vec<&str> = crashes.iter().map(|crash| &*crash.server).collect();
        log::warn!(target: "route", request:% = self.ask.id, digest:% = digest, hold_ms = ms,
            servers:% = servers.join(" "), sent = self.tries.sent;
            "request held, servers ended under it");
        const WHY: &str = "held back, servers ended when they ran this request";
        match self.tries.may_have_run {
            true => Refusal::may_have_run(Code::BackendFailed, WHY),
            false => Refusal::not_run(Code::Held, WHY).retry_after(ms),
        }
    }

    /// A try broke off; what it says of the request is known when its server was looked at.
    pub fn note_broken(&mut self, backend: &Arc<Backend>, cause: Cause) {
        if !matches!(cause, Cause::Broken | Cause::Truncated | Cause::Silent) {
            return;
        }
        let run = self.run_at(backend);
        self.state.poison.with(|book| book.lost(run, clock::steady()));
        if cause != Cause::Silent {
            self.tries.broke_at = Some(Arc::clone(backend));
            self.state.look_soon(backend);
        }
    }

    /// A run is given up while its server works on it. The server may end of it all the same.
    pub fn note_given_up(&self, backend: &Backend) {
        if backend.is_host {
            return;
        }
        let run = self.run_at(backend);
        self.state.poison.with(|book| book.given_up(run, clock::steady()));
    }

    /// A server has answered the request.
    pub fn note_answered(&self) {
        let digest = self.digest();
        self.state.poison.with(|book| book.answered(digest, clock::steady()));
    }

    fn run_at(&self, backend: &Backend) -> Run {
        let is_settled = |begun: Instant| begun.elapsed() >= SETTLED;
        let is_early = !self.tries.head_at.is_some_and(is_settled);
        Run { digest: self.digest(), server: backend.id.clone(), is_early }
    }
}
