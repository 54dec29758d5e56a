//! A stand-in for backend servers of routed requests: it answers by a script and records what
//! reached it.

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

/// Stands for an event: the connection is cut there.
const CUT: u64 = u64::MAX - 1;

/// What it does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with a status and a signature.
    Answer(u16),
    /// Answers, but not for the request that was asked.
    AnswerOther,
    /// Answers without a signature.
    Unsigned,
    /// Says that it did not run the request.
    Shed,
    /// The same, and asks for a pause: what `Retry-After` says.
    Pause(&'static str),
    /// Says that it is not the server that was meant.
    Misdirected,
    /// Closes the connection without an answer.
    Reset,
    /// Answers nothing.
    Silence,
    /// Streams events.
    Stream(Script),
}

impl Act {
    /// The pause that it asks for, if that can be read.
    fn pause(&self) -> Option<Duration> {
        let Self::Pause(text) = self else { return None };
        text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
    }
}

/// How it streams.
#[derive(Clone, Debug)]
pub struct Script {
    /// The last event's id; they begin behind the one that the caller has, at 1 if it has none.
    pub events: u64,
    /// Between two of them.
    pub pause: Duration,
    /// More behind the first one of a run: the engine reads other prompts.
    pub held_up: Duration,
    /// Breaks off in the middle of this event.
    pub cut_in: Option<u64>,
    /// Says nothing more behind this event.
    pub silent_after: Option<u64>,
    /// What it thinks of its answer.
    pub confidence: Option<u8>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(2),
            held_up: Duration::ZERO,
            cut_in: None,
            silent_after: None,
            confidence: None,
        }
    }
}

/// A request that reached it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// As it came.
    pub headers: HeaderMap,
    /// Path and query.
    pub path: String,
    /// As it came.
    pub body: Bytes,
    /// When.
    pub at: Instant,
    /// The pause that it was answered with.
    pub pause: Option<Duration>,
}

/// The backend server.
pub struct Routed {
    usual: Mutex<Act>,
    script: Mutex<VecDeque<Act>>,
    /// Requests a second that it names in its answers.
    per_second: Mutex<Option<f64>>,
    /// Rejected requests a second that it says it tolerates.
    tolerance: Mutex<Option<u32>>,
    /// How many requests it works on at once, and for how long on each; none if on any number.
    places: Mutex<Option<(usize, Duration)>>,
    working: Arc<AtomicUsize>,
    rejected: Mutex<Vec<Instant>>,
    /// It says in its answers that it leaves.
    leaves: AtomicBool,
    /// It ends when it runs a request whose body is this.
    ends_by: Mutex<Option<Bytes>>,
    /// It ends when it runs a request with one of these parts in its prompt; the last part doesn't count.
    ends_by_parts: Mutex<Vec<String>>,
    ending: Notify,
    arrivals: Mutex<Vec<Arrival>>,
    dropped: Arc<Mutex<Vec<Instant>>>,
}

/// Notes that a request was dropped before its answer ended.
struct Work {
    dropped: Arc<Mutex<Vec<Instant>>>,
    is_done: bool,
}

impl Work {
    fn done(&mut self) {
        self.is_done = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if !self.is_done {
            lock(&self.dropped).push(Instant::now());
        }
    }
}

/// A request that it works on, until dropped.
struct Place {
    working: Arc<AtomicUsize>,
    /// Requests before it.
    number: usize,
}

impl Place {
    fn take(working: &Arc<AtomicUsize>) -> Self {
        let number = working.fetch_add(1, Ordering::Relaxed);
        Self { working: Arc::clone(working), number }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.working.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Routed {
    /// One that does this with every request.
    #[must_use]
    pub fn new(usual: Act) -> Self {
        Self {
            usual: Mutex::new(usual),
            script: Mutex::default(),
            per_second: Mutex::default(),
            tolerance: Mutex::default(),
            places: Mutex::default(),
            working: Arc::default(),
            rejected: Mutex::default(),
            leaves: AtomicBool::new(false),
            ends_by: Mutex::default(),
            ends_by_parts: Mutex::default(),
            ending: Notify::new(),
            arrivals: Mutex::default(),
            dropped: Arc::default(),
        }
    }

    /// From now on it does this.
    pub fn set(&self, usual: Act) {
        *lock(&self.usual) = usual;
    }

    /// With the next request it does this.
    pub fn next(&self, act: Act) {
        lock(&self.script).push_back(act);
    }

    /// From now on it names a limit in its answers, or none.
    pub fn name_limit(&self, per_second: Option<f64>) {
        *lock(&self.per_second) = per_second;
    }

    /// From now on it says that it tolerates so many rejected requests a second, or nothing.
    pub fn name_tolerance(&self, per_second: Option<u32>) {
        *lock(&self.tolerance) = per_second;
    }

    /// From now on it works on so many requests at once, on each for that long, and rejects the others.
    pub fn limit_places(&self, places: usize, work: Duration) {
        *lock(&self.places) = Some((places, work));
    }

    /// When it rejected requests for want of room.
    #[must_use]
    pub fn rejected(&self) -> Vec<Instant> {
        lock(&self.rejected).clone()
    }

    /// From now on it says in its answers that it leaves, or doesn't.
    pub fn leave(&self, leaves: bool) {
        self.leaves.store(leaves, Ordering::Relaxed);
    }

    /// From now on it ends when it runs a request with this body; see [`Self::ending`].
    pub fn end_by(&self, body: &'static str) {
        *lock(&self.ends_by) = Some(Bytes::from(body));
    }

    /// From now on it ends when it runs a request with one of these parts in its prompt, but for the last
    /// part; see [`Self::ending`].
    pub fn end_by_parts(&self, ids: &[&str]) {
        *lock(&self.ends_by_parts) = ids.iter().map(|id| (*id).to_owned()).collect();
    }

    /// Whether it ends of this request.
    fn ends_of(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        let prompt = headers.get(names::PROMPT_PARTS).and_then(|parts| parts.to_str().ok());
        let mut ids = prompt.into_iter().flat_map(|parts| parts.split(',').rev().skip(1));
        let parts = lock(&self.ends_by_parts);
        let is_deadly = |part: &str| {
            part.split(':').next().is_some_and(|id| parts.iter().any(|deadly| deadly == id))
        };
        lock(&self.ends_by).as_ref() == Some(body) || ids.any(is_deadly)
    }

    /// Waits until it has run such a request. Whoever waits has to close it.
    pub async fn ending(&self) {
        self.ending.notified().await;
    }

    /// What reached it.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Requests dropped by the other end before their answers ended.
    #[must_use]
    pub fn dropped(&self) -> usize {
        lock(&self.dropped).len()
    }
}

impl Handler for Routed {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        let path = head.uri.to_string();
        let headers = head.headers;
        let ends = self.ends_of(&headers, &body);
        let act = || lock(&self.script).pop_front().unwrap_or_else(|| lock(&self.usual).clone());
        let act = (!ends).then(act);
        let pause = act.as_ref().and_then(Act::pause);
        let at = Instant::now();
        lock(&self.arrivals).push(Arrival { headers: headers.clone(), path, body, at, pause });
        let Some(act) = act else {
            self.ending.notify_one();
            return std::future::pending().await;
        };
        let mut work = Work { dropped: Arc::clone(&self.dropped), is_done: false };
        let places = *lock(&self.places);
        let place = Place::take(&self.working);
        let act = match places {
            Some((places, _)) if place.number >= places => {
                lock(&self.rejected).push(at);
                Act::Shed
            }
            Some((_, work)) => {
                tokio::time::sleep(work).await;
                act
            }
            None => act,
        };
        let made = act_on(act, &headers, &mut work).await?;
        drop(place);
        let mut response = match made {
            Made::Whole(response) => {
                work.done();
                response
            }
            Made::Stream(response, script, first) => response.map(|()| events(script, first, work)),
        };
        let limit = lock(&self.per_second).and_then(|rate| rate.to_string().parse().ok());
        if let Some(limit) = limit {
            response.headers_mut().insert(names::RATE_LIMIT, limit);
        }
        if let Some(places) = places {
            let working = self.working.load(Ordering::Relaxed);
            let load = format!("{working},0,{}", places.0).parse();
            response
                .headers_mut()
                .extend(load.ok().map(|load| (HeaderName::from_static(names::LOAD), load)));
        }
        if let Some(per_second) = *lock(&self.tolerance) {
            response.headers_mut().insert(names::REJECTION_TOLERANCE, per_second.into());
        }
        if self.leaves.load(Ordering::Relaxed) {
            response.headers_mut().insert(names::LEAVING, reply::value("1"));
        }
        Ok(response)
    }
}

enum Made {
    Whole(Response<Body>),
    Stream(Response<()>, Script, u64),
}

async fn act_on(act: Act, headers: &HeaderMap, work: &mut Work) -> Result<Made, Cut> {
    let id = headers.get(names::REQUEST_ID).cloned();
    let sign = |mut response: Response<Body>| {
        if let Some(id) = id.clone() {
            response.headers_mut().insert(names::REQUEST_ID, id);
        }
        response.headers_mut().insert(names::SIGNATURE, reply::value("a.1.2"));
        response
    };
    let status = |status: u16| StatusCode::from_u16(status).unwrap_or_default();
    Ok(Made::Whole(match act {
        Act::Answer(code) => sign(reply::bytes(status(code), "answer")),
        Act::AnswerOther => {
            let mut response = sign(reply::bytes(StatusCode::OK, "another's answer"));
            response.headers_mut().insert(names::REQUEST_ID, reply::value("another"));
            response
        }
        Act::Unsigned => {
            let mut response = sign(reply::bytes(StatusCode::OK, "anybody's answer"));
            response.headers_mut().remove(names::SIGNATURE);
            response
        }
        Act::Shed => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::value("1"));
            response
        }
        Act::Pause(retry_after) => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::value("1"));
            response.headers_mut().insert(RETRY_AFTER, reply::value(retry_after));
            response
        }
        Act::Misdirected => reply::bytes(StatusCode::MISDIRECTED_REQUEST, ""),
        Act::Reset => {
            work.done();
            return Err(Cut);
        }
        Act::Silence => std::future::pending().await,
        Act::Stream(script) => {
            let last = headers.get(names::LAST_EVENT).and_then(|last| last.to_str().ok());
            let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or_default();
            let mut response = sign(reply::bytes(StatusCode::OK, "")).map(|_| ());
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, reply::value("text/event-stream"));
            if let Some(confidence) = script.confidence {
                headers.insert(names::CONFIDENCE, u16::from(confidence).into());
            }
            return Ok(Made::Stream(response, script, last + 1));
        }
    }))
}

fn events(script: Script, first: u64, work: Work) -> Body {
    let pieces = stream::unfold((first, work), move |(id, mut work)| {
        let script = script.clone();
        async move {
            if id > script.events && id < CUT {
                work.done();
                return None;
            }
            if id > first {
                tokio::time::sleep(script.pause).await;
            }
            if id == first + 1 {
                tokio::time::sleep(script.held_up).await;
            }
            match () {
                () if id < CUT && script.silent_after.is_some_and(|last| id > last) => {
                    std::future::pending().await
                }
                () if id == CUT => {
                    work.done();
                    Some((Err(Cut), (CUT, work)))
                }
                // The half event goes out first, then the connection is cut.
                () if script.cut_in == Some(id) => {
                    let half = Frame::data(Bytes::from(format!("id: {id}\nda")));
                    Some((Ok(half), (CUT, work)))
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
