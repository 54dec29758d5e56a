//! Receives requests: finds route and account, reads the body and has the request carried.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use entry::answer::Answer;
use entry::body::Fault;
use entry::call;
use entry::callers::{Bounds, Handler};
use entry::clock;
use entry::progress::Progress;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::name::Name;
use policy::place::{hash, mix};
use policy::{bootstrap, detour};
use wire::refusal::Refusal;
use wire::routing::{Route, Target};

use crate::carry::AcceptedAnswer;
use crate::codec::{Codec, RequestInfo};
use crate::end::{self, End, RelayProgress};
use crate::forward::ForwardedRequest;
use crate::index::{Index, IndexedRoute};
use crate::job::{Attempts, Job};
use crate::state::State;
use crate::{forward, refuse, relay};

/// How much longer than callers' idle timeout a connection is kept, so that a request sent in the
/// last moment does not meet its close.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// Callers that pause for longer than this while they send a body are cut off.
const BODY_SLOW_MS: u64 = 3_000;

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another host, which reaches no backend server.
    Host,
}

/// A refusal, and the headers that report on the request to the host that passed it on.
struct Refused {
    refusal: Refusal,
    headers: HeaderMap,
}

impl From<Refusal> for Refused {
    /// The refusal of a request that was not carried.
    fn from(refusal: Refusal) -> Self {
        Self { refusal, headers: HeaderMap::new() }
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<C>(Arc<State<C>>);

impl<C> Drop for InFlightGuard<C> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is known of a request before its body is read.
struct Admission {
    indexed: Arc<IndexedRoute>,
    account: Option<Name>,
    priority: u8,
    body_bytes: usize,
}

impl<C: Codec> Handler for State<C> {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer> {
        answer(&self, request, None).await
    }

    fn bounds(&self) -> Bounds {
        let limits = &self.snapshot.load().index.limits;
        Bounds {
            header_bytes: limits.header_bytes,
            idle: Duration::from_millis(limits.idle_ms) + IDLE_SLACK,
        }
    }

    fn accepts_connection(&self) -> bool {
        self.shed.accepts(clock::steady())
    }

    fn watch(&self) -> Option<Arc<Progress>> {
        Some(Arc::default())
    }
}

/// Answers one request of a caller or of another host.
pub async fn answer<C: Codec>(
    state: &Arc<State<C>>,
    request: Request<Incoming>,
    forwarded: Option<ForwardedRequest>,
) -> Response<Answer> {
    let origin = if forwarded.is_some() { Origin::Host } else { Origin::Caller };
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    let _counted = InFlightGuard(Arc::clone(state));
    let info = state.codec.request_info(request.headers());
    let id = info.id.clone();
    let mut response = match serve(state, info, request, forwarded).await {
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
            if is_misdirected { forward::mark_misdirected(state, response) } else { response }
        }
    };
    if state.stop.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve<C: Codec>(
    state: &Arc<State<C>>,
    info: RequestInfo,
    request: Request<Incoming>,
    forwarded: Option<ForwardedRequest>,
) -> Result<Response<Answer>, Refused> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    if forwarded.is_none() {
        wait_for_start(state, info.patience_ms).await;
    }
    let admission = admit(&state.snapshot.load().index, &info, &head.headers, head.uri.path())?;
    let bounds = wire::settings::Bounds {
        body_bytes: admission.body_bytes,
        slow_ms: BODY_SLOW_MS,
        ..wire::settings::Bounds::default()
    };
    let route = &admission.indexed.route;
    let wait_ms = info.patience_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let deadline = started + Duration::from_millis(wait_ms);
    let holder = state.buffers.open(head.extensions.get().cloned());
    holder.set_deadline(deadline);
    let mut charge = holder.charge(0);
    let body = tokio::select! {
        body = call::read_body_through(&mut charge, body, &bounds) => body,
        () = state.ending.cancelled() => return Err(refuse::stopping().into()),
    };
    let body = body.map_err(|fault| match fault {
        Fault::NoMemory(_) => refuse::no_memory(rand::random()),
        fault => call::refusal(fault),
    })?;
    let body = charge.hold(body);
    let subject = info.session.as_ref().unwrap_or(&info.id);
    let service = choose_service(route, subject);
    let attempts_max = forwarded
        .as_ref()
        .map_or(route.attempts_max, |forwarded| forwarded.sent + detour::FORWARDED_ATTEMPTS);
    let origin = if forwarded.is_some() { Origin::Host } else { Origin::Caller };
    let forwarded = forwarded.unwrap_or_default();
    let largest = route.models.len().saturating_sub(1);
    let attempts = Attempts {
        sent: forwarded.sent,
        excluded: forwarded.excluded,
        model: forwarded.model.unwrap_or_default().min(largest),
        version: forwarded.version,
        ..Attempts::default()
    };
    let account = admission.account.as_ref();
    let run = state.running.register(&info.id, &service, account, started);
    let mut job = Job {
        state: Arc::clone(state),
        run: Some(run),
        service,
        info,
        method: head.method,
        path: head.uri,
        headers: head.headers,
        body,
        account: admission.account,
        priority: admission.priority,
        started,
        deadline,
        holder,
        indexed: admission.indexed,
        fingerprint: OnceLock::new(),
        origin,
        attempts_max,
        registration: forwarded.registration,
        attempts,
    };
    let ending = state.ending.clone();
    let answered = tokio::select! {
        answered = job.answer() => answered,
        // Dropping the attempt closes its connection, which stops the backend server's work.
        () = ending.cancelled() => Err(job.refused_at_the_end()),
    };
    match answered {
        Ok(AcceptedAnswer::Whole(head, bytes)) => {
            end::log(&job, End::Answered, RelayProgress::default());
            let headers = answer_headers(&job, &head);
            Ok(response(head.status, headers, Answer::whole(bytes)))
        }
        Ok(AcceptedAnswer::Stream(head, live)) => {
            let headers = answer_headers(&job, &head);
            Ok(response(head.status, headers, relay::start(job, live)))
        }
        Err(refusal) => {
            end::log(&job, End::Refused(refusal.code.status()), RelayProgress::default());
            let headers = match job.origin {
                Origin::Caller => HeaderMap::new(),
                Origin::Host => forward::refusal_report_headers(&mut job).await,
            };
            Err(Refused { refusal, headers })
        }
    }
}

/// The headers of an answer that is passed on.
fn answer_headers<C: Codec>(job: &Job<C>, head: &Parts) -> HeaderMap {
    let mut headers = job.state.codec.caller_headers(head);
    if job.origin != Origin::Caller {
        forward::add_report_headers(job, &mut headers);
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
/// When all hosts of a failure domain are restarted together, callers' connections reach them
/// before they are ready. A refusal would cost such a caller its retry and half a second, for want
/// of a table that is there ten milliseconds later. While the store can't be read, requests don't
/// wait.
async fn wait_for_start<C>(state: &State<C>, patience_ms: Option<u64>) {
    if !state.snapshot.load().is_complete {
        let longest = Duration::from_millis(bootstrap::request_wait_ms(patience_ms));
        // Whether the store was read or not, what is known by then decides.
        let _ = tokio::time::timeout(longest, state.started.cancelled()).await;
    }
}

fn admit(
    index: &Index,
    info: &RequestInfo,
    headers: &HeaderMap,
    path: &str,
) -> Result<Admission, Refusal> {
    if index.version == 0 {
        return Err(refuse::not_ready());
    }
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let indexed = index.route(host, path).ok_or_else(refuse::no_route)?;
    let account = info.key.as_ref().and_then(|key| index.account(key));
    if account.is_none() && index.has_accounts() && !indexed.route.anonymous {
        return Err(refuse::unknown_key());
    }
    let priority = account.and_then(|account| account.priority).unwrap_or(indexed.route.priority);
    Ok(Admission {
        indexed: Arc::clone(indexed),
        account: account.map(|account| account.name.clone()),
        priority,
        body_bytes: index.limits.body_bytes,
    })
}

/// Chooses one of a route's services by weight. Requests of one session go to the same service.
#[must_use]
pub fn choose_service(route: &Route, subject: &Name) -> Name {
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
