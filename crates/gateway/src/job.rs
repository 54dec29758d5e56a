//! A request under way, and what its tries have come to.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Uri};
use policy::name::Name;
use policy::place;
use policy::poison::{Digest, Fingerprint};
use policy::repeat::{Allowance, Window};
use tokio_util::sync::CancellationToken;
use wire::refusal::Refusal;
use wire::routing::Route;

use crate::backend::Backend;
use crate::codec::{Codec, RequestInfo};
use crate::handle::Origin;
use crate::index::IndexedRoute;
use crate::recall::Registration;
use crate::state::State;

/// A request under way.
pub struct Job<C> {
    /// Shared by all requests.
    pub state: Arc<State<C>>,
    /// Its route.
    pub indexed: Arc<IndexedRoute>,
    /// What the caller says of it.
    pub info: RequestInfo,
    /// As the caller sent it.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: Uri,
    /// As the caller sent them.
    pub headers: HeaderMap,
    /// As the caller sent it.
    pub body: Bytes,
    /// The account of the caller's key.
    pub account: Option<Name>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Who sent it.
    pub origin: Origin,
    /// Backend servers that it may be sent to, those before it came here among them.
    pub attempts_max: u32,
    /// Its entry among the requests of other hosts, if one has passed it on.
    pub registration: Option<Registration>,
    /// The service that answers it.
    pub service: Name,
    /// When its head was read.
    pub started: Instant,
    /// When it is no longer waited for.
    pub deadline: Instant,
    /// See [`Job::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// What the tries so far have come to.
    pub attempts: Attempts,
}

/// What the tries of a request have come to.
#[derive(Default)]
pub struct Attempts {
    /// Backend servers that it was sent to.
    pub sent: u32,
    /// Connections that did not open in time.
    pub unsent: u32,
    /// Connections that were refused.
    pub refused: u32,
    /// It may have run.
    pub may_have_run: bool,
    /// Other hosts that it was to go by, and that did not try it.
    pub failed_detours: u32,
    /// The host that it last went by tried it, or may have.
    pub was_attempted: bool,
    /// Why a server behind another host did not run it.
    pub host_refusal: Option<Refusal>,
    /// Tries that backend servers did not run.
    pub not_run: u32,
    /// The backend server that it was last sent to.
    pub backend: Option<Name>,
    /// Backend servers and hosts not to be tried again from here.
    pub excluded: Vec<Name>,
    /// Those of the servers that had it, and failed it or turned it away: no other host is to try them.
    pub failed_servers: Vec<Name>,
    /// Other failure domains that did not answer; others are tried first.
    pub silent_domains: Vec<Name>,
    /// Index of the model that is asked now.
    pub model: usize,
    /// The version that it was first sent to.
    pub version: Option<Name>,
    /// Old connections are no longer used.
    pub needs_new_connection: bool,
    /// A backend server's own failure, if nothing better comes.
    pub failure_answer: Option<(Parts, Bytes)>,
    /// The next try has been paid for.
    pub is_repeat_taken: AtomicBool,
    /// The last try has begun to answer, and counts as sent.
    pub is_answering: bool,
    /// From the last try's sending to the head of its answer, as expected when it was sent and as
    /// it was, in milliseconds; 0 before that.
    pub expected_ms: u64,
    /// See `expected_ms`.
    pub head_ms: u64,
    /// The caller has the beginning of a stream.
    pub has_stream_begun: bool,
    /// From its coming in to the beginning of its answer, in milliseconds; 0 before that.
    pub began_after_ms: u64,
    /// What speaks against it, and the servers that had ended under that, when this host got leave to try it
    /// alone.
    pub granted_trial: Option<(Digest, u32)>,
    /// When the last try's answer began, if it has: a stream with its first event.
    pub answer_began_at: Option<Instant>,
    /// The last try broke off there, and the server was not looked at yet.
    pub unprobed_server: Option<Arc<Backend>>,
    /// The confidence with which a smaller model's answer was dropped.
    pub dropped_confidence: Option<u8>,
}

impl<C: Codec> Job<C> {
    /// A server that had it failed it, or turned it away.
    pub fn record_failed_server(&mut self, server: Option<Name>) {
        self.attempts.excluded.extend(server.clone());
        self.attempts.failed_servers.extend(server);
    }

    /// Its route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.indexed.route
    }

    /// Cancelled when the host that passed it on takes it back.
    #[must_use]
    pub fn recalled(&self) -> CancellationToken {
        self.registration.as_ref().map(Registration::recalled).unwrap_or_default()
    }

    /// The time left.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The name under which the times of its answers are kept.
    #[must_use]
    pub fn timing_key(&self) -> &Name {
        &self.indexed.timings[self.attempts.model.min(self.indexed.timings.len() - 1)]
    }

    /// The model chosen, if the choice is ours.
    #[must_use]
    pub fn model(&self) -> Option<&Name> {
        self.route().models.get(self.attempts.model)
    }

    /// The name under which the speed of one of the route's models is kept: the model, or the
    /// service where the caller chooses it.
    #[must_use]
    pub fn speed_key(&self, model: usize) -> &Name {
        self.route().models.get(model).unwrap_or(&self.service)
    }

    /// Prompt tokens that an engine reads in a millisecond with one of the route's models.
    #[must_use]
    pub fn tokens_per_ms(&self, model: usize) -> f64 {
        self.state.speeds.with(self.speed_key(model), |speed| speed.tokens_per_ms())
    }

    /// Names the model among cached parts of prompts.
    #[must_use]
    pub fn model_hash(&self) -> u64 {
        self.model().map_or(0, |model| place::hash(model.as_bytes()))
    }

    /// What places it among versions: its session, or itself.
    #[must_use]
    pub fn subject(&self) -> &Name {
        self.info.session.as_ref().unwrap_or(&self.info.id)
    }

    /// Whether a backend server's times are those that others are measured by: a version under
    /// trial is not, nor is what came by another host.
    #[must_use]
    pub fn is_timed(&self, backend: &Backend) -> bool {
        if backend.is_host {
            return false;
        }
        let snapshot = self.state.snapshot.load();
        let pool = snapshot.pools.get(&self.service);
        let trial = pool.and_then(|pool| pool.rollout.as_ref()).filter(|trial| trial.is_open());
        trial.is_none_or(|trial| trial.target != backend.version)
    }

    /// Rejected requests a second that a server of the service tolerates, if they fall over beyond that.
    #[must_use]
    pub fn tolerance(&self) -> Option<f64> {
        self.state.tolerances.with(&self.service, |tolerance| tolerance.per_second())
    }

    /// Uses the service's count of requests and repeats.
    pub fn window<T>(&self, use_it: impl FnOnce(&mut Window, &Allowance) -> T) -> T {
        let allowance = self.state.allowance.load();
        self.state.windows.with(&self.service, |window| use_it(window, &allowance))
    }
}
