//! One try of a request at one backend server.

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

/// Longest wait for a new connection. Within a region one opens in a few milliseconds; past this
/// the server is unreachable or its queue of new connections full, and the kernel tries again only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of the time left that one connection attempt may use.
const CONNECT_DIVISOR: u32 = 4;
/// An idle connection is used again within this time. Longer ones may have gone silent, and
/// backend servers close theirs after some seconds.
const IDLE_REUSE_MAX: Duration = Duration::from_secs(3);

/// Prompts that take this long to read, in milliseconds, are announced to the other hosts: a third
/// of what callers of short prompts wait in all.
const ANNOUNCED_READ_MS: f64 = 60.0;

/// What a backend server answered; its body is still to come.
pub struct Reply {
    /// Status and headers.
    pub head: Parts,
    /// What they say.
    pub info: AnswerInfo,
    /// The rest.
    pub body: Incoming,
    /// Closed when dropped, which stops the backend server's work.
    pub connection: Connection,
    /// Counts the request at the backend server.
    pub lease: Lease,
    /// Who answered.
    pub backend: Arc<Backend>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// From then to the head of the answer, in milliseconds.
    pub head_ms: f64,
    /// What that was expected to be.
    pub expected_ms: f64,
    /// The other host that it went by, if it did: recalled from there when dropped too soon.
    pub forwarding: Option<Forwarding>,
}

/// Why a try gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Not one byte was written.
    Unsent(Cause),
    /// The same: the backend server has said meanwhile that it takes nothing.
    Unwanted,
    /// The backend server says that it did not run the request.
    NotRun {
        /// It is not the one that the request was for.
        misdirected: bool,
    },
    /// The request may have run.
    Lost(Cause),
}

/// Sends the request and waits for the head of its answer.
///
/// # Errors
/// [`Failure`]; the connection is closed by then.
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
        // When too many wait the rest are not announced; they are hints only.
        let _ = job.state.outbox.prefills.try_send(prefill);
    }
    let lease = Lease::new(Arc::clone(&backend.server));
    let (sent_at, sent) = (Instant::now(), clock::steady());
    let response = wait_for_head(job, backend, connection.send(request, job.time_left())).await?;
    if !connection.reused() {
        job.state.record_reached();
    }
    pending.begin(clock::steady());
    let head_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let (head, body) = response.into_parts();
    let info = job.state.codec.answer_info(head.status, &head.headers);
    backend.record_contact(clock::steady());
    // Another server at the address of one that is gone speaks for itself only.
    if !info.misdirected {
        if let Some(load) = info.load {
            backend.record_load(load, clock::steady());
        }
        record_statement(job, backend, &info, sent);
    }
    check_answer(job, &head, &info)?;
    if job.is_timed(backend) {
        let (timing, now) = (job.timing_key(), clock::steady());
        job.state.timings.with(timing, |timing| timing.first.note(head_ms, now));
        job.state.speeds.with(job.speed_key(job.attempts.model), |speed| {
            speed.note(head_ms / estimate.slowdown, estimate.wait_ms, tokens);
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

/// What a backend server says of itself in an answer binds this host, and is passed on to the others.
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
        .with(&job.service, |tolerance| tolerance.heard(info.tolerance, sent, now))
    {
        log::info!(target: "route", service:% = job.service, backend:% = backend.id,
            rejected_per_second:? = info.tolerance; "servers say how many rejected requests they tolerate");
    }
    for restricted in backend.record_statement(&info.statement, sent, clock::steady()) {
        // When too many wait the others hear of it with the next sign of life.
        let _ = job.state.outbox.restrictions.try_send(restricted);
    }
}

/// Waits for the head of an answer, and leaves the backend server if it is silent for too long and
/// the request has another way to be answered.
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
                Sent { sent: true, .. } if job.time_left().is_zero() => Failure::Lost(Cause::Deadline),
                Sent { sent: true, cause } => Failure::Lost(cause),
                Sent { sent: false, cause } => Failure::Unsent(cause),
            }),
            still = recheck => match still {
                None if job.claim_leave(backend) => return Err(Failure::Lost(Cause::Silent)),
                // No way on: its answer is the only hope left.
                None => wait = Some(job.time_left()),
                still => wait = still,
            },
        }
    }
}

/// A connection for the request, to a backend server or another host.
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

/// Whether an answer belongs to its request, and is one that may be passed on.
fn check_answer<C: Codec>(job: &Job<C>, head: &Parts, info: &AnswerInfo) -> Result<(), Failure> {
    let status = head.status;
    match () {
        () if info.not_run || info.misdirected => {
            Err(Failure::NotRun { misdirected: info.misdirected })
        }
        // Something on the way has mixed up answers; whatever else comes on this connection is
        // suspect as well, so it is closed.
        () if info.id.as_ref().is_some_and(|id| *id != job.info.id) => {
            Err(Failure::Lost(Cause::Crossed))
        }
        // Without the signature or the id nobody answers for it; with an encoding the body is
        // not the one that was signed.
        () if !info.is_signed || info.id.is_none() || info.is_encoded => {
            Err(Failure::Lost(Cause::Failed(status.as_u16())))
        }
        () => Ok(()),
    }
}
