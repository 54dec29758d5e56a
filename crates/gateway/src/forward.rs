//! Takes requests that other hosts pass on, which reach no backend server.
//!
//! The host that has the caller counts the request's tries, and decides what follows on one. A host that it
//! is passed on to makes a single try: it finds route, account and place, and sends it to one backend
//! server. Were it to make more, a lost answer or a silent connection would leave the first one with a
//! count that is too low. It passes requests on to no third host, so that two that are cut off don't ask
//! each other in turn.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use entry::answer::Answer;
use entry::callers::{Bounds, Handler};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::name::Name;
use wire::forward::{
    ATTEMPTS, FAILED_SERVERS, HOST_UNAVAILABLE, IN_FLIGHT, MODEL_INDEX, NUMBER, REQUEST_HEADERS,
    SERVER, SERVER_ENDED, VERSION,
};
use wire::refusal::{Code, Refusal};

use crate::backend::Found;
use crate::codec::Codec;
use crate::handle;
use crate::job::Job;
use crate::recall::{self, Question, Registered};
use crate::refuse;
use crate::state::State;

/// Takes what other hosts pass on.
pub struct Port<C>(pub Arc<State<C>>);

impl<C: Codec> Handler for Port<C> {
    async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<Answer> {
        let state = &self.0;
        if let Some(question) = Question::read(request.headers()) {
            return recall::response(state.registry.answer(question));
        }
        let registered =
            number(request.headers(), NUMBER).map(|number| state.registry.enter(number));
        let forwarded = Forwarded { registered, ..Forwarded::take(request.headers_mut()) };
        let recalled = forwarded.registered.as_ref().map(Registered::recalled);
        let id = state.codec.ask(request.headers()).id;
        tokio::select! {
            response = handle::answer(state, request, Some(forwarded)) => response,
            // Dropped with its connection to the backend server, which stops the work there.
            () = recalled.unwrap_or_default().cancelled_owned() => {
                refuse::response(&state.codec, &id, refuse::recalled())
            }
        }
    }

    fn bounds(&self) -> Bounds {
        self.0.bounds()
    }
}

/// A request of another host's caller.
#[derive(Default)]
pub struct Forwarded {
    /// Backend servers that it was sent to before.
    pub sent: u32,
    /// Those that it is not sent to again.
    pub tried: Vec<Name>,
    /// Index of the model that is asked, if its host has chosen one.
    pub model: Option<usize>,
    /// The version that it stays on.
    pub version: Option<Name>,
    /// Its entry among the requests of other hosts that are under way here.
    pub registered: Option<Registered>,
}

impl Forwarded {
    /// Takes what its host says of it out of its headers.
    fn take(headers: &mut HeaderMap) -> Self {
        let tried = text(headers, FAILED_SERVERS).unwrap_or_default();
        let forwarded = Self {
            sent: number(headers, ATTEMPTS).unwrap_or_default(),
            tried: tried.split(',').filter(|id| !id.is_empty()).map(Name::from).collect(),
            model: number(headers, MODEL_INDEX),
            version: text(headers, VERSION).map(Name::from),
            registered: None,
        };
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        forwarded
    }
}

/// What another host learns of a request that it has passed on here.
pub fn describe<C: Codec>(job: &Job<C>, headers: &mut HeaderMap) {
    let in_flight = job.state.in_flight.load(Ordering::Relaxed);
    headers.insert(IN_FLIGHT, HeaderValue::from(in_flight));
    headers.insert(ATTEMPTS, HeaderValue::from(job.tries.sent));
    let server = job.tries.backend.as_ref();
    if let Some(server) = server.and_then(|server| HeaderValue::from_str(server).ok()) {
        headers.insert(SERVER, server);
    }
}

/// The same of one that is refused: also whether a server ended under it.
pub async fn describe_refused<C: Codec>(job: &mut Job<C>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    describe(job, &mut headers);
    let broke_at = job.tries.broke_at.take();
    if let Some(server) = broke_at
        && job.state.look(&server).await == Found::Ended
    {
        headers.insert(SERVER_ENDED, HeaderValue::from_static("1"));
    }
    headers
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
        response.headers_mut().insert(HOST_UNAVAILABLE, HeaderValue::from_static("1"));
    }
    response
}

/// A header's text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's number.
#[must_use]
pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}
