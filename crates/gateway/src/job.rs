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
use crate::codec::{Ask, Codec};
use crate::handle::Origin;
use crate::index::Known;
use crate::recall::Registered;
use crate::state::State;

/// A request under way.
pub struct Job<C> {
    /// Shared by all requests.
    pub state: Arc<State<C>>,
    /// Its route.
    pub known: Arc<Known>,
    /// What the caller says of it.
    pub ask: Ask,
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
    pub registered: Option<Registered>,
    /// The service that answers it.
    pub service: Name,
    /// When its head was read.
    pub started: Instant,
    /// When it is no longer waited for.
    pub until: Instant,
    /// See [`Job::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// What the tries so far have come to.
    pub tries: Tries,
}

/// What the tries of a request have come to.
#[derive(Default)]
pub struct Tries {
    /// Backend servers that it was sent to.
    pub sent: u32,
    /// Connections that did not open in time.
    pub unsent: u32,
    /// Connections that were refused.
    pub refused: u32,
    /// It may have run.
    pub may_have_run: bool,
    /// Other hosts that it was to go by, and that did not try it.
    pub hosts: u32,
    /// The host that it last went by tried it, or may have.
    pub was_tried: bool,
    /// Why a server behind another host did not run it.
    pub elsewhere: Option<Refusal>,
    /// Tries that backend servers did not run.
    pub not_run: u32,
    /// The backend server that it was last sent to.
    pub backend: Option<Name>,
    /// Backend servers and hosts not to be tried again from here.
    pub tried: Vec<Name>,
    /// Those of the servers that had it, and failed it or turned it away: no other host is to try them.
    pub failed_at: Vec<Name>,
    /// Other failure domains that did not answer; others are tried first.
    pub unreachable: Vec<Name>,
    /// Index of the model that is asked now.
    pub model: usize,
    /// The version that it was first sent to.
    pub version: Option<Name>,
    /// Old connections are no longer used.
    pub new_only: bool,
    /// A backend server's own failure, if nothing better comes.
    pub failure: Option<(Parts, Bytes)>,
    /// The next try has been paid for.
    pub paid: AtomicBool,
    /// The last try has begun to answer, and counts as sent.
    pub answering: bool,
    /// From the last try's sending to the head of its answer, as expected when it was sent and as
    /// it was, in milliseconds; 0 before that.
    pub expected_ms: u64,
    /// See `expected_ms`.
    pub head_ms: u64,
    /// The caller has the beginning of a stream.
    pub is_passed_on: bool,
    /// From its coming in to the beginning of its answer, in milliseconds; 0 before that.
    pub begun_ms: u64,
    /// What speaks against it, and the servers that had ended under that, when this host got leave to try it
    /// alone.
    pub trial: Option<(Digest, u32)>,
    /// When the last try's answer began, if it has: a stream with its first event.
    pub begun_at: Option<Instant>,
    /// The last try broke off there, and the server was not looked at yet.
    pub broke_at: Option<Arc<Backend>>,
    /// The confidence with which a smaller model's answer was dropped.
    pub doubted: Option<u8>,
}

impl<C: Codec> Job<C> {
    /// A server that had it failed it, or turned it away.
    pub fn note_failed_at(&mut self, server: Option<Name>) {
        self.tries.tried.extend(server.clone());
        self.tries.failed_at.extend(server);
    }

    /// Its route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.known.route
    }

    /// Cancelled when the host that passed it on takes it back.
    #[must_use]
    pub fn recalled(&self) -> CancellationToken {
        self.registered.as_ref().map(Registered::recalled).unwrap_or_default()
    }

    /// The time left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// The name under which the times of its answers are kept.
    #[must_use]
    pub fn timing(&self) -> &Name {
        &self.known.timings[self.tries.model.min(self.known.timings.len() - 1)]
    }

    /// The model chosen, if the choice is ours.
    #[must_use]
    pub fn model(&self) -> Option<&Name> {
        self.route().models.get(self.tries.model)
    }

    /// The name under which the speed of one of the route's models is kept: the model, or the
    /// service where the caller chooses it.
    #[must_use]
    pub fn speed(&self, model: usize) -> &Name {
        self.route().models.get(model).unwrap_or(&self.service)
    }

    /// Prompt tokens that an engine reads in a millisecond with one of the route's models.
    #[must_use]
    pub fn tokens_per_ms(&self, model: usize) -> f64 {
        self.state.speeds.with(self.speed(model), |speed| speed.tokens_per_ms())
    }

    /// Names the model among cached parts of prompts.
    #[must_use]
    pub fn model_hash(&self) -> u64 {
        self.model().map_or(0, |model| place::hash(model.as_bytes()))
    }

    /// What places it among versions: its session, or itself.
    #[must_use]
    pub fn subject(&self) -> &Name {
        self.ask.session.as_ref().unwrap_or(&self.ask.id)
    }

    /// Whether a backend server's times are those that others are measured by: a version under
    /// trial is not, nor is what came by another host.
    #[must_use]
    pub fn timed(&self, backend: &Backend) -> bool {
        if backend.is_host {
            return false;
        }
        let world = self.state.world.load();
        let pool = world.pools.get(&self.service);
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
