//! Stand-in for a backend server of routed requests: it replies as a test sets it to, and records
//! the requests that reach it.

mod answer;
mod script;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response, StatusCode};
use platform::names;
use serde_json::{Value, json};
use tokio::sync::Notify;

use self::answer::{Answer, StoppedRuns, Work, events, respond};
pub use self::script::{Script, ScriptedCache, ScriptedCopy, ScriptedReply};
use crate::reply;
use crate::server::{Body, Cut, Handler};

/// Interval at which a call that waits for cache events looks for them.
const CACHE_POLL_INTERVAL: Duration = Duration::from_millis(5);

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
    /// Whether no slot was free, so that the request did not run.
    pub is_rejected: bool,
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
    /// The server's prefix cache; `None` if it does not know the calls about it.
    cache: Mutex<Option<ScriptedCache>>,
    /// Paths and times of the calls about the cache.
    cache_calls: Mutex<Vec<(String, Instant)>>,
    /// What the server does with the next calls for copies. It makes all copies after these.
    copies: Mutex<VecDeque<ScriptedCopy>>,
    /// Calls for copies, as their bodies, and handles that were freed.
    copy_calls: Mutex<(Vec<Value>, Vec<String>)>,
    stopped: StoppedRuns,
    /// The time until the server leaves that its report tells; `None` if it does not.
    leaves_ms: Mutex<Option<u64>>,
    /// Times when requests were dropped before their answers ended.
    dropped_at: Arc<Mutex<Vec<Instant>>>,
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
            cache: Mutex::default(),
            cache_calls: Mutex::default(),
            copies: Mutex::default(),
            copy_calls: Mutex::default(),
            stopped: Arc::default(),
            leaves_ms: Mutex::default(),
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

    /// Changes the server's prefix cache, which exists from the first change on.
    pub fn change_cache(&self, change: impl FnOnce(&mut ScriptedCache)) {
        change(lock(&self.cache).get_or_insert_default());
    }

    /// Paths and times of the calls about the cache, in order.
    #[must_use]
    pub fn cache_calls(&self) -> Vec<(String, Instant)> {
        lock(&self.cache_calls).clone()
    }

    /// Answers a call about the cache. A call for events waits until there are some.
    async fn answer_cache_call(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().to_string();
        lock(&self.cache_calls).push((path.clone(), Instant::now()));
        let since = path.split_once("since=").and_then(|(_, since)| since.parse::<u64>().ok());
        let wait = request.headers().get(names::WAIT_MS).and_then(|wait| wait.to_str().ok());
        let wait =
            wait.and_then(|wait| wait.parse().ok()).map_or(Duration::ZERO, Duration::from_millis);
        let until = Instant::now() + wait;
        while let Some(since) = since
            && lock(&self.cache).as_ref().is_some_and(|cache| !cache.has_events(since))
            && Instant::now() < until
        {
            tokio::time::sleep(CACHE_POLL_INTERVAL).await;
        }
        let cache = lock(&self.cache).clone();
        let Some(cache) = cache else { return reply::bytes(StatusCode::NOT_FOUND, "") };
        match (cache.status.and_then(|status| StatusCode::from_u16(status).ok()), since) {
            (Some(status), _) => reply::bytes(status, ""),
            (None, Some(since)) => {
                reply::bytes(StatusCode::OK, cache.events_json(since).to_string())
            }
            (None, None) => reply::bytes(StatusCode::OK, cache.list_json().to_string()),
        }
    }

    /// Sets the time until the server leaves that its report tells.
    pub fn report_leaving(&self, leaves_ms: u64) {
        *lock(&self.leaves_ms) = Some(leaves_ms);
    }

    /// Queues what the server does with a call for a copy.
    pub fn queue_copy(&self, copy: ScriptedCopy) {
        lock(&self.copies).push_back(copy);
    }

    /// The bodies of the calls for copies, in order.
    #[must_use]
    pub fn copy_calls(&self) -> Vec<Value> {
        lock(&self.copy_calls).0.clone()
    }

    /// The handles of the copies that were freed, in order.
    #[must_use]
    pub fn freed(&self) -> Vec<String> {
        lock(&self.copy_calls).1.clone()
    }

    /// Answers a call for a copy. The handle is made of the request's id.
    async fn answer_copy_call(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let body = reply::body(request).await?;
        let call: Value = serde_json::from_slice(&body).map_err(|_| Cut)?;
        lock(&self.copy_calls).0.push(call.clone());
        let id = call["id"].as_str().unwrap_or_default().to_owned();
        let is_last = call["last"] == true;
        let copy = lock(&self.copies).pop_front().unwrap_or(ScriptedCopy::Make);
        let runs = lock(&self.arrivals).iter().any(|one| {
            one.headers
                .get(names::REQUEST_ID)
                .is_some_and(|known| known.as_bytes() == id.as_bytes())
        });
        let status = match copy {
            ScriptedCopy::Make if runs => 200,
            ScriptedCopy::Make => 404,
            ScriptedCopy::Refuse(status) => status,
            ScriptedCopy::MakeAfter(time) => {
                tokio::time::sleep(time).await;
                200
            }
        };
        let is_stopped = is_last && matches!(status, 200 | 503);
        if is_stopped {
            lock(&self.stopped).push(id.clone());
        }
        let answer = match is_stopped || status == 200 {
            true => json!({"handle": format!("h-{id}"), "created": 1}),
            false => json!({}),
        };
        Ok(reply::json(StatusCode::from_u16(status).unwrap_or_default(), &answer))
    }

    /// When the other end dropped requests before their answers ended.
    #[must_use]
    pub fn dropped_at(&self) -> Vec<Instant> {
        lock(&self.dropped_at).clone()
    }

    /// Number of requests that the other end dropped before their answers ended.
    #[must_use]
    pub fn dropped_count(&self) -> usize {
        lock(&self.dropped_at).len()
    }
}

impl Handler for ScriptedServer {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let path = request.uri().path();
        if path == names::engine_call::EVENTS || path == names::engine_call::LIST {
            return Ok(self.answer_cache_call(&request).await);
        }
        if path == names::engine_call::REPORT {
            let report = json!({"leaves_ms": *lock(&self.leaves_ms)});
            return Ok(reply::json(StatusCode::OK, &report));
        }
        if path == names::engine_call::MOVE {
            return self.answer_copy_call(request).await;
        }
        if let Some(handle) = path.strip_prefix(names::engine_call::HANDLE) {
            lock(&self.copy_calls).1.push(handle.to_owned());
            return Ok(reply::status(StatusCode::OK));
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        let path = head.uri.to_string();
        let headers = head.headers;
        let is_crash = self.is_crashed_by(&headers, &body);
        let reply = || lock(&self.queue).pop_front().unwrap_or_else(|| lock(&self.default).clone());
        let reply = (!is_crash).then(reply);
        let retry_after = reply.as_ref().and_then(ScriptedReply::retry_after);
        let at = Instant::now();
        let slots = *lock(&self.slots);
        let slot = Slot::take(&self.in_flight);
        let is_rejected = slots.is_some_and(|(slots, _)| slot.number >= slots);
        lock(&self.arrivals).push(Arrival {
            headers: headers.clone(),
            path,
            body,
            at,
            retry_after,
            is_rejected,
        });
        let Some(reply) = reply else {
            self.crash.notify_one();
            return std::future::pending().await;
        };
        let mut work = Work { dropped_at: Arc::clone(&self.dropped_at), is_done: false };
        let reply = match slots {
            Some(_) if is_rejected => {
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
            Answer::Stream(response, script, next) => {
                let id = headers.get(names::REQUEST_ID).and_then(|id| id.to_str().ok());
                let id = id.unwrap_or_default().to_owned();
                lock(&self.stopped).retain(|stopped| *stopped != id);
                let run = (id, Arc::clone(&self.stopped));
                response.map(|()| events(script, next, work, run))
            }
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
