//! The way in: route, account, body, then the request is carried.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use entry::answer::Answer;
use entry::call;
use entry::callers::{Bounds, Handler};
use entry::clock;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::name::Name;
use policy::place::{hash, mix};
use policy::{bootstrap, detour};
use wire::refusal::Refusal;
use wire::routing::{Route, Target};

use crate::carry::Accepted;
use crate::codec::{Ask, Codec};
use crate::end::{self, End, Passed};
use crate::forward::Forwarded;
use crate::index::{Index, Known};
use crate::job::{Job, Tries};
use crate::state::State;
use crate::{forward, refuse, relay};

/// A connection is kept for this much longer than callers may leave it idle, so that a request
/// that is sent in the last moment does not cross its close.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// Callers that send a body slower than this between two pieces are cut off, in milliseconds.
const BODY_SLOW_MS: u64 = 3_000;

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another host, which reaches no backend server.
    Host,
}

/// A refusal, and what the host that passed the request on learns with it.
struct Refused {
    refusal: Refusal,
    headers: HeaderMap,
}

impl From<Refusal> for Refused {
    /// Of a request that was not carried.
    fn from(refusal: Refusal) -> Self {
        Self { refusal, headers: HeaderMap::new() }
    }
}

/// A request counted as under way until dropped.
struct Counted<C>(Arc<State<C>>);

impl<C> Drop for Counted<C> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is known of a request before its body is read.
struct Entered {
    known: Arc<Known>,
    account: Option<Name>,
    priority: u8,
    body_bytes: usize,
}

impl<C: Codec> Handler for State<C> {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer> {
        answer(&self, request, None).await
    }

    fn bounds(&self) -> Bounds {
        let limits = &self.world.load().index.limits;
        Bounds {
            header_bytes: limits.header_bytes,
            idle: Duration::from_millis(limits.idle_ms) + IDLE_SLACK,
        }
    }

    fn takes_connection(&self) -> bool {
        self.shed.takes(clock::steady())
    }
}

/// Answers one request, of a caller or of another host.
pub async fn answer<C: Codec>(
    state: &Arc<State<C>>,
    request: Request<Incoming>,
    forwarded: Option<Forwarded>,
) -> Response<Answer> {
    let origin = if forwarded.is_some() { Origin::Host } else { Origin::Caller };
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    let _counted = Counted(Arc::clone(state));
    let ask = state.codec.ask(request.headers());
    let id = ask.id.clone();
    let mut response = match serve(state, ask, request, forwarded).await {
        Ok(response) => response,
        Err(Refused { refusal, headers }) => {
            let code = refusal.code.status();
            log::info!(target: "route", request:% = id, status = code,
                why:% = refusal.message, ran:? = refusal.ran, origin:? = origin,
                retry_after_ms = refusal.retry_after_ms.unwrap_or_default(); "request refused");
            metrics::counter!("gateway_refusals_total", "status" => code.to_string()).increment(1);
            let is_misdirected = origin != Origin::Caller && forward::is_for_another_host(&refusal);
            let mut response = refuse::response(&state.codec, &id, refusal);
            response.headers_mut().extend(headers);
            if is_misdirected { forward::misdirected(state, response) } else { response }
        }
    };
    if state.stop.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve<C: Codec>(
    state: &Arc<State<C>>,
    ask: Ask,
    request: Request<Incoming>,
    forwarded: Option<Forwarded>,
) -> Result<Response<Answer>, Refused> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    if forwarded.is_none() {
        wait_for_start(state, ask.patience_ms).await;
    }
    let entered = enter(&state.world.load().index, &ask, &head.headers, head.uri.path())?;
    let bounds = wire::settings::Bounds {
        body_bytes: entered.body_bytes,
        slow_ms: BODY_SLOW_MS,
        ..wire::settings::Bounds::default()
    };
    let body = call::read_body(body, &bounds).await?;
    let route = &entered.known.route;
    let wait_ms = ask.patience_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let subject = ask.session.as_ref().unwrap_or(&ask.id);
    let service = service(route, subject);
    let attempts_max = forwarded
        .as_ref()
        .map_or(route.attempts_max, |forwarded| forwarded.sent + detour::FORWARDED_ATTEMPTS);
    let origin = if forwarded.is_some() { Origin::Host } else { Origin::Caller };
    let forwarded = forwarded.unwrap_or_default();
    let largest = route.models.len().saturating_sub(1);
    let tries = Tries {
        sent: forwarded.sent,
        tried: forwarded.tried,
        model: forwarded.model.unwrap_or_default().min(largest),
        version: forwarded.version,
        ..Tries::default()
    };
    let mut job = Job {
        state: Arc::clone(state),
        service,
        ask,
        method: head.method,
        path: head.uri,
        headers: head.headers,
        body,
        account: entered.account,
        priority: entered.priority,
        started,
        until: started + Duration::from_millis(wait_ms),
        known: entered.known,
        fingerprint: OnceLock::new(),
        origin,
        attempts_max,
        registered: forwarded.registered,
        tries,
    };
    match job.answer().await {
        Ok(Accepted::Whole(head, bytes)) => {
            end::log(&job, End::Answered, Passed::default());
            let headers = headers(&job, &head);
            Ok(response(head.status, headers, Answer::whole(bytes)))
        }
        Ok(Accepted::Stream(head, live)) => {
            let headers = headers(&job, &head);
            Ok(response(head.status, headers, relay::start(job, live)))
        }
        Err(refusal) => {
            end::log(&job, End::Refused(refusal.code.status()), Passed::default());
            let headers = match job.origin {
                Origin::Caller => HeaderMap::new(),
                Origin::Host => forward::describe_refused(&mut job).await,
            };
            Err(Refused { refusal, headers })
        }
    }
}

/// The headers of an answer that is passed on.
fn headers<C: Codec>(job: &Job<C>, head: &Parts) -> HeaderMap {
    let mut headers = job.state.codec.answer(head);
    if job.origin != Origin::Caller {
        forward::describe(job, &mut headers);
    }
    headers
}

fn response(status: StatusCode, headers: HeaderMap, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Waits until this host has read what requests are decided by, if it is about to.
///
/// When all hosts of a failure domain are restarted together, callers' connections come to them
/// before they are ready. A refusal would cost such a caller its retry and half a second, for want
/// of a table that is there ten milliseconds later. While the store can't be read nobody waits.
async fn wait_for_start<C>(state: &State<C>, patience_ms: Option<u64>) {
    if !state.world.load().is_complete {
        let longest = Duration::from_millis(bootstrap::request_wait_ms(patience_ms));
        // Read or not: what is known by then decides.
        let _ = tokio::time::timeout(longest, state.started.cancelled()).await;
    }
}

fn enter(index: &Index, ask: &Ask, headers: &HeaderMap, path: &str) -> Result<Entered, Refusal> {
    if index.version == 0 {
        return Err(refuse::not_ready());
    }
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let known = index.route(host, path).ok_or_else(refuse::no_route)?;
    let account = ask.key.as_ref().and_then(|key| index.account(key));
    if account.is_none() && index.has_accounts() && !known.route.anonymous {
        return Err(refuse::unknown_key());
    }
    let priority = account.and_then(|account| account.priority).unwrap_or(known.route.priority);
    Ok(Entered {
        known: Arc::clone(known),
        account: account.map(|account| account.name.clone()),
        priority,
        body_bytes: index.limits.body_bytes,
    })
}

/// One of a route's services, by weight; requests of one session go to the same.
fn service(route: &Route, subject: &Name) -> Name {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut place = mix(hash(subject.as_bytes())) % total.max(1);
    let holds = |target: &&Target| {
        let weight = u64::from(target.weight);
        let here = place < weight;
        place = place.saturating_sub(weight);
        here
    };
    let target = route.targets.iter().find(holds).or(route.targets.first());
    target.map(|target| target.service.clone()).unwrap_or_default()
}
