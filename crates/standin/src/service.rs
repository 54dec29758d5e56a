//! Stand-in for a plain service: says what it was called with, and counts orders so that doubled
//! calls are visible.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use policy::domain;
use policy::name::Name;
use wire::backend::REQUEST_ID;

use crate::backend::{self, Backend, Capacity, Faults, Piece};
use crate::draw;
use crate::reply;
use crate::run::{Outcome, Run};
use crate::server::{self, Body, Cut, Handler, Running};

domain! {
    /// Settings of a service.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Its name.
        pub name: Name,
        /// What draws depend on.
        pub seed: u64,
        /// What it takes at once.
        pub capacity: Capacity,
        /// Time one call takes, in milliseconds.
        pub service_ms: u64,
        /// Faults from the start.
        pub faults: Faults,
    }

    /// What a call is answered with.
    pub struct Echo {
        /// The service's name.
        pub service: Name,
        /// The call's method and path with query.
        pub call: Name,
        /// Digest of the call's body.
        pub digest: Name,
        /// The request's id.
        pub request: Name,
    }
}

/// A service's state.
pub struct Service {
    settings: Settings,
    backend: Backend,
}

impl Deref for Service {
    type Target = Backend;

    fn deref(&self) -> &Backend {
        &self.backend
    }
}

/// Starts a service.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, settings: Settings) -> io::Result<Running<Service>> {
    let backend = Backend::new(settings.seed, settings.capacity.clone());
    backend.set_faults(settings.faults.clone());
    server::start(listen, Service { settings, backend })
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/load") => Ok(reply::json(StatusCode::OK, &self.load())),
            (&Method::GET, "/records") => Ok(reply::json(StatusCode::OK, &self.runs())),
            (&Method::PUT, "/faults") => {
                let body = reply::body(request).await?;
                Ok(reply::set(&body, |faults| self.set_faults(faults)))
            }
            _ => self.call(request).await.map(|answer| self.with_state(answer)),
        }
    }
}

impl Service {
    /// Orders that took effect: calls other than reads, by the digest of their body.
    #[must_use]
    pub fn orders(&self) -> BTreeMap<Name, u64> {
        let mut orders = BTreeMap::new();
        let reads = ["GET ", "HEAD ", "OPTIONS "];
        let read = |run: &Run| reads.iter().any(|method| run.call.starts_with(method));
        for run in self.runs().into_iter().filter(|run| run.has_begun() && !read(run)) {
            *orders.entry(run.digest).or_default() += 1;
        }
        orders
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let id = Name::from(reply::header(&request, REQUEST_ID));
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let call = Name::from(format!("{} {path}", request.method()));
        let head = request.method() == Method::HEAD;
        let digest = Name::from(draw::digest(reply::body(request).await?));
        let run = Run {
            order: 0,
            request: id.clone(),
            version: self.settings.name.clone(),
            call: call.clone(),
            digest: digest.clone(),
            good: true,
            outcome: Outcome::Running,
        };
        let mut ticket = match self.admit(run).await {
            Ok(ticket) => ticket,
            Err(turned_away) => return turned_away,
        };
        let wait_ms = self.settings.service_ms + self.faults().delay_ms;
        backend::wait(Duration::from_millis(wait_ms)).await;
        ticket.before_header().await?;
        let plan = ticket.plan();
        let request = if plan.crossed { self.crossed(&ticket) } else { id };
        let echo = Echo { service: self.settings.name.clone(), call, digest, request };
        let mut response = match plan.error {
            true => {
                ticket.end(Outcome::Failed);
                reply::status(StatusCode::INTERNAL_SERVER_ERROR)
            }
            false if head => {
                ticket.end(Outcome::Whole);
                reply::status(StatusCode::OK)
            }
            false => {
                let bytes = Bytes::from(serde_json::to_vec(&echo).unwrap_or_default());
                let length = bytes.len();
                let pieces = vec![Piece { pause: Duration::ZERO, bytes }];
                let mut response = Response::new(ticket.body(pieces));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
                response
            }
        };
        match HeaderValue::from_str(&echo.request) {
            Ok(id) if !plan.no_echo => {
                response.headers_mut().insert(REQUEST_ID, id);
            }
            _ => {}
        }
        Ok(response)
    }
}
