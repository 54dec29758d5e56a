//! Requests on their way by another host: passed on by the one that reaches no backend server, taken by
//! the one that does.
//!
//! The other host does all of a host's work for them: it finds route, account and model, and tries
//! backend servers. It passes them on to no third host, so that two that are cut off don't ask each other
//! in turn. Its answer is the caller's, or says that another host is to be asked.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use entry::answer::Answer;
use entry::callers::{Bounds, Handler};
use entry::clock;
use entry::connection::Cause;
use entry::server::Lease;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::detour;
use policy::name::Name;
use wire::forward::{AWAY, LOAD, SERVER, TRIES};
use wire::refusal::{Code, Ran, Refusal};
use wire::routing::Kind;

use crate::attempt::{self, Failure, Reply};
use crate::backend::Backend;
use crate::carry::Accepted;
use crate::codec::{Codec, Load};
use crate::handle::{self, Origin};
use crate::job::Job;
use crate::relay::Live;
use crate::state::State;

/// Connections to backend servers that stay silent for one request before it goes by another host.
const SILENT_MAX: u32 = 2;

/// Takes what other hosts pass on.
pub struct Port<C>(pub Arc<State<C>>);

impl<C: Codec> Handler for Port<C> {
    async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<Answer> {
        let sent = request.headers_mut().remove(TRIES).and_then(|sent| number(&sent));
        handle::answer(&self.0, request, Origin::Host { sent: sent.unwrap_or_default() }).await
    }

    fn bounds(&self) -> Bounds {
        self.0.bounds()
    }
}

/// What another host learns of a request that it has passed on here.
pub fn describe<C: Codec>(job: &Job<C>, headers: &mut HeaderMap) {
    let in_flight = job.state.in_flight.load(Ordering::Relaxed);
    headers.insert(LOAD, HeaderValue::from(in_flight));
    headers.insert(TRIES, HeaderValue::from(job.tries.sent));
    let server = job.tries.backend.as_ref();
    if let Some(server) = server.and_then(|server| HeaderValue::from_str(server).ok()) {
        headers.insert(SERVER, server);
    }
}

/// Whether a refusal is this host's own doing, so that another one may do better.
#[must_use]
pub fn is_for_another_host(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        Code::NoBackend
            | Code::NotReady
            | Code::NotFound
            | Code::UnknownAccount
            | Code::ShuttingDown
    )
}

/// The refusal of a request that another host is to be asked for.
#[must_use]
pub fn misdirected<C>(state: &State<C>, mut response: Response<Answer>) -> Response<Answer> {
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    if state.reach.is_isolated() || !state.world.load().is_complete {
        response.headers_mut().insert(AWAY, HeaderValue::from_static("1"));
    }
    response
}

/// What another host says beside an answer.
struct Said {
    /// The start of the server whose answer it is.
    server: Option<Name>,
    /// Servers that the request was sent to.
    sent: u32,
    /// Requests under way there.
    load: Option<u32>,
}

impl Said {
    /// Takes it out of the headers: it is not for the caller.
    fn take(headers: &mut HeaderMap) -> Self {
        let server = headers.remove(SERVER);
        Self {
            server: server.and_then(|server| server.to_str().ok().map(Name::from)),
            sent: headers.remove(TRIES).and_then(|sent| number(&sent)).unwrap_or_default(),
            load: headers.remove(LOAD).and_then(|load| number(&load)),
        }
    }
}

fn number(value: &HeaderValue) -> Option<u32> {
    value.to_str().ok()?.parse().ok()
}

/// What another host's answer comes to.
pub enum Forwarded {
    /// The caller gets it.
    Accepted(Accepted),
    /// The host refuses the request, as any other would.
    Refused(Refusal),
}

impl<C: Codec> Job<C> {
    /// Whether this request is tried by way of another host before any backend server.
    #[must_use]
    pub fn prefers_detour(&self) -> bool {
        self.state.reach.is_isolated() || self.tries.unsent >= SILENT_MAX
    }

    /// The host that the request goes by next; none if it may go by none.
    pub fn next_host(&self) -> Option<Arc<Backend>> {
        if !self.may_detour() {
            return None;
        }
        let chosen = self.state.helpers.choose(&self.tries.tried, rand::random(), clock::steady());
        if chosen.is_none() {
            self.state.helpers.wanted.notify_one();
        }
        chosen
    }

    /// Whether it may go by another host, and one is known that takes it.
    #[must_use]
    pub fn has_host(&self) -> bool {
        let now = clock::steady();
        self.may_detour() && self.state.helpers.has_untried(&self.tries.tried, now)
    }

    /// Whether it may go by another host: it has come from none, and servers of its service that could
    /// answer it are out of reach.
    fn may_detour(&self) -> bool {
        let world = self.state.world.load();
        let Some(pool) = world.pools.get(&self.service) else { return false };
        let now = clock::steady();
        let is_out_of_reach = || {
            self.state.reach.is_isolated()
                || self.tries.unsent + self.tries.refused > 0
                || pool.backends.iter().any(|backend| backend.server.is_ill(now))
        };
        let may_detour = self.origin == Origin::Caller && self.tries.hosts < detour::TRIES_MAX;
        may_detour && !pool.backends.is_empty() && is_out_of_reach()
    }

    /// Passes the request on to another host and waits for the head of its answer.
    ///
    /// # Errors
    /// [`Failure`]; [`Failure::NotRun`] if another host is to be asked, "misdirected" if this one takes no
    /// requests at all.
    pub async fn forward(
        &mut self,
        host: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        self.tries.hosts += 1;
        self.tries.tried.push(host.id.clone());
        let mut connection = attempt::open(self, host).await?;
        if self.tries.hosts == 1 && self.tries.sent == 0 {
            self.window(|window, allowance| window.forwarded(allowance, clock::steady()));
        }
        let request = self.forwarded(last_event).ok_or(Failure::Unsent(Cause::Broken))?;
        let lease = Lease::new(Arc::clone(&host.server));
        let (sent_at, sent) = (Instant::now(), clock::steady());
        let response = connection.send(request, self.left());
        let response = attempt::patient(self, host, response).await?;
        let (mut head, body) = response.into_parts();
        host.heard(clock::steady());
        let passed = Said::take(&mut head.headers);
        if let Some(requests) = passed.load {
            host.note_load(Load { requests, slots: 0 }, clock::steady());
        }
        let is_refused = head.status == StatusCode::MISDIRECTED_REQUEST;
        let said = self.state.codec.head(head.status, &head.headers);
        log::info!(target: "route", request:% = self.ask.id, host:% = host.id,
            server:% = passed.server.as_deref().unwrap_or_default(),
            status = head.status.as_u16(), sent = passed.sent; "request went by another host");
        let outcome = if is_refused { "misdirected" } else { "answered" };
        metrics::counter!("gateway_detours_total", "outcome" => outcome).increment(1);
        if is_refused {
            return Err(Failure::NotRun { misdirected: head.headers.contains_key(AWAY) });
        }
        if said.id.as_ref().is_some_and(|id| *id != self.ask.id) {
            return Err(Failure::Lost(Cause::Crossed));
        }
        self.tries.sent = self.tries.sent.max(passed.sent);
        let server = passed.server.as_ref().and_then(|server| self.backend(server));
        if let Some(server) = server {
            attempt::note_statement(self, &server, &said, sent);
        }
        self.tries.backend = passed.server;
        let first_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
        let (backend, expected_ms) = (Arc::clone(host), first_ms);
        Ok(Reply { head, said, body, connection, lease, backend, sent_at, first_ms, expected_ms })
    }

    /// The request for another host: as the caller sent it.
    fn forwarded(&self, last_event: Option<u64>) -> Option<Request<Full<bytes::Bytes>>> {
        let left_ms = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() =
            self.state.codec.forward_to_host(&self.headers, left_ms, last_event);
        request.headers_mut().insert(HOST, self.headers.get(HOST)?.clone());
        let tries = HeaderName::from_static(TRIES);
        request.headers_mut().insert(tries, HeaderValue::from(self.tries.sent));
        Some(request)
    }

    /// What becomes of another host's answer. That host has tried what there is to try.
    ///
    /// # Errors
    /// The answer broke; the request may have run.
    pub async fn judge_forwarded(&mut self, reply: Reply) -> Result<Forwarded, Failure> {
        let status = reply.head.status;
        if !reply.said.is_signed {
            return Ok(Forwarded::Refused(match refusal(&reply.head) {
                // The other host knows nothing of what was tried here.
                Refusal { ran: Ran::No, .. } if self.tries.may_have_run => self.refusal(),
                refusal => refusal,
            }));
        }
        if self.route().kind.is_stream() && status == StatusCode::OK {
            let head = reply.head.clone();
            let live = Live::begin(self, reply, self.ask.last_event).await?;
            self.note_begun();
            return Ok(Forwarded::Accepted(Accepted::Stream(head, Box::new(live))));
        }
        let Reply { head, body, mut connection, lease, .. } = reply;
        let body = self.collect(body).await?;
        if self.route().kind == Kind::Idempotent {
            connection.mark_proven();
            lease.server.put_idle(connection);
        }
        Ok(Forwarded::Accepted(Accepted::Whole(head, body)))
    }

    /// A backend server of the request's service.
    fn backend(&self, id: &Name) -> Option<Arc<Backend>> {
        let world = self.state.world.load();
        let pool = world.pools.get(&self.service)?;
        pool.backends.iter().find(|backend| backend.id == *id).cloned()
    }
}

/// Another host's refusal, as this one tells it.
fn refusal(head: &Parts) -> Refusal {
    const WHY: &str = "refused by the host that it went by";
    let seconds = head.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds: Option<f64> = seconds.and_then(|seconds| seconds.parse().ok());
    let refusal = match head.status {
        StatusCode::SERVICE_UNAVAILABLE => Refusal::not_run(Code::Overloaded, WHY),
        StatusCode::TOO_MANY_REQUESTS => Refusal::not_run(Code::AccountLimit, WHY),
        StatusCode::REQUEST_TIMEOUT => Refusal::not_run(Code::TooSlow, WHY),
        StatusCode::PAYLOAD_TOO_LARGE => Refusal::not_run(Code::TooLarge, WHY),
        StatusCode::GATEWAY_TIMEOUT => Refusal::may_have_run(Code::DeadlinePassed, WHY),
        _ => Refusal::may_have_run(Code::BackendFailed, WHY),
    };
    match seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) {
        Some(seconds) => refusal.retry_after((seconds * 1_000.0) as u64),
        None => refusal,
    }
}
