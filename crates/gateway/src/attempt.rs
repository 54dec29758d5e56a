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
use crate::codec::{Codec, Head, Sending};
use crate::job::Job;
use crate::recall::Forwarding;

/// Longest wait for a new connection. Within a region one opens in a few milliseconds; past this
/// the server is unreachable or its queue of new connections full, and the kernel tries again only
/// after a second.
const CONNECT: Duration = Duration::from_millis(250);
/// Part of the time left that one connection attempt may use.
const CONNECT_PART: u32 = 4;
/// An idle connection is used again within this time. Longer ones may have gone silent, and
/// backend servers close theirs after some seconds.
const REUSE: Duration = Duration::from_secs(3);

/// Prompts that take this long to read, in milliseconds, are announced to the other hosts: a third
/// of what callers of short prompts wait in all.
const TOLD_MS: f64 = 60.0;

/// What a backend server answered; its body is still to come.
pub struct Reply {
    /// Status and headers.
    pub head: Parts,
    /// What they say.
    pub said: Head,
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
    pub first_ms: f64,
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
    sending: &Sending<'_>,
) -> Result<Reply, Failure> {
    let mut connection = open(job, backend).await?;
    if backend.is_closed(clock::steady()) {
        return Err(Failure::Unwanted);
    }
    let request = request(job, sending).ok_or(Failure::Unsent(Cause::Broken))?;
    let model = job.model_hash();
    let rank = sending.priority.unwrap_or_default();
    let seen = backend.seen(model, &job.ask.parts, rank, clock::steady());
    let tokens = (f64::from(job.ask.prompt_tokens) - seen.cached).max(0.0);
    let rate = job.tokens_per_ms(job.tries.model);
    let read_ms = tokens / rate * seen.slowdown;
    let prompt = Prompt { rank, read_ms };
    let awaited = backend.sent(model, &job.ask.parts, prompt, clock::steady());
    if read_ms >= TOLD_MS && backend.near {
        let prefill = Prefill { backend: backend.id.clone(), read_ms: read_ms as u32, rank };
        // When too many wait the rest are not announced; they are hints only.
        let _ = job.state.outbox.prefills.try_send(prefill);
    }
    let lease = Lease::new(Arc::clone(&backend.server));
    let (sent_at, sent) = (Instant::now(), clock::steady());
    let response = patient(job, backend, connection.send(request, job.left())).await?;
    if !connection.reused() {
        job.state.reached();
    }
    awaited.began(clock::steady());
    let first_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let (head, body) = response.into_parts();
    let said = job.state.codec.head(head.status, &head.headers);
    backend.heard(clock::steady());
    // Another server at the address of one that is gone speaks for itself only.
    if !said.misdirected {
        if let Some(load) = said.load {
            backend.note_load(load, clock::steady());
        }
        note_statement(job, backend, &said, sent);
    }
    check(job, &head, &said)?;
    if job.timed(backend) {
        let (timing, now) = (job.timing(), clock::steady());
        job.state.timings.with(timing, |timing| timing.first.record(first_ms, now));
        job.state.speeds.with(job.speed(job.tries.model), |speed| {
            speed.record(first_ms / seen.slowdown, seen.wait_ms, tokens);
        });
    }
    Ok(Reply {
        head,
        said,
        body,
        connection,
        lease,
        backend: Arc::clone(backend),
        sent_at,
        first_ms,
        expected_ms: seen.wait_ms + read_ms,
        forwarding: None,
    })
}

/// What a backend server says of itself in an answer binds this host, and is passed on to the others.
pub fn note_statement<C: Codec>(job: &Job<C>, backend: &Backend, said: &Head, sent: Millis) {
    let now = clock::steady();
    if job
        .state
        .tolerances
        .with(&job.service, |tolerance| tolerance.record_answer(said.tolerance, sent, now))
    {
        log::info!(target: "route", service:% = job.service, backend:% = backend.id,
            rejected_per_second:? = said.tolerance; "servers say how many rejected requests they tolerate");
    }
    for restricted in backend.note_statement(&said.statement, sent, clock::steady()) {
        // When too many wait the others hear of it with the next sign of life.
        let _ = job.state.outbox.restrictions.try_send(restricted);
    }
}

/// Waits for the head of an answer, and leaves the backend server if it is silent for too long and
/// the request has another way to be answered.
pub async fn patient<C: Codec, T>(
    job: &Job<C>,
    backend: &Backend,
    answer: impl Future<Output = Result<T, Sent>>,
) -> Result<T, Failure> {
    let mut answer = std::pin::pin!(answer);
    let since = Instant::now();
    let mut wait = Some(Duration::ZERO);
    loop {
        let look = async {
            tokio::time::sleep(wait.unwrap_or_default()).await;
            job.first_wait(backend, since).await
        };
        tokio::select! {
            answered = answer.as_mut() => return answered.map_err(|failure| match failure {
                Sent { sent: true, .. } if job.left().is_zero() => Failure::Lost(Cause::Deadline),
                Sent { sent: true, cause } => Failure::Lost(cause),
                Sent { sent: false, cause } => Failure::Unsent(cause),
            }),
            still = look => match still {
                None if job.leave(backend) => return Err(Failure::Lost(Cause::Silent)),
                // No way on: its answer is the only hope left.
                None => wait = Some(job.left()),
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
    let reuse = job.route().kind == wire::routing::Kind::Idempotent && !job.tries.new_only;
    let within = CONNECT.min(job.left() / CONNECT_PART);
    let opened = backend.server.connect(reuse.then_some(REUSE), within).await;
    if opened.is_err() && !backend.is_host {
        job.state.reach.failed(backend);
    }
    opened.map_err(|failure| Failure::Unsent(failure.cause))
}

fn request<C: Codec>(job: &Job<C>, sending: &Sending<'_>) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.path.clone();
    *request.headers_mut() = job.state.codec.forward(&job.headers, sending);
    request.headers_mut().insert(HOST, job.headers.get(HOST)?.clone());
    Some(request)
}

/// Whether an answer belongs to its request, and is one that may be passed on.
fn check<C: Codec>(job: &Job<C>, head: &Parts, said: &Head) -> Result<(), Failure> {
    let status = head.status;
    match () {
        () if said.not_run || said.misdirected => {
            Err(Failure::NotRun { misdirected: said.misdirected })
        }
        // Something on the way has mixed up answers; whatever else comes on this connection is
        // suspect as well, so it is closed.
        () if said.id.as_ref().is_some_and(|id| *id != job.ask.id) => {
            Err(Failure::Lost(Cause::Crossed))
        }
        // Without the signature or the id nobody answers for it; with an encoding the body is
        // not the one that was signed.
        () if !said.is_signed || said.id.is_none() || said.is_encoded => {
            Err(Failure::Lost(Cause::Failed(status.as_u16())))
        }
        () => Ok(()),
    }
}
