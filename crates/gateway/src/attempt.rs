//! One attempt of a request at one backend server.

use std::sync::Arc;
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
use policy::time::Millis;

use crate::backend::{Backend, Prefill};
use crate::codec::{AnswerInfo, AttemptInfo, Codec};
use crate::job::Job;
use crate::recall::Forwarding;

/// Longest wait for a new connection. Within a region a connection opens in a few milliseconds. If
/// it takes longer than this, the server is unreachable or its queue of new connections is full,
/// and the kernel tries again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// One connection attempt may use up the time left divided by this number.
const CONNECT_DIVISOR: u32 = 4;
/// How long an idle connection may be reused. Older ones may have gone silent, and backend servers
/// close theirs after some seconds.
const IDLE_REUSE_MAX: Duration = Duration::from_secs(3);

/// The least time to read a prompt for it to be announced to the other hosts: a third of the whole
/// wait of callers with short prompts.
const ANNOUNCED_READ_MS: f64 = 60.0;

/// The head of a backend server's answer, and the connection that its body comes from.
pub struct Reply {
    /// Status and headers of the answer.
    pub head: Parts,
    /// What the headers say.
    pub info: AnswerInfo,
    /// The body, not yet read.
    pub body: Incoming,
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
    if backend.is_closed(clock::steady()) {
        return Err(Failure::Unwanted);
    }
    let request = request(job, attempt).ok_or(Failure::Unsent(Cause::Broken))?;
    let model = job.model_hash();
    let rank = attempt.priority.unwrap_or_default();
    let estimate = backend.estimate(model, &job.info.parts, rank, clock::steady());
    let tokens = (f64::from(job.info.prompt_tokens) - estimate.cached_tokens).max(0.0);
    let rate = job.tokens_per_ms(job.attempts.model);
    let read_ms = tokens / rate * estimate.slowdown;
    let prompt = Prompt { rank, read_ms };
    let pending = backend.record_sent(model, &job.info.parts, prompt, clock::steady());
    if read_ms >= ANNOUNCED_READ_MS && backend.is_near {
        let prefill = Prefill { backend: backend.id.clone(), read_ms: read_ms as u32, rank };
        // If the queue is full, the prompt is not announced. Announcements are only hints.
        let _ = job.state.outbox.prefills.try_send(prefill);
    }
    let lease = Lease::new(Arc::clone(&backend.server));
    let (sent_at, sent) = (Instant::now(), clock::steady());
    let response = wait_for_head(job, backend, connection.send(request, job.time_left())).await?;
    if !connection.is_reused() {
        job.state.record_reached();
    }
    pending.begin(clock::steady());
    let head_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let (head, body) = response.into_parts();
    let info = job.state.codec.answer_info(head.status, &head.headers);
    backend.record_contact(clock::steady());
    // Another server may answer at the address of one that is gone. Its load and limits are its
    // own.
    if !info.misdirected {
        if let Some(load) = info.load {
            backend.record_load(load, clock::steady());
        }
        record_statement(job, backend, &info, sent);
    }
    check_answer(job, &head, &info)?;
    if job.is_timed(backend) {
        let (timing, now) = (job.timing_key(), clock::steady());
        job.state.timings.with(timing, |timing| timing.first.record(head_ms, now));
        job.state.speeds.with(job.speed_key(job.attempts.model), |speed| {
            speed.record(head_ms / estimate.slowdown, estimate.wait_ms, tokens);
        });
    }
    Ok(Reply {
        head,
        info,
        body,
        connection,
        lease,
        backend: Arc::clone(backend),
        sent_at,
        head_ms,
        expected_ms: estimate.wait_ms + read_ms,
        forwarding: None,
    })
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
    let opened = backend.server.connect(reuse.then_some(IDLE_REUSE_MAX), within).await;
    if opened.is_err() && !backend.is_host {
        job.state.reach.record_failure(backend);
    }
    opened.map_err(|failure| Failure::Unsent(failure.cause))
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
