//! Receives requests that other hosts pass on because they reach no backend server.
//!
//! The host that has the caller counts the request's attempts and decides what follows. A host that
//! the request is passed to makes a single attempt: it finds route, account and backend server, and
//! sends the request there once. If it made more attempts, a lost answer or a silent connection
//! would leave the first host with a count that is too low. It does not pass the request on to a
//! third host, so that two isolated hosts don't ask each other in turn.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use entry::answer::Answer;
use entry::callers::{Bounds, Handler};
use entry::progress::Progress;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::name::Name;
use wire::forward::{
    ATTEMPTS, FAILED_SERVERS, HOST_UNAVAILABLE, IN_FLIGHT, MODEL_INDEX, NUMBER, REQUEST_HEADERS,
    SERVER, SERVER_ENDED, VERSION,
};
use wire::refusal::{Code, Refusal};

use crate::backend::Liveness;
use crate::codec::Codec;
use crate::handle;
use crate::job::Job;
use crate::recall::{self, Message, Registration};
use crate::refuse;
use crate::state::State;

/// Handles the requests that other hosts pass on.
pub struct PeerHandler<C>(pub Arc<State<C>>);

impl<C: Codec> Handler for PeerHandler<C> {
    async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<Answer> {
        let state = &self.0;
        if let Some(message) = Message::parse(request.headers()) {
            return recall::response(state.registry.handle(message));
        }
        let registration =
            header_number(request.headers(), NUMBER).map(|number| state.registry.register(number));
        let forwarded =
            ForwardedRequest { registration, ..ForwardedRequest::take_from(request.headers_mut()) };
        let recalled = forwarded.registration.as_ref().map(Registration::recalled);
        let id = state.codec.request_info(request.headers()).id;
        tokio::select! {
            response = handle::answer(state, request, Some(forwarded)) => response,
            // Dropping the answer closes the connection to the backend server, which stops the work
            // there.
            () = recalled.unwrap_or_default().cancelled_owned() => {
                refuse::response(&state.codec, &id, refuse::recalled())
            }
        }
    }

    fn bounds(&self) -> Bounds {
        self.0.bounds()
    }

    fn watch(&self) -> Option<Arc<Progress>> {
        self.0.watch()
    }
}

/// What another host says of a request that it passes on.
#[derive(Default)]
pub struct ForwardedRequest {
    /// Attempts that were made before.
    pub sent: u32,
    /// Backend servers that the request must not be sent to again.
    pub excluded: Vec<Name>,
    /// The index of the requested model, if the route has models to choose from.
    pub model: Option<usize>,
    /// The version that the request stays on.
    pub version: Option<Name>,
    /// The registration among the requests of other hosts that are in flight here.
    pub registration: Option<Registration>,
}

impl ForwardedRequest {
    /// Takes the other host's statements out of the request's headers.
    fn take_from(headers: &mut HeaderMap) -> Self {
        let excluded = header_text(headers, FAILED_SERVERS).unwrap_or_default();
        let forwarded = Self {
            sent: header_number(headers, ATTEMPTS).unwrap_or_default(),
            excluded: excluded.split(',').filter(|id| !id.is_empty()).map(Name::from).collect(),
            model: header_number(headers, MODEL_INDEX),
            version: header_text(headers, VERSION).map(Name::from),
            registration: None,
        };
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        forwarded
    }
}

/// Adds the headers that tell another host what became of the request that it passed on.
pub fn add_report_headers<C: Codec>(job: &Job<C>, headers: &mut HeaderMap) {
    let in_flight = job.state.in_flight.load(Ordering::Relaxed);
    headers.insert(IN_FLIGHT, HeaderValue::from(in_flight));
    headers.insert(ATTEMPTS, HeaderValue::from(job.attempts.sent));
    let server = job.attempts.backend.as_ref();
    if let Some(server) = server.and_then(|server| HeaderValue::from_str(server).ok()) {
        headers.insert(SERVER, server);
    }
}

/// The headers that report on a refused request: those of [`add_report_headers`], and whether a
/// server ended under the request.
pub async fn refusal_report_headers<C: Codec>(job: &mut Job<C>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    add_report_headers(job, &mut headers);
    let broke_at = job.attempts.unprobed_server.take();
    if let Some(server) = broke_at
        && job.state.probe(&server).await == Liveness::Ended
    {
        headers.insert(SERVER_ENDED, HeaderValue::from_static("1"));
    }
    headers
}

/// Whether the cause of a refusal lies with this host, so that another host may do better.
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

/// Turns a refusal into one that tells the other host to ask a third one. A host that can't serve
/// any request says so with [`AWAY`].
#[must_use]
pub fn mark_misdirected<C>(state: &State<C>, mut response: Response<Answer>) -> Response<Answer> {
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    if state.reach.is_isolated() || !state.snapshot.load().is_complete {
        response.headers_mut().insert(HOST_UNAVAILABLE, HeaderValue::from_static("1"));
    }
    response
}

/// The value of a header as text; `None` if the header is missing or not text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The value of a header as a number; `None` if the header is missing or not a number.
#[must_use]
pub fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}
