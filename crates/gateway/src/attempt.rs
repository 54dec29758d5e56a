//! One attempt of a request at one backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use entry::clock;
use entry::connection::{Cause, Connection, Failure as Sent};
use entry::server::Lease;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response::Parts;
use policy::backlog::Prompt;
use policy::hedge::LoadClass;
use policy::time::Millis;

use crate::backend::{Backend, Prefill};
use crate::codec::{AnswerInfo, AttemptInfo, Codec};
use crate::evidence::Watched;
use crate::hedge::Collected;
use crate::job::Job;
use crate::recall::Forwarding;

/// Longest wait for a new connection. Within a region a connection opens in a few milliseconds. If
/// it takes longer than this, the server is unreachable or its queue of new connections is full,
/// and the kernel tries again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// One connection attempt may use up the time left divided by this number.
const CONNECT_DIVISOR: u32 = 4;
/// How long an idle connection may be reused. Older ones may have gone silent, and backend servers
/// close theirs after some seconds.
const IDLE_REUSE_MAX: Duration = Duration::from_secs(3);

/// The least time to read a prompt for it to be announced to the other hosts: a third of the whole
/// wait of callers with short prompts.
const ANNOUNCED_READ_MS: f64 = 60.0;
/// Most shared parts of a prompt that are announced, so that the announcement fits a datagram.
const ANNOUNCED_PARTS_MAX: usize = 16;

/// The head of a backend server's answer, and the connection that its body comes from.
pub struct Reply {
    /// Status and headers of the answer.
    pub head: Parts,
    /// What the headers say.
    pub info: AnswerInfo,
    /// The body, not yet read unless it is `collected`.
    pub body: Incoming,
    /// The whole body, if the request could be hedged.
    pub collected: Option<Collected>,
    /// How busy the backend server was when the request was sent; `None` if no requests are hedged.
    pub load_class: Option<LoadClass>,
    /// The connection. Dropping it closes it, which stops the backend server's work.
    pub connection: Connection,
    /// Counts the request as in flight at the backend server.
    pub lease: Lease,
    /// The backend server or host that answered.
    pub backend: Arc<Backend>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Time from sending the request to the head of the answer, in milliseconds.
    pub head_ms: f64,
    /// The expected time to the head of the answer, in milliseconds.
    pub expected_ms: f64,
    /// The request at the other host that it went through, if any. Dropped before the answer is
    /// complete, it recalls the request.
    pub forwarding: Option<Forwarding>,
    /// Counts the request for a roll-out until its answer is judged.
    pub watched: Option<Watched>,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request was written.
    Unsent(Cause),
    /// No byte of the request was written, because the backend server has said in the meantime that
    /// it takes no requests.
    Unwanted,
    /// The backend server says that it did not run the request.
    NotRun {
        /// Whether the server says that the request was for another server, or the host that it
        /// takes no requests.
        misdirected: bool,
    },
    /// The request may have run.
    Lost(Cause),
}

impl Failure {
    /// Whether no byte of the request was written.
    #[must_use]
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Unwanted)
    }
}

/// Sends the request and waits for the head of its answer.
///
/// # Errors
/// The reason why there is no answer. The connection is closed by then.
pub async fn send<C: Codec>(
    job: &Job<C>,
    backend: &Arc<Backend>,
    attempt: &AttemptInfo<'_>,
) -> Result<Reply, Failure> {
    let mut connection = open(job, backend).await?;
    // The server was chosen before: since then the request has waited for permission, memory or
    // a connection, and the server may have left.
    if backend.is_closed(clock::steady()) && !takes_back(job, backend, attempt) {
        return Err(Failure::Unwanted);
    }
    let request = request(job, attempt).ok_or(Failure::Unsent(Cause::Broken))?;
    record_listing(job, backend);
    let model = job.model_hash();
    let rank = attempt.priority.unwrap_or_default();
    let estimate = backend.estimate(rank, clock::steady());
    let prefixes = &job.state.prefixes;
    let cached = prefixes.cached_tokens(backend, model, &job.info.parts, clock::steady());
    let fetch = job.attempts.fetch.as_ref();
    let (fetched, fetch_ms) = fetch.map_or((0.0, 0.0), |fetch| (fetch.tokens, fetch.ms));
    let tokens = match attempt.continue_from {
        // Only what the copy lacks is read, a few events at most.
        Some(_) => 0.0,
        None => (f64::from(job.info.prompt_tokens) - cached - fetched).max(0.0),
    };
    let rate = job.tokens_per_ms(job.attempts.model);
    let read_ms = tokens / rate * estimate.slowdown;
    let prompt = Prompt { rank, read_ms };
    let pending = backend.record_sent(prompt, clock::steady());
    prefixes.record_sent(backend, model, &job.info.parts, clock::steady());
    if read_ms >= ANNOUNCED_READ_MS {
        announce(job, backend, prompt);
    }
    let transfer = fetch.map(|fetch| fetch.source.open_transfer());
    let load_class = job.load_class(backend);
    let lease = Lease::new(Arc::clone(&backend.server));
    let (sent_at, sent) = (Instant::now(), clock::steady());
    let watched = job.watch(backend, sent);
    let answered = wait_for_head(job, backend, connection.send(request, job.time_left())).await;
    let (response, watched) = match answered {
        Ok(response) => (response, watched),
        Err(failure) => {
            job.end_watch(watched, failure);
            return Err(failure);
        }
    };
    if !connection.is_reused() {
        job.state.record_reached();
    }
    pending.begin(clock::steady());
    drop(transfer);
    let head_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let (head, body) = response.into_parts();
    let mut info = job.state.codec.answer_info(head.status, &head.headers);
    if attempt.continue_from.is_some() && info.not_run {
        // The engine has no copy of this request. That says nothing about other requests.
        info.statement.pause_ms = None;
    }
    backend.record_contact(clock::steady());
    // Another server may answer at the address of one that is gone. Its load and limits are its
    // own.
    if !info.misdirected {
        if let Some(load) = info.load {
            backend.record_load(load, clock::steady());
            job.state.announce_load(backend, load, clock::steady());
        }
        record_statement(job, backend, &info, sent);
    }
    if let Err(failure) = check_answer(job, &head, &info) {
        job.end_watch(watched, failure);
        return Err(failure);
    }
    let wait_ms = estimate.wait_ms.max(fetch_ms);
    let expected_ms = wait_ms + read_ms;
    job.record_fetch(head_ms, expected_ms, clock::steady());
    if job.is_timed(backend) {
        let (timing, now) = (job.timing_key(), clock::steady());
        job.state.timings.with(timing, |timing| timing.first.record(head_ms, now));
        job.state.speeds.with(job.speed_key(job.attempts.model), |speed| {
            speed.record(head_ms / estimate.slowdown, wait_ms, tokens);
        });
    }
    Ok(Reply {
        head,
        info,
        body,
        collected: None,
        load_class,
        connection,
        lease,
        backend: Arc::clone(backend),
        sent_at,
        head_ms,
        expected_ms,
        forwarding: None,
        watched,
    })
}

/// Whether a leaving engine takes the stream back that it has stopped and keeps.
fn takes_back<C: Codec>(job: &Job<C>, backend: &Backend, attempt: &AttemptInfo<'_>) -> bool {
    let is_kept_at = |kept_at: &Arc<Backend>| kept_at.start == backend.start;
    attempt.continue_from.is_some()
        && job.attempts.kept_at.as_ref().is_some_and(is_kept_at)
        && backend.may_take_back(job.state.leaving_ms.load(Ordering::Relaxed), clock::steady())
}

/// Records how old the list was by which the request is sent, and logs why it goes to a server that
/// is not listed as ready.
fn record_listing<C: Codec>(job: &Job<C>, backend: &Backend) {
    let now = clock::steady();
    let listed_at = Millis(job.state.listed_at.load(Ordering::Relaxed));
    let list_ms = now.since(listed_at);
    job.attempts.list_ms.store(list_ms, Ordering::Relaxed);
    let why = match () {
        () if backend.is_leaving() => "continues a stream from a copy there",
        () if backend.is_kept() => "the entry may have lapsed while the store was away",
        () => return,
    };
    metrics::counter!("gateway_sent_to_unlisted_total").increment(1);
    log::info!(target: "route", request:% = job.info.id, backend:% = backend.id, why, list_ms;
        "request sent to a server that is not listed as ready");
}

/// Announces a long prompt to the other hosts of the failure domain. A prompt for a server of
/// another one is announced only for the prefix cache index.
fn announce<C: Codec>(job: &Job<C>, backend: &Backend, prompt: Prompt) {
    let is_covered = job.state.prefixes.covers(backend);
    if !(backend.is_near || is_covered) {
        return;
    }
    let shared = if is_covered { job.info.shared_parts() } else { &[] };
    let prefill = Prefill {
        backend: backend.id.clone(),
        // Hosts of an earlier version do not know `is_far`, and a time of 0 changes nothing there.
        read_ms: if backend.is_near { prompt.read_ms as u32 } else { 0 },
        rank: prompt.rank,
        is_far: !backend.is_near,
        model: if is_covered { job.model_hash() } else { 0 },
        shared: shared.iter().take(ANNOUNCED_PARTS_MAX).copied().collect(),
    };
    // If the queue is full, the prompt is not announced. Announcements are only hints.
    let _ = job.state.outbox.prefills.try_send(prefill);
}

/// Records the limits that a backend server states of itself in an answer, and announces them to
/// the other hosts.
pub fn record_statement<C: Codec>(
    job: &Job<C>,
    backend: &Backend,
    info: &AnswerInfo,
    sent: Millis,
) {
    let now = clock::steady();
    if job
        .state
        .tolerances
        .with(&job.service, |tolerance| tolerance.record_answer(info.tolerance, sent, now))
    {
        log::info!(target: "route", service:% = job.service, backend:% = backend.id,
            rejected_per_second:? = info.tolerance;
            "servers state another tolerance for rejected requests");
    }
    for notice in backend.record_statement(&info.statement, sent, clock::steady()) {
        // If the queue is full, the other hosts learn of the limit with this host's next periodic
        // message.
        let _ = job.state.outbox.restrictions.try_send(notice);
    }
}

/// Waits for the head of an answer. Leaves the backend server if it is silent for too long and the
/// request can be answered otherwise.
pub async fn wait_for_head<C: Codec, T>(
    job: &Job<C>,
    backend: &Backend,
    answer: impl Future<Output = Result<T, Sent>>,
) -> Result<T, Failure> {
    let mut answer = std::pin::pin!(answer);
    let since = Instant::now();
    let mut wait = Some(Duration::ZERO);
    loop {
        let recheck = async {
            tokio::time::sleep(wait.unwrap_or_default()).await;
            job.head_wait(backend, since).await
        };
        tokio::select! {
            // An answer that has arrived counts, although the wait for it is over as well.
            biased;
            answered = answer.as_mut() => return answered.map_err(|failure| match failure {
                Sent { sent: true, .. } if job.time_left().is_zero() =>
                    Failure::Lost(Cause::Deadline),
                Sent { sent: true, cause } => Failure::Lost(cause),
                Sent { sent: false, cause } => Failure::Unsent(cause),
            }),
            still = recheck => match still {
                None if job.claim_leave(backend) => return Err(Failure::Lost(Cause::Silent)),
                // The request can't be sent elsewhere, so this answer is the only one that can
                // come.
                None => wait = Some(job.time_left()),
                still => wait = still,
            },
        }
    }
}

/// Opens a connection for the request, to a backend server or another host, or reuses an idle one.
///
/// # Errors
/// [`Failure::Unsent`].
pub async fn open<C: Codec>(job: &Job<C>, backend: &Backend) -> Result<Connection, Failure> {
    let reuse =
        job.route().kind == wire::routing::Kind::Idempotent && !job.attempts.needs_new_connection;
    let within = CONNECT_TIMEOUT.min(job.time_left() / CONNECT_DIVISOR);
    let since = Instant::now();
    let opened = backend.server.connect(reuse.then_some(IDLE_REUSE_MAX), within).await;
    match &opened {
        Ok(connection) if connection.is_reused() => {}
        Ok(_) => backend.record_opened(clock::steady()),
        Err(failure) => {
            log_unopened(job, backend, since, failure.cause);
            if !backend.is_host {
                job.state.reach.record_failure(backend);
            }
        }
    }
    opened.map_err(|failure| Failure::Unsent(failure.cause))
}

/// Logs what distinguishes the causes: a server that is gone, one whose queue of new connections is
/// full while it answers on others, and a host that stood still (far over the timeout).
fn log_unopened<C: Codec>(job: &Job<C>, backend: &Backend, since: Instant, cause: Cause) {
    log::info!(target: "route", request:% = job.info.id, backend:% = backend.id, cause:? = cause,
        took_ms = since.elapsed().as_millis() as u64,
        heard_ms = clock::steady().since(backend.last_contact()),
        in_flight = backend.server.in_flight.load(Ordering::Relaxed),
        host_in_flight = job.state.in_flight.load(Ordering::Relaxed); "no connection opened");
}

fn request<C: Codec>(
    job: &Job<C>,
    attempt: &AttemptInfo<'_>,
) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.path.clone();
    *request.headers_mut() = job.state.codec.backend_headers(&job.headers, attempt);
    request.headers_mut().insert(HOST, job.headers.get(HOST)?.clone());
    Some(request)
}

/// Checks that an answer belongs to its request and may be passed on.
fn check_answer<C: Codec>(job: &Job<C>, head: &Parts, info: &AnswerInfo) -> Result<(), Failure> {
    let status = head.status;
    match () {
        () if info.not_run || info.misdirected => {
            Err(Failure::NotRun { misdirected: info.misdirected })
        }
        // Something on the way has mixed up answers. Further answers on this connection are suspect
        // as well, so it is closed.
        () if info.id.as_ref().is_some_and(|id| *id != job.info.id) => {
            Err(Failure::Lost(Cause::Crossed))
        }
        // Without a signature or id no server vouches for the answer, and an encoded body is not
        // the one that was signed.
        () if !info.is_signed || info.id.is_none() || info.is_encoded => {
            Err(Failure::Lost(Cause::Failed(status.as_u16())))
        }
        () => Ok(()),
    }
}
