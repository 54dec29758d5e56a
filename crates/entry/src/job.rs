//! One call to a backend server, as the chain decided it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request};
use policy::name::Name;
use wire::backend::REQUEST_ID;
use wire::claim::Claim;

use crate::connection::{Cause, Failure};
use crate::server::Server;
use crate::snapshot::Snapshot;
use crate::state::State;

/// One call to make.
pub struct Job {
    /// The request's id.
    pub id: Name,
    /// The client account.
    pub account: Name,
    /// The task, or the service's name.
    pub task: Name,
    /// The version; none for a plain service.
    pub version: Option<Name>,
    /// The pool that serves it.
    pub pool: Name,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// Longest wait for the first byte of an answer.
    pub first_byte: Duration,
    /// The same on a connection that has carried answers before.
    pub reused_first_byte: Duration,
    /// Longest wait between two pieces of it.
    pub between_bytes: Duration,
    /// What decides which backend server's cache fits.
    pub affinity: Option<u64>,
    /// What must be granted before the first byte goes out.
    pub claim: Option<Claim>,
    /// Whether the answer must be read to its end before it is looked at.
    pub whole: bool,
    /// Whether the answer's text is wanted.
    pub text: bool,
    /// For the backend server.
    pub method: Method,
    /// For the backend server.
    pub path: String,
    /// For the backend server.
    pub headers: HeaderMap,
    /// For the backend server.
    pub body: Bytes,
}

impl Job {
    /// Time that the caller still waits.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Backend servers that may take it.
    #[must_use]
    pub fn servers<'a>(&self, snapshot: &'a Snapshot) -> &'a [Arc<Server>] {
        let servers = match &self.version {
            Some(version) => snapshot.versions.get(version),
            None => snapshot.pools.get(&self.pool),
        };
        servers.map(Vec::as_slice).unwrap_or_default()
    }

    /// What a backend server is sent.
    ///
    /// # Errors
    /// Never for what the chain lets through; nothing is written then.
    pub fn request(&self, server: &Server) -> Result<Request<Full<Bytes>>, Failure> {
        let broken = Failure::not_sent(Cause::Broken);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().map_err(|_| broken)?;
        *request.headers_mut() = self.headers.clone();
        let host = HeaderValue::from_str(&server.address.to_string()).map_err(|_| broken)?;
        request.headers_mut().insert(HOST, host);
        let id = HeaderValue::from_str(&self.id).map_err(|_| broken)?;
        request.headers_mut().insert(REQUEST_ID, id);
        Ok(request)
    }

    /// Counts a try for the version's evidence.
    pub fn note(&self, state: &State, failed: bool) {
        if let Some(version) = &self.version {
            state.reports.record_call(version, &self.task, failed);
        }
    }
}
