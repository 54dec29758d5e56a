//! Stand-in for a plain service: its answers name the call that they belong to, and it counts
//! orders, so that repeated ones are visible.

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
    /// The settings of a plain service.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Name of the service.
        pub name: Name,
        /// Seed of the random draws.
        pub seed: u64,
        /// The number of requests that the service accepts at once.
        pub capacity: Capacity,
        /// Time that one call takes, in milliseconds.
        pub service_ms: u64,
        /// Faults that are in force from the start.
        pub faults: Faults,
    }

    /// The answer to a call.
    pub struct Echo {
        /// Name of the service.
        pub service: Name,
        /// Method and path of the call, with its query.
        pub call: Name,
        /// Digest of the call's body.
        pub digest: Name,
        /// Id of the request that the answer was made for.
        pub request: Name,
    }
}

/// The state of a plain service.
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

/// Starts a plain service.
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
            _ => self.call(request).await.map(|answer| self.with_leaving_header(answer)),
        }
    }
}

impl Service {
    /// Number of times that each order took effect, by the digest of its body. An order is any call
    /// but a read (`GET`, `HEAD` or `OPTIONS`).
    #[must_use]
    pub fn orders(&self) -> BTreeMap<Name, u64> {
        let mut orders = BTreeMap::new();
        let read_methods = ["GET ", "HEAD ", "OPTIONS "];
        let is_read = |run: &Run| read_methods.iter().any(|method| run.call.starts_with(method));
        for run in self.runs().into_iter().filter(|run| run.has_begun() && !is_read(run)) {
            *orders.entry(run.digest).or_default() += 1;
        }
        orders
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let id = Name::from(reply::header(&request, REQUEST_ID));
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let call = Name::from(format!("{} {path}", request.method()));
        let is_head = request.method() == Method::HEAD;
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
            Err(rejected) => return rejected,
        };
        let wait_ms = self.settings.service_ms + self.faults().delay_ms;
        backend::sleep(Duration::from_millis(wait_ms)).await;
        ticket.before_header().await?;
        let faults = ticket.faults();
        let request = if faults.crossed { self.crossed_request(&ticket) } else { id };
        let echo = Echo { service: self.settings.name.clone(), call, digest, request };
        let mut response = match faults.error {
            true => {
                ticket.end(Outcome::Failed);
                reply::status(StatusCode::INTERNAL_SERVER_ERROR)
            }
            false if is_head => {
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
            Ok(id) if !faults.no_echo => {
                response.headers_mut().insert(REQUEST_ID, id);
            }
            _ => {}
        }
        Ok(response)
    }
}
