//! Passes requests on to other hosts, where this one reaches no backend server.
//!
//! Each is one kind of place to try. The other host makes a single try and tells what became of it; what
//! it doesn't tell counts as a try that was made.

use std::sync::Arc;
use std::time::Instant;

use entry::clock;
use entry::connection::{Cause, Connection};
use entry::server::Lease;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::detour;
use policy::name::Name;
use policy::time::Millis;
use wire::forward::{
    ATTEMPTS, FAILED_SERVERS, HOST_UNAVAILABLE, IN_FLIGHT, MODEL_INDEX, NUMBER, REQUEST_HEADERS,
    SERVER, SERVER_ENDED, VERSION,
};
use wire::refusal::{Code, Ran, Refusal};

use crate::attempt::{self, Failure, Reply};
use crate::backend::Backend;
use crate::codec::{Codec, Load};
use crate::forward::{number, text};
use crate::handle::Origin;
use crate::job::Job;
use crate::recall::Forwarding;

/// Connections to backend servers that stay silent for one request before it goes by another host.
const SILENT_MAX: u32 = 2;

/// What another host says beside an answer.
struct Said {
    /// The start of the server that it was last sent to.
    server: Option<Name>,
    /// Servers that the request was sent to; none if the host says nothing of it.
    sent: Option<u32>,
    /// Requests under way there.
    load: Option<u32>,
    /// The server ended under it.
    has_ended: bool,
}

impl Said {
    /// Takes it out of the headers: it is not for the caller.
    fn take(headers: &mut HeaderMap) -> Self {
        let said = Self {
            server: text(headers, SERVER).map(Name::from),
            sent: number(headers, ATTEMPTS),
            load: number(headers, IN_FLIGHT),
            has_ended: headers.contains_key(SERVER_ENDED),
        };
        for name in [SERVER, ATTEMPTS, IN_FLIGHT, SERVER_ENDED] {
            headers.remove(name);
        }
        said
    }
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

    /// Passes the request on to another host and waits for the head of its answer; counts the try that
    /// was made there, or may have been.
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
        self.tries.was_tried = false;
        self.tries.backend = None;
        let mut connection = attempt::open(self, host).await?;
        let mut forwarding = Forwarding::new(host, &self.ask.id);
        let request = self.forwarded(last_event, &forwarding);
        let request = request.ok_or(Failure::Unsent(Cause::Broken))?;
        let lease = Lease::new(Arc::clone(&host.server));
        let (sent_at, sent) = (Instant::now(), clock::steady());
        let answered = tokio::select! {
            answered = attempt::patient(self, host, connection.send(request, self.left())) => answered,
            () = forwarding.lost(last_event) => Err(Failure::Lost(Cause::Silent)),
        };
        let response = match answered {
            Ok(response) => response,
            Err(failure) => {
                match failure {
                    Failure::Lost(_) => {
                        self.tries.sent = detour::spent(self.tries.sent, detour::LENT, None);
                        self.tries.was_tried = true;
                    }
                    _ => forwarding.end(),
                }
                return Err(failure);
            }
        };
        self.heard(host, response, (connection, lease, forwarding), (sent_at, sent))
    }

    /// Another host has answered.
    fn heard(
        &mut self,
        host: &Arc<Backend>,
        response: Response<Incoming>,
        (connection, lease, mut forwarding): (Connection, Lease, Forwarding),
        (sent_at, sent): (Instant, Millis),
    ) -> Result<Reply, Failure> {
        let now = clock::steady();
        let (mut head, body) = response.into_parts();
        host.heard(now);
        let passed = Said::take(&mut head.headers);
        if let Some(requests) = passed.load {
            host.note_load(Load { requests, slots: 0 }, now);
        }
        let said = self.state.codec.head(head.status, &head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let lent = if is_misdirected { 0 } else { detour::LENT };
        let tries = detour::spent(self.tries.sent, lent, passed.sent);
        self.tries.was_tried = tries > self.tries.sent;
        self.tries.sent = tries;
        log::info!(target: "route", request:% = self.ask.id, host:% = host.id,
            server:% = passed.server.as_deref().unwrap_or_default(),
            status = head.status.as_u16(), sent = tries; "request went by another host");
        let outcome = if is_misdirected { "misdirected" } else { "answered" };
        metrics::counter!("gateway_detours_total", "outcome" => outcome).increment(1);
        if self.tries.was_tried {
            self.note_tried(host, passed.server, passed.has_ended);
        }
        let is_refused = !said.is_signed;
        if is_refused {
            forwarding.end();
        }
        match () {
            () if is_misdirected => {
                Err(Failure::NotRun { misdirected: head.headers.contains_key(HOST_UNAVAILABLE) })
            }
            () if said.id.as_ref().is_some_and(|id| *id != self.ask.id) => {
                Err(Failure::Lost(Cause::Crossed))
            }
            () if is_refused && self.tries.was_tried => Err(self.failed_elsewhere(&head)),
            () => {
                if let Some(server) = self.tries.backend.as_ref().and_then(|id| self.backend(id)) {
                    attempt::note_statement(self, &server, &said, sent);
                    self.tries.version = Some(server.version.clone());
                }
                let first_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
                Ok(Reply {
                    head,
                    said,
                    body,
                    connection,
                    lease,
                    backend: Arc::clone(host),
                    sent_at,
                    first_ms,
                    expected_ms: first_ms,
                    forwarding: Some(forwarding),
                })
            }
        }
    }

    /// The other host has sent it to a server: it serves, and may be asked again for the next try, which
    /// is not to go to the same server.
    fn note_tried(&mut self, host: &Backend, server: Option<Name>, has_ended: bool) {
        self.tries.hosts -= 1;
        self.tries.tried.retain(|tried| *tried != host.id);
        self.tries.backend = server;
        let server = self.tries.backend.as_ref().and_then(|id| self.backend(id));
        if let Some(server) = server.filter(|_| has_ended) {
            self.note_ended_under(&server);
        }
    }

    /// What a server's failure behind another host comes to.
    fn failed_elsewhere(&mut self, head: &Parts) -> Failure {
        let refusal = refusal(head);
        match refusal.ran {
            Ran::No => {
                self.tries.not_run += 1;
                self.tries.elsewhere = Some(refusal);
                Failure::NotRun { misdirected: false }
            }
            _ => Failure::Lost(Cause::Failed(head.status.as_u16())),
        }
    }

    /// The request for another host: as the caller sent it, with what is known of it here.
    fn forwarded(
        &self,
        last_event: Option<u64>,
        forwarding: &Forwarding,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let left_ms = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let mut headers = self.state.codec.forward_to_host(&self.headers, left_ms, last_event);
        headers.insert(HOST, self.headers.get(HOST)?.clone());
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        let tried: Vec<&str> = self.tries.failed_at.iter().map(Name::as_str).collect();
        let mut tell = |name, value: HeaderValue| {
            headers.insert(HeaderName::from_static(name), value);
        };
        tell(ATTEMPTS, HeaderValue::from(self.tries.sent));
        tell(FAILED_SERVERS, HeaderValue::from_str(&tried.join(",")).ok()?);
        tell(NUMBER, HeaderValue::from(forwarding.number()));
        if !self.route().models.is_empty() {
            tell(MODEL_INDEX, HeaderValue::from(self.tries.model));
        }
        if let Some(version) = &self.tries.version {
            tell(VERSION, HeaderValue::from_str(version).ok()?);
        }
        *request.headers_mut() = headers;
        Some(request)
    }

    /// The refusal of another host that did not try the request, as its caller gets it.
    #[must_use]
    pub fn refused_elsewhere(&self, reply: &Reply) -> Refusal {
        match refusal(&reply.head) {
            // The other host knows nothing of what was tried here.
            Refusal { ran: Ran::No, .. } if self.tries.may_have_run => self.refusal(),
            refusal => refusal,
        }
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
    let seconds: Option<f64> = number(&head.headers, RETRY_AFTER.as_str());
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
