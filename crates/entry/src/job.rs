//! A call to backend servers, prepared by the filter chain.

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

/// A call that [`crate::dispatch`] makes.
pub struct Job {
    /// The id of the caller's request.
    pub id: Name,
    /// The client account.
    pub account: Name,
    /// The task, or the name of the plain service.
    pub task: Name,
    /// The version that must answer; `None` for a plain service.
    pub version: Option<Name>,
    /// The pool of backend servers for the call.
    pub pool: Name,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// The time after which the caller no longer waits.
    pub deadline: Instant,
    /// Longest wait for the first byte of an answer on a new connection.
    pub first_byte_timeout: Duration,
    /// Longest wait for the first byte on a connection that has carried answers before, which may
    /// have gone silent.
    pub reused_first_byte_timeout: Duration,
    /// Longest wait between two pieces of an answer.
    pub between_bytes_timeout: Duration,
    /// Hash that sends requests with alike prompts to the same backend server, whose prefix cache
    /// then fits; `None` if any server is as good.
    pub affinity: Option<u64>,
    /// The idempotency key that must be granted before the first byte goes out; `None` if the
    /// request has none or may run more than once.
    pub claim: Option<Claim>,
    /// Whether a streamed answer is also read to its end before it is passed on, if it is small.
    pub is_buffered: bool,
    /// Whether the text of a streamed answer is collected for the rating service.
    pub wants_text: bool,
    /// Method of the request to the backend server.
    pub method: Method,
    /// Path and query of the request to the backend server.
    pub path: String,
    /// Headers of the request to the backend server, without `Host` and the request id.
    pub headers: HeaderMap,
    /// Body of the request to the backend server.
    pub body: Bytes,
}

impl Job {
    /// Time until the deadline; zero once it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Backend servers that may answer the call: those of its version, or of its pool for a plain
    /// service.
    #[must_use]
    pub fn servers<'a>(&self, snapshot: &'a Snapshot) -> &'a [Arc<Server>] {
        let servers = match &self.version {
            Some(version) => snapshot.versions.get(version),
            None => snapshot.pools.get(&self.pool),
        };
        servers.map(Vec::as_slice).unwrap_or_default()
    }

    /// The HTTP request for a backend server.
    ///
    /// # Errors
    /// A [`Failure`] that says that nothing was sent. It can't happen for requests that passed the
    /// chain.
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

    /// Counts an attempt as evidence for or against its version; plain services are not counted.
    pub fn record_attempt(&self, state: &State, has_failed: bool) {
        if let Some(version) = &self.version {
            state.reports.record_call(version, &self.task, has_failed);
        }
    }
}
