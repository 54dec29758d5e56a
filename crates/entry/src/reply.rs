//! Reads the answer of a backend server and checks it before any of it reaches the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use policy::intake::Statement;
use policy::pause;
use policy::time::Millis;
use wire::backend::{LEAVING, REQUEST_ID};

use crate::beginning::Beginning;
use crate::body::Reservation;
use crate::clock;
use crate::connection::{Cause, Connection, Failure};
use crate::job::Job;
use crate::server::{Lease, Server};
use crate::sse::Watch;

/// An answer up to this size is read to its end before any of it is passed on. If such an answer
/// breaks off, the caller has seen nothing of it, and the request may be attempted again.
const WHOLE_BYTES_MAX: usize = 1 << 20;
/// Maximum text of a streamed answer that is collected for the rating service.
const TEXT_BYTES_MAX: usize = 64 << 10;
/// Longest wait for a connection to become ready for reuse after an answer.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer of a backend server.
pub struct Reply {
    /// Status and headers of the answer.
    pub head: Parts,
    /// The body, read whole or still arriving.
    pub content: Content,
    /// Time from the request's first byte to the answer's first byte.
    pub first_byte: Duration,
}

/// The body of an answer.
pub enum Content {
    /// The complete body.
    Whole(Bytes),
    /// The received beginning of the body, and the source of the rest.
    Stream(Box<Stream>),
}

/// An answer that is still arriving.
pub struct Stream {
    /// The part of the body that was read so far.
    pub received: Beginning,
    /// The part of the body that is still to be read.
    pub body: Incoming,
    /// Detects the final event. `None` unless the answer is an event stream of a model engine.
    pub watch: Option<Watch>,
    /// Longest wait for the next piece of the body.
    pub between_bytes_timeout: Duration,
    /// The connection that carries the answer. Dropping the stream closes it, which stops the
    /// backend server's work.
    pub connection: Connection,
    /// Counts the request as in flight at its backend server until dropped.
    pub lease: Lease,
}

/// Reads a small answer whole, and the beginning of a large or streamed one. `memory` counts what is
/// held of it meanwhile.
///
/// # Errors
/// The failure always has `sent: true`, and its connection is closed.
pub async fn read(
    job: &Job,
    response: Response<Incoming>,
    connection: Connection,
    lease: Lease,
    sent: Millis,
    sent_at: Instant,
    memory: Reservation,
) -> Result<Reply, Failure> {
    let (head, body) = response.into_parts();
    record_statement(&lease.server, &head, sent);
    check_answer(job, &head).map_err(Failure::sent)?;
    let is_events = is_event_stream(&head);
    let is_stream = is_events && job.version.is_some();
    let watch = is_stream.then(|| match job.wants_text {
        true => Watch::default().with_text(TEXT_BYTES_MAX),
        false => Watch::default(),
    });
    let between_bytes_timeout = job.between_bytes_timeout;
    let received = Beginning::new(memory);
    let mut stream = Stream { received, body, watch, between_bytes_timeout, connection, lease };
    let limit = job.first_byte_timeout.saturating_sub(sent_at.elapsed());
    let is_buffered = job.is_buffered || !is_events;
    let has_ended = stream.read_beginning(job, limit, is_buffered).await.map_err(Failure::sent)?;
    let first_byte = sent_at.elapsed();
    let content = match has_ended {
        true => Content::Whole(stream.finish()),
        false => Content::Stream(Box::new(stream)),
    };
    Ok(Reply { head, content, first_byte })
}

/// Checks that the answer belongs to its request and may be passed on.
fn check_answer(job: &Job, head: &Parts) -> Result<(), Cause> {
    let echo = head.headers.get(REQUEST_ID).map(|value| value.as_bytes());
    let status = head.status;
    let is_failure = status.is_server_error() || status.as_u16() == 429;
    match echo {
        // A server that fails or is busy may not be able to echo the request's id.
        None if is_failure => Err(Cause::Failed(status.as_u16())),
        // Answers were mixed up on the way. Anything else on this connection may be wrong as well,
        // so the connection is closed.
        echo if echo != Some(job.id.as_bytes()) => Err(Cause::Crossed),
        _ if job.version.is_none() => Ok(()),
        _ if is_failure => Err(Cause::Failed(status.as_u16())),
        _ => Ok(()),
    }
}

/// Records what the answer's headers say about the work that the server accepts: that the server
/// is leaving, or wants a pause. This applies to all later requests to the server, even if the
/// answer itself turns out to be unusable.
fn record_statement(server: &Server, head: &Parts, sent: Millis) {
    let statement = Statement {
        per_second: None,
        is_leaving: is_set(&head.headers, LEAVING),
        pause_ms: pause_ms(head.status, &head.headers),
    };
    if statement == Statement::default() && !server.is_restricted() {
        return;
    }
    let now = clock::steady();
    let news = server
        .with_intake(now, |intake| intake.record_answer(&statement, sent, rand::random(), now));
    if news.has_begun_leaving || news.has_begun_pause {
        log::info!("entry: backend server {} restricts its work: {statement:?}", server.name);
    }
}

/// Whether a header that is a flag is set: any value other than `0` or `false` counts. Unclear
/// values count as set because the flag tells that a server is leaving, and missing that is the
/// worse error.
#[must_use]
pub fn is_set(headers: &HeaderMap, name: &str) -> bool {
    let value = headers.get(name).map(|value| value.as_bytes().trim_ascii());
    value.is_some_and(|value| !matches!(value, b"0" | b"false"))
}

/// The pause in milliseconds that a server asks for in `Retry-After` of a 503 answer; `None` if it
/// asks for none.
///
/// An unreadable value counts as a short pause: the server wants less work, so ignoring its wish
/// would be the worse error.
#[must_use]
pub fn pause_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    let ms = value.to_str().ok().and_then(pause::parse_seconds);
    if ms.is_none() {
        log::warn!("entry: a backend server sent an unreadable Retry-After: {value:?}");
    }
    Some(ms.unwrap_or(pause::UNREADABLE_MS))
}

/// Whether an answer is a stream of server-sent events.
#[must_use]
pub fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).map(|value| value.as_bytes()).unwrap_or_default();
    kind.starts_with(b"text/event-stream")
}

impl Stream {
    /// Reads the beginning of the answer: the first piece, or if `is_buffered` up to
    /// [`WHOLE_BYTES_MAX`]. Returns true if the answer has ended.
    async fn read_beginning(
        &mut self,
        job: &Job,
        limit: Duration,
        is_buffered: bool,
    ) -> Result<bool, Cause> {
        let mut limit = limit;
        loop {
            let has_room = match self.next(limit, job.deadline).await? {
                Piece::Data(data) => self.received.append(&data),
                Piece::Final(data) => {
                    self.received.append(&data);
                    return Ok(true);
                }
                Piece::End => return Ok(true),
            };
            limit = self.between_bytes_timeout;
            let is_enough = match is_buffered {
                true => self.received.len() > WHOLE_BYTES_MAX || !has_room,
                false => !self.received.is_empty(),
            };
            if is_enough {
                return Ok(false);
            }
        }
    }

    /// Reads the next piece of the body.
    ///
    /// # Errors
    /// [`Cause::Silent`] if no piece arrived within the time, [`Cause::Truncated`] if the answer
    /// broke off, [`Cause::Deadline`] if the request's deadline passed.
    pub async fn next(&mut self, within: Duration, deadline: Instant) -> Result<Piece, Cause> {
        let until = (Instant::now() + within).min(deadline);
        loop {
            let frame = match tokio::time::timeout_at(until.into(), self.body.frame()).await {
                Ok(None) if self.watch.as_ref().is_none_or(Watch::done) => return Ok(Piece::End),
                // A clean end without the final event is a broken answer.
                Ok(None) => return Err(Cause::Truncated),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(Cause::Truncated),
                Err(_) if until == deadline => return Err(Cause::Deadline),
                Err(_) => return Err(Cause::Silent),
            };
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            match self.watch.as_mut().and_then(|watch| watch.feed(&data)) {
                Some(end) => return Ok(Piece::Final(data.slice(..end))),
                None if self.watch.is_none() && self.body.is_end_stream() => {
                    return Ok(Piece::Final(data));
                }
                None => return Ok(Piece::Data(data)),
            }
        }
    }

    /// Ends a whole answer: returns the received part, and gives the connection back to its server
    /// for reuse.
    pub fn finish(self) -> Bytes {
        let Self { received, body, mut connection, lease, .. } = self;
        match body.is_end_stream() {
            true => {
                connection.mark_proven();
                lease.server.put_idle(connection);
            }
            false => {
                tokio::spawn(return_connection(body, connection, lease));
            }
        }
        received.into_bytes()
    }

    /// Takes the part of the body that was read so far.
    pub fn take_received(&mut self) -> Bytes {
        let empty = self.received.successor();
        std::mem::replace(&mut self.received, empty).into_bytes()
    }

    /// Takes the text collected for the rating service; `None` if it was not wanted.
    #[must_use]
    pub fn text(&mut self) -> Option<String> {
        self.watch.take().and_then(Watch::into_text)
    }
}

/// A piece of an answer's body.
pub enum Piece {
    /// A piece that another one may follow.
    Data(Bytes),
    /// The last piece: the answer's length is reached, or its final event is complete.
    Final(Bytes),
    /// A clean end of the body, without data.
    End,
}

/// Returns the connection of an ended answer to its server once nothing is left on it.
async fn return_connection(mut body: Incoming, mut connection: Connection, lease: Lease) {
    let rest = tokio::time::timeout(READY_TIMEOUT, body.frame()).await;
    // A connection with data after the end, or without an end in time, can't be trusted.
    if matches!(rest, Ok(None)) && connection.finish_answer(READY_TIMEOUT).await {
        lease.server.put_idle(connection);
    }
}
