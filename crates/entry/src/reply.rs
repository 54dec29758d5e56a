//! The answer of a backend server, checked before anything of it is passed on.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use policy::intake::Statement;
use policy::pause;
use policy::time::Millis;
use wire::backend::{LEAVING, REQUEST_ID};

use crate::clock;
use crate::connection::{Cause, Connection, Failure};
use crate::job::Job;
use crate::server::{Lease, Server};
use crate::sse::Watch;

/// An answer up to this size is read to its end before it is passed on: if it breaks off, the
/// caller has seen nothing of it yet, and the request may be tried again.
const WHOLE_BYTES_MAX: usize = 1 << 20;
/// Text kept of a stream for the rating service.
const TEXT_BYTES_MAX: usize = 64 << 10;
/// Longest wait for a connection to be ready again after an answer.
const READY: Duration = Duration::from_secs(1);

/// What a backend server answered.
pub struct Reply {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub content: Content,
    /// From the request's first byte to the answer's first byte.
    pub first_byte: Duration,
}

/// The body of an answer.
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and where the rest comes from.
    Stream(Box<Stream>),
}

/// An answer that is still coming.
pub struct Stream {
    /// What has come so far.
    pub begun: Bytes,
    /// The rest.
    pub body: Incoming,
    /// Looks for the final event, if the answer is a stream of events of a model engine.
    pub watch: Option<Watch>,
    /// Longest wait for the next piece.
    pub between_bytes: Duration,
    /// Closed when this is dropped, which stops the backend server's work.
    pub connection: Connection,
    /// Counts the request at its backend server.
    pub lease: Lease,
}

/// Reads an answer whole if it is small, or else its beginning.
///
/// # Errors
/// Always with `sent: true`; the connection is closed by then.
pub async fn read(
    job: &Job,
    response: Response<Incoming>,
    connection: Connection,
    lease: Lease,
    sent: Millis,
    sent_at: Instant,
) -> Result<Reply, Failure> {
    let (head, body) = response.into_parts();
    note_statement(&lease.server, &head, sent);
    check(job, &head).map_err(Failure::sent)?;
    let is_events = is_event_stream(&head);
    let is_stream = is_events && job.version.is_some();
    let watch = is_stream.then(|| match job.text {
        true => Watch::default().with_text(TEXT_BYTES_MAX),
        false => Watch::default(),
    });
    let between_bytes = job.between_bytes;
    let begun = Bytes::new();
    let mut stream = Stream { begun, body, watch, between_bytes, connection, lease };
    let limit = job.first_byte.saturating_sub(sent_at.elapsed());
    let whole = job.whole || !is_events;
    let ended = stream.begin(job, limit, whole).await.map_err(Failure::sent)?;
    let first_byte = sent_at.elapsed();
    let content = match ended {
        true => Content::Whole(stream.finish()),
        false => Content::Stream(Box::new(stream)),
    };
    Ok(Reply { head, content, first_byte })
}

/// Whether an answer belongs to its request, and is one that may be passed on.
fn check(job: &Job, head: &Parts) -> Result<(), Cause> {
    let echo = head.headers.get(REQUEST_ID).map(|value| value.as_bytes());
    let status = head.status;
    let failed = status.is_server_error() || status.as_u16() == 429;
    match echo {
        // A server that can't answer may not know whom.
        None if failed => Err(Cause::Failed(status.as_u16())),
        // Something on the way has mixed up answers. Whatever else is on this connection is
        // suspect as well, so it is closed.
        echo if echo != Some(job.id.as_bytes()) => Err(Cause::Crossed),
        _ if job.version.is_none() => Ok(()),
        _ if failed => Err(Cause::Failed(status.as_u16())),
        _ => Ok(()),
    }
}

/// What a server says of how much it takes binds whoever sends there next, whatever becomes of this
/// answer.
fn note_statement(server: &Server, head: &Parts, sent: Millis) {
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
        log::info!("entry: backend server {} says: {statement:?}", server.name);
    }
}

/// A flag counts as set unless it says that it is not: to take a leave for none is the graver error.
#[must_use]
pub fn is_set(headers: &HeaderMap, name: &str) -> bool {
    let value = headers.get(name).map(|value| value.as_bytes().trim_ascii());
    value.is_some_and(|value| !matches!(value, b"0" | b"false"))
}

/// The pause that a server asks for as it turns a request away, in milliseconds.
///
/// One that can't be read is a short one: the server wants less work, so none at all is the graver
/// error.
#[must_use]
pub fn pause_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    let ms = value.to_str().ok().and_then(pause::parse_seconds);
    if ms.is_none() {
        log::warn!("entry: a backend server asks for a pause that can't be read: {value:?}");
    }
    Some(ms.unwrap_or(pause::UNREADABLE_MS))
}

/// Whether an answer is a stream of events.
#[must_use]
pub fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).map(|value| value.as_bytes()).unwrap_or_default();
    kind.starts_with(b"text/event-stream")
}

impl Stream {
    /// Reads the beginning, or all if `whole` and it is small; true if the answer has ended.
    async fn begin(&mut self, job: &Job, limit: Duration, whole: bool) -> Result<bool, Cause> {
        let mut limit = limit;
        loop {
            match self.next(limit, job.deadline).await? {
                Piece::Data(data) => self.add(data),
                Piece::Final(data) => {
                    self.add(data);
                    return Ok(true);
                }
                Piece::End => return Ok(true),
            }
            limit = self.between_bytes;
            let enough = match whole {
                true => self.begun.len() > WHOLE_BYTES_MAX,
                false => !self.begun.is_empty(),
            };
            if enough {
                return Ok(false);
            }
        }
    }

    /// Adds a piece to what has come; the first one, most often the only one, is not copied.
    fn add(&mut self, data: Bytes) {
        if self.begun.is_empty() {
            self.begun = data;
            return;
        }
        let mut begun = BytesMut::from(std::mem::take(&mut self.begun));
        begun.extend_from_slice(&data);
        self.begun = begun.freeze();
    }

    /// The next piece.
    ///
    /// # Errors
    /// [`Cause::Silent`], [`Cause::Broken`] or [`Cause::Deadline`].
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

    /// The answer is whole: gives back what was read, and the connection to its server.
    pub fn finish(self) -> Bytes {
        let Self { begun, body, mut connection, lease, .. } = self;
        match body.is_end_stream() {
            true => {
                connection.mark_proven();
                lease.server.put_idle(connection);
            }
            false => {
                tokio::spawn(give_back(body, connection, lease));
            }
        }
        begun
    }

    /// The text collected for the rating service.
    #[must_use]
    pub fn text(&mut self) -> Option<String> {
        self.watch.take().and_then(Watch::into_text)
    }
}

/// A piece of an answer.
pub enum Piece {
    /// More follows.
    Data(Bytes),
    /// The last one: the answer's length is met, or its final event is complete.
    Final(Bytes),
    /// A clean end.
    End,
}

/// Keeps a connection whose answer has ended, once nothing more is left on it.
async fn give_back(mut body: Incoming, mut connection: Connection, lease: Lease) {
    let rest = tokio::time::timeout(READY, body.frame()).await;
    // Anything after the end, or no end at all, leaves the connection in doubt.
    if matches!(rest, Ok(None)) && connection.finish_answer(READY).await {
        lease.server.put_idle(connection);
    }
}
