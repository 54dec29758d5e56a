//! Stand-in for a backend server of routed requests: it replies as a test sets it to, and records
//! the requests that reach it.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use platform::names;
use tokio::sync::Notify;

use crate::reply;
use crate::server::{Body, Cut, Handler};

/// Event id that stands for a cut of the connection. No stream is that long.
const CUT_ID: u64 = u64::MAX - 1;

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum ScriptedReply {
    /// Answers with this status and a signature.
    Answer(u16),
    /// Answers with the id of another request.
    AnswerOther,
    /// Answers without a signature.
    Unsigned,
    /// Rejects the request: answers 503 and says that the request did not run.
    Reject,
    /// Rejects the request with this value of `Retry-After`, which asks for a pause.
    RejectFor(&'static str),
    /// Answers 421: the request was meant for another server.
    Misdirected,
    /// Closes the connection without an answer.
    Reset,
    /// Never answers, and keeps the connection open.
    Silence,
    /// Answers with a stream of events.
    Stream(Script),
}

impl ScriptedReply {
    /// The pause that this reply asks for; `None` if it asks for none, or if its text is not a
    /// number of seconds.
    fn retry_after(&self) -> Option<Duration> {
        let Self::RejectFor(text) = self else { return None };
        text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
    }
}

/// The course of a stream of events.
#[derive(Clone, Debug)]
pub struct Script {
    /// Id of the last event. The first event follows the last one that the caller has, which the
    /// request's header names; without that header the first id is 1.
    pub events: u64,
    /// Pause before each event but the first.
    pub pause: Duration,
    /// Additional pause before the second event of an answer, as when the engine reads other
    /// prompts.
    pub prompt_delay: Duration,
    /// Id of the event in whose middle the connection is cut; `None` for no cut.
    pub cut_in_event: Option<u64>,
    /// Id of the event after which the server sends nothing more, with the connection open; `None`
    /// for a stream that ends.
    pub silent_after_event: Option<u64>,
    /// Confidence that the answer's header states; `None` for no such header.
    pub confidence: Option<u8>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(2),
            prompt_delay: Duration::ZERO,
            cut_in_event: None,
            silent_after_event: None,
            confidence: None,
        }
    }
}

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Time when the request had arrived whole.
    pub at: Instant,
    /// The pause that the answer asked for; `None` if it asked for none.
    pub retry_after: Option<Duration>,
}

/// The state of a backend server of routed requests.
pub struct ScriptedServer {
    /// Reply to requests for which none is queued.
    default: Mutex<ScriptedReply>,
    /// Replies to the next requests, each used once.
    queue: Mutex<VecDeque<ScriptedReply>>,
    /// Limit of requests a second that the answers announce; `None` for no announcement.
    rate_limit: Mutex<Option<f64>>,
    /// Rejected requests a second that the answers announce as tolerated; `None` for no
    /// announcement.
    rejection_tolerance: Mutex<Option<u32>>,
    /// Most requests that the server works on at once, and the time that each takes; `None` for no
    /// limit.
    slots: Mutex<Option<(usize, Duration)>>,
    /// Number of requests that the server works on now.
    in_flight: Arc<AtomicUsize>,
    /// Times of rejections for lack of a free slot.
    rejected_at: Mutex<Vec<Instant>>,
    /// Whether the answers say that the server is leaving.
    is_leaving: AtomicBool,
    /// Body of requests that crash the server; `None` for none.
    crash_body: Mutex<Option<Bytes>>,
    /// Ids of prompt parts that crash the server, unless they stand last in the prompt.
    crash_parts: Mutex<Vec<String>>,
    crash: Notify,
    arrivals: Mutex<Vec<Arrival>>,
    /// Times when requests were dropped before their answers ended.
    dropped_at: Arc<Mutex<Vec<Instant>>>,
}

/// Records, when dropped, that a request was dropped before its answer ended, unless it is done.
struct Work {
    dropped_at: Arc<Mutex<Vec<Instant>>>,
    is_done: bool,
}

impl Work {
    fn finish(&mut self) {
        self.is_done = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if !self.is_done {
            lock(&self.dropped_at).push(Instant::now());
        }
    }
}

/// Counts a request as in flight until dropped.
struct Slot {
    in_flight: Arc<AtomicUsize>,
    /// Number of requests that were in flight when this request arrived.
    number: usize,
}

impl Slot {
    fn take(in_flight: &Arc<AtomicUsize>) -> Self {
        let number = in_flight.fetch_add(1, Ordering::Relaxed);
        Self { in_flight: Arc::clone(in_flight), number }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ScriptedServer {
    /// Makes a server that gives this reply to every request.
    #[must_use]
    pub fn new(default_reply: ScriptedReply) -> Self {
        Self {
            default: Mutex::new(default_reply),
            queue: Mutex::default(),
            rate_limit: Mutex::default(),
            rejection_tolerance: Mutex::default(),
            slots: Mutex::default(),
            in_flight: Arc::default(),
            rejected_at: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            crash_body: Mutex::default(),
            crash_parts: Mutex::default(),
            crash: Notify::new(),
            arrivals: Mutex::default(),
            dropped_at: Arc::default(),
        }
    }

    /// Sets the reply to requests for which none is queued.
    pub fn set_reply(&self, default_reply: ScriptedReply) {
        *lock(&self.default) = default_reply;
    }

    /// Queues a reply, which is used for one request.
    pub fn queue_reply(&self, reply: ScriptedReply) {
        lock(&self.queue).push_back(reply);
    }

    /// Sets the limit of requests a second that further answers announce; `None` for no
    /// announcement.
    pub fn announce_rate_limit(&self, per_second: Option<f64>) {
        *lock(&self.rate_limit) = per_second;
    }

    /// Sets the number of rejected requests a second that further answers announce as tolerated;
    /// `None` for no announcement.
    pub fn announce_rejection_tolerance(&self, per_second: Option<u32>) {
        *lock(&self.rejection_tolerance) = per_second;
    }

    /// Limits the requests that the server works on at once, each for the time `work`. Further
    /// requests are rejected.
    pub fn limit_slots(&self, slots: usize, work: Duration) {
        *lock(&self.slots) = Some((slots, work));
    }

    /// Times when the server rejected requests for lack of a free slot.
    #[must_use]
    pub fn rejected_at(&self) -> Vec<Instant> {
        lock(&self.rejected_at).clone()
    }

    /// Sets whether further answers say that the server is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Makes each request with this body crash the server; see [`Self::crashed`].
    pub fn crash_on_body(&self, body: &'static str) {
        *lock(&self.crash_body) = Some(Bytes::from(body));
    }

    /// Makes each request crash the server whose prompt has a part with one of these ids before its
    /// last part; see [`Self::crashed`].
    pub fn crash_on_prompt_parts(&self, ids: &[&str]) {
        *lock(&self.crash_parts) = ids.iter().map(|id| (*id).to_owned()).collect();
    }

    /// Whether this request crashes the server.
    fn is_crashed_by(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        let prompt = headers.get(names::PROMPT_PARTS).and_then(|parts| parts.to_str().ok());
        let mut ids = prompt.into_iter().flat_map(|parts| parts.split(',').rev().skip(1));
        let crash_parts = lock(&self.crash_parts);
        let is_crash_part = |part: &str| {
            part.split(':')
                .next()
                .is_some_and(|id| crash_parts.iter().any(|crash_id| crash_id == id))
        };
        lock(&self.crash_body).as_ref() == Some(body) || ids.any(is_crash_part)
    }

    /// Waits until a request that crashes the server has arrived. The server doesn't answer that
    /// request; the caller of this function has to close the server.
    pub async fn crashed(&self) {
        self.crash.notified().await;
    }

    /// All requests that reached the server, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Number of requests that the other end dropped before their answers ended.
    #[must_use]
    pub fn dropped_count(&self) -> usize {
        lock(&self.dropped_at).len()
    }
}

impl Handler for ScriptedServer {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        let path = head.uri.to_string();
        let headers = head.headers;
        let is_crash = self.is_crashed_by(&headers, &body);
        let reply = || lock(&self.queue).pop_front().unwrap_or_else(|| lock(&self.default).clone());
        let reply = (!is_crash).then(reply);
        let retry_after = reply.as_ref().and_then(ScriptedReply::retry_after);
        let at = Instant::now();
        lock(&self.arrivals).push(Arrival {
            headers: headers.clone(),
            path,
            body,
            at,
            retry_after,
        });
        let Some(reply) = reply else {
            self.crash.notify_one();
            return std::future::pending().await;
        };
        let mut work = Work { dropped_at: Arc::clone(&self.dropped_at), is_done: false };
        let slots = *lock(&self.slots);
        let slot = Slot::take(&self.in_flight);
        let reply = match slots {
            Some((slots, _)) if slot.number >= slots => {
                lock(&self.rejected_at).push(at);
                ScriptedReply::Reject
            }
            Some((_, work)) => {
                tokio::time::sleep(work).await;
                reply
            }
            None => reply,
        };
        let answer = respond(reply, &headers, &mut work).await?;
        drop(slot);
        let mut response = match answer {
            Answer::Whole(response) => {
                work.finish();
                response
            }
            Answer::Stream(response, script, next) => response.map(|()| events(script, next, work)),
        };
        let limit = lock(&self.rate_limit).and_then(|rate| rate.to_string().parse().ok());
        if let Some(limit) = limit {
            response.headers_mut().insert(names::RATE_LIMIT, limit);
        }
        if let Some(slots) = slots {
            let in_flight = self.in_flight.load(Ordering::Relaxed);
            let load = format!("{in_flight},0,{}", slots.0).parse();
            response
                .headers_mut()
                .extend(load.ok().map(|load| (HeaderName::from_static(names::LOAD), load)));
        }
        if let Some(per_second) = *lock(&self.rejection_tolerance) {
            response.headers_mut().insert(names::REJECTION_TOLERANCE, per_second.into());
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert(names::LEAVING, reply::static_value("1"));
        }
        Ok(response)
    }
}

/// An answer that the server is about to send.
enum Answer {
    Whole(Response<Body>),
    /// Header and course of a stream, and the id of its first event.
    Stream(Response<()>, Script, u64),
}

async fn respond(
    reply: ScriptedReply,
    headers: &HeaderMap,
    work: &mut Work,
) -> Result<Answer, Cut> {
    let id = headers.get(names::REQUEST_ID).cloned();
    let sign = |mut response: Response<Body>| {
        if let Some(id) = id.clone() {
            response.headers_mut().insert(names::REQUEST_ID, id);
        }
        response.headers_mut().insert(names::SIGNATURE, reply::static_value("a.1.2"));
        response
    };
    let status = |status: u16| StatusCode::from_u16(status).unwrap_or_default();
    Ok(Answer::Whole(match reply {
        ScriptedReply::Answer(code) => sign(reply::bytes(status(code), "answer")),
        ScriptedReply::AnswerOther => {
            let mut response = sign(reply::bytes(StatusCode::OK, "another's answer"));
            response.headers_mut().insert(names::REQUEST_ID, reply::static_value("another"));
            response
        }
        ScriptedReply::Unsigned => {
            let mut response = sign(reply::bytes(StatusCode::OK, "anybody's answer"));
            response.headers_mut().remove(names::SIGNATURE);
            response
        }
        ScriptedReply::Reject => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::static_value("1"));
            response
        }
        ScriptedReply::RejectFor(retry_after) => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::static_value("1"));
            response.headers_mut().insert(RETRY_AFTER, reply::static_value(retry_after));
            response
        }
        ScriptedReply::Misdirected => reply::bytes(StatusCode::MISDIRECTED_REQUEST, ""),
        ScriptedReply::Reset => {
            work.finish();
            return Err(Cut);
        }
        ScriptedReply::Silence => std::future::pending().await,
        ScriptedReply::Stream(script) => {
            let last = headers.get(names::LAST_EVENT).and_then(|last| last.to_str().ok());
            let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or_default();
            let mut response = sign(reply::bytes(StatusCode::OK, "")).map(|_| ());
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, reply::static_value("text/event-stream"));
            if let Some(confidence) = script.confidence {
                headers.insert(names::CONFIDENCE, u16::from(confidence).into());
            }
            return Ok(Answer::Stream(response, script, last + 1));
        }
    }))
}

fn events(script: Script, first: u64, work: Work) -> Body {
    let pieces = stream::unfold((first, work), move |(id, mut work)| {
        let script = script.clone();
        async move {
            if id > script.events && id < CUT_ID {
                work.finish();
                return None;
            }
            if id > first {
                tokio::time::sleep(script.pause).await;
            }
            if id == first + 1 {
                tokio::time::sleep(script.prompt_delay).await;
            }
            match () {
                () if id < CUT_ID && script.silent_after_event.is_some_and(|last| id > last) => {
                    std::future::pending().await
                }
                () if id == CUT_ID => {
                    work.finish();
                    Some((Err(Cut), (CUT_ID, work)))
                }
                // The first half of the event is sent before the connection is cut.
                () if script.cut_in_event == Some(id) => {
                    let half = Frame::data(Bytes::from(format!("id: {id}\nda")));
                    Some((Ok(half), (CUT_ID, work)))
                }
                () => {
                    let event = format!("id: {id}\ndata: piece {id}\n\n");
                    Some((Ok(Frame::data(Bytes::from(event))), (id + 1, work)))
                }
            }
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}
