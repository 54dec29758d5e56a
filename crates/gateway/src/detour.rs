//! Passes requests on to other hosts while this host reaches no backend server.
//!
//! Another host is one more kind of destination for an attempt. It makes a single attempt and
//! reports what became of it. An attempt that may have been made counts as made unless the host
//! reports otherwise.

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
use crate::forward::{header_number, header_text};
use crate::handle::Origin;
use crate::job::Job;
use crate::recall::Forwarding;

/// Connections to backend servers that may fail without an answer before the request goes through
/// another host.
const SILENT_CONNECTS_MAX: u32 = 2;

/// What another host reports in the headers of its answer.
struct ForwardReport {
    /// The id of the backend server that the request was last sent to.
    server: Option<Name>,
    /// The request's attempts so far, as counted by the other host; `None` if the host doesn't say.
    sent: Option<u32>,
    /// Requests in flight at the host.
    load: Option<u32>,
    /// Whether the server ended under the request.
    has_ended: bool,
}

impl ForwardReport {
    /// Takes the report out of the headers, because callers must not receive it.
    fn take_from(headers: &mut HeaderMap) -> Self {
        let report = Self {
            server: header_text(headers, SERVER).map(Name::from),
            sent: header_number(headers, ATTEMPTS),
            load: header_number(headers, IN_FLIGHT),
            has_ended: headers.contains_key(SERVER_ENDED),
        };
        for name in [SERVER, ATTEMPTS, IN_FLIGHT, SERVER_ENDED] {
            headers.remove(name);
        }
        report
    }
}

impl<C: Codec> Job<C> {
    /// Whether the request goes through another host before it is sent to a backend server.
    #[must_use]
    pub fn prefers_detour(&self) -> bool {
        self.state.reach.is_isolated() || self.attempts.unsent >= SILENT_CONNECTS_MAX
    }

    /// Chooses the host that the request goes through next; `None` if there is none.
    pub fn next_host(&self) -> Option<Arc<Backend>> {
        let chosen = self.foresee_host();
        if chosen.is_none() && self.may_detour() {
            self.state.detour_hosts.wanted.notify_one();
        }
        chosen
    }

    /// A host that [`Self::next_host`] may choose. Nothing is requested if none is known.
    #[must_use]
    pub fn foresee_host(&self) -> Option<Arc<Backend>> {
        let hosts = &self.state.detour_hosts;
        let choose = || hosts.choose(&self.attempts.excluded, rand::random(), clock::steady());
        if self.may_detour() { choose() } else { None }
    }

    /// Whether the request may go through another host, and a host that takes it is known.
    #[must_use]
    pub fn has_host(&self) -> bool {
        let now = clock::steady();
        self.may_detour() && self.state.detour_hosts.has_untried(&self.attempts.excluded, now)
    }

    /// Whether the request may go through another host. It must have come from a caller, and
    /// servers of its service that could answer it must be out of reach.
    fn may_detour(&self) -> bool {
        let snapshot = self.state.snapshot.load();
        let Some(pool) = snapshot.pools.get(&self.service) else { return false };
        let now = clock::steady();
        let is_out_of_reach = || {
            self.state.reach.is_isolated()
                || self.attempts.unsent + self.attempts.refused > 0
                || pool.backends.iter().any(|backend| backend.server.is_ill(now))
        };
        let may_detour =
            self.origin == Origin::Caller && self.attempts.failed_detours < detour::DETOURS_MAX;
        may_detour && !pool.backends.is_empty() && is_out_of_reach()
    }

    /// Passes the request on to another host and waits for the head of its answer. Counts the
    /// attempt that was made there, or may have been made.
    ///
    /// # Errors
    /// [`Failure`]. [`Failure::NotRun`] if another host should be asked, with `misdirected` if this
    /// one takes no requests at all.
    pub async fn forward(
        &mut self,
        host: &Arc<Backend>,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        self.attempts.failed_detours += 1;
        self.attempts.excluded.push(host.id.clone());
        self.attempts.was_attempted = false;
        self.attempts.backend = None;
        let mut connection = attempt::open(self, host).await?;
        let mut forwarding = Forwarding::new(host, &self.info.id);
        let request = self.forward_request(last_event, &forwarding);
        let request = request.ok_or(Failure::Unsent(Cause::Broken))?;
        let lease = Lease::new(Arc::clone(&host.server));
        let (sent_at, sent) = (Instant::now(), clock::steady());
        let answered = tokio::select! {
            answered = attempt::wait_for_head(
                self,
                host,
                connection.send(request, self.time_left()),
            ) => answered,
            () = forwarding.wait_until_lost(last_event) => Err(Failure::Lost(Cause::Silent)),
        };
        let response = match answered {
            Ok(response) => response,
            Err(failure) => {
                match failure {
                    Failure::Lost(_) => {
                        self.attempts.sent = detour::count_attempts(
                            self.attempts.sent,
                            detour::FORWARDED_ATTEMPTS,
                            None,
                        );
                        self.attempts.was_attempted = true;
                    }
                    _ => forwarding.complete(),
                }
                return Err(failure);
            }
        };
        self.receive_answer(host, response, (connection, lease, forwarding), (sent_at, sent))
    }

    /// Handles the head of another host's answer.
    fn receive_answer(
        &mut self,
        host: &Arc<Backend>,
        response: Response<Incoming>,
        (connection, lease, mut forwarding): (Connection, Lease, Forwarding),
        (sent_at, sent): (Instant, Millis),
    ) -> Result<Reply, Failure> {
        let now = clock::steady();
        let (mut head, body) = response.into_parts();
        host.record_contact(now);
        let report = ForwardReport::take_from(&mut head.headers);
        if let Some(requests) = report.load {
            host.record_load(Load { requests, slots: 0, percent: None }, now);
        }
        let info = self.state.codec.answer_info(head.status, &head.headers);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let lent = if is_misdirected { 0 } else { detour::FORWARDED_ATTEMPTS };
        let attempts = detour::count_attempts(self.attempts.sent, lent, report.sent);
        self.attempts.was_attempted = attempts > self.attempts.sent;
        self.attempts.sent = attempts;
        log::info!(target: "route", request:% = self.info.id, host:% = host.id,
            server:% = report.server.as_deref().unwrap_or_default(),
            status = head.status.as_u16(), sent = attempts; "request sent through another host");
        let outcome = if is_misdirected { "misdirected" } else { "answered" };
        metrics::counter!("gateway_detours_total", "outcome" => outcome).increment(1);
        if self.attempts.was_attempted {
            self.record_forwarded_attempt(host, report.server, report.has_ended);
        }
        let is_refused = !info.is_signed;
        if is_refused {
            forwarding.complete();
        }
        match () {
            () if is_misdirected => {
                Err(Failure::NotRun { misdirected: head.headers.contains_key(HOST_UNAVAILABLE) })
            }
            () if info.id.as_ref().is_some_and(|id| *id != self.info.id) => {
                Err(Failure::Lost(Cause::Crossed))
            }
            () if is_refused && self.attempts.was_attempted => Err(self.failed_elsewhere(&head)),
            () => {
                if let Some(server) =
                    self.attempts.backend.as_ref().and_then(|id| self.find_backend(id))
                {
                    attempt::record_statement(self, &server, &info, sent);
                    self.attempts.version = Some(server.version.clone());
                }
                let head_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
                Ok(Reply {
                    collected: None,
                    load_class: None,
                    head,
                    info,
                    body,
                    connection,
                    lease,
                    backend: Arc::clone(host),
                    sent_at,
                    head_ms,
                    expected_ms: head_ms,
                    forwarding: Some(forwarding),
                    watched: None,
                })
            }
        }
    }

    /// Records that the other host sent the request to a server. So the host works and may be asked
    /// again for the next attempt, which must not go to the same server.
    fn record_forwarded_attempt(&mut self, host: &Backend, server: Option<Name>, has_ended: bool) {
        self.attempts.failed_detours -= 1;
        self.attempts.excluded.retain(|tried| *tried != host.id);
        self.attempts.backend = server;
        let server = self.attempts.backend.as_ref().and_then(|id| self.find_backend(id));
        if let Some(server) = server.filter(|_| has_ended) {
            self.record_crash(&server);
        }
    }

    /// The failure of an attempt that another host made.
    fn failed_elsewhere(&mut self, head: &Parts) -> Failure {
        let refusal = refusal_from(head);
        match refusal.ran {
            Ran::No => {
                self.attempts.not_run += 1;
                self.attempts.host_refusal = Some(refusal);
                Failure::NotRun { misdirected: false }
            }
            _ => Failure::Lost(Cause::Failed(head.status.as_u16())),
        }
    }

    /// The request for another host: as the caller sent it, with what this host knows of it.
    fn forward_request(
        &self,
        last_event: Option<u64>,
        forwarding: &Forwarding,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let mut headers = self.state.codec.host_headers(&self.headers, left_ms, last_event);
        headers.insert(HOST, self.headers.get(HOST)?.clone());
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        let tried: Vec<&str> = self.attempts.failed_servers.iter().map(Name::as_str).collect();
        let mut insert = |name, value: HeaderValue| {
            headers.insert(HeaderName::from_static(name), value);
        };
        insert(ATTEMPTS, HeaderValue::from(self.attempts.sent));
        insert(FAILED_SERVERS, HeaderValue::from_str(&tried.join(",")).ok()?);
        insert(NUMBER, HeaderValue::from(forwarding.number()));
        if !self.route().models.is_empty() {
            insert(MODEL_INDEX, HeaderValue::from(self.attempts.model));
        }
        if let Some(version) = &self.attempts.version {
            insert(VERSION, HeaderValue::from_str(version).ok()?);
        }
        *request.headers_mut() = headers;
        Some(request)
    }

    /// The refusal for the caller of a request that another host did not attempt.
    #[must_use]
    pub fn refused_elsewhere(&self, reply: &Reply) -> Refusal {
        match refusal_from(&reply.head) {
            // The other host does not know the attempts that were made here.
            Refusal { ran: Ran::No, .. } if self.attempts.may_have_run => self.refusal(),
            refusal => refusal,
        }
    }

    /// The backend server of the request's service with this id.
    fn find_backend(&self, id: &Name) -> Option<Arc<Backend>> {
        let snapshot = self.state.snapshot.load();
        let pool = snapshot.pools.get(&self.service)?;
        pool.backends.iter().find(|backend| backend.id == *id).cloned()
    }
}

/// Another host's refusal in this host's words.
fn refusal_from(head: &Parts) -> Refusal {
    const MESSAGE: &str = "refused by the host that it was passed to";
    let seconds: Option<f64> = header_number(&head.headers, RETRY_AFTER.as_str());
    let refusal = match head.status {
        StatusCode::SERVICE_UNAVAILABLE => Refusal::not_run(Code::Overloaded, MESSAGE),
        StatusCode::TOO_MANY_REQUESTS => Refusal::not_run(Code::AccountLimit, MESSAGE),
        StatusCode::REQUEST_TIMEOUT => Refusal::not_run(Code::TooSlow, MESSAGE),
        StatusCode::PAYLOAD_TOO_LARGE => Refusal::not_run(Code::TooLarge, MESSAGE),
        StatusCode::GATEWAY_TIMEOUT => Refusal::may_have_run(Code::DeadlinePassed, MESSAGE),
        _ => Refusal::may_have_run(Code::BackendFailed, MESSAGE),
    };
    match seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) {
        Some(seconds) => refusal.retry_after((seconds * 1_000.0) as u64),
        None => refusal,
    }
}
