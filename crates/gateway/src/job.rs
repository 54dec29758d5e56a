//! A request in flight and the state of its attempts.

use std::sync::atomic::{AtomicBool, AtomicU64};
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

use crate::admission::Slot;
use crate::backend::{Backend, OpenBackup};
use crate::codec::{Codec, RequestInfo};
use crate::copies;
use crate::fetches::Fetch;
use crate::handle::Origin;
use crate::hedge::HedgeState;
use crate::holder::Holder;
use crate::index::IndexedRoute;
use crate::recall::Registration;
use crate::running::Registered;
use crate::state::State;

/// A request in flight.
pub struct Job<C> {
    /// The state that all requests share.
    pub state: Arc<State<C>>,
    /// The request's route.
    pub indexed: Arc<IndexedRoute>,
    /// What the request's headers say.
    pub info: RequestInfo,
    /// The method that the caller sent.
    pub method: Method,
    /// The path and query that the caller sent.
    pub path: Uri,
    /// The headers that the caller sent.
    pub headers: HeaderMap,
    /// The whole body that the caller sent.
    pub body: Bytes,
    /// The client account of the caller's key; `None` if the request came without a known key.
    pub account: Option<Name>,
    /// The request's urgency; 0 is the highest.
    pub priority: u8,
    /// Whether a caller or another host sent the request.
    pub origin: Origin,
    /// How many attempts may be made, including those made before the request came to this host.
    pub attempts_max: u32,
    /// The registration among the requests of other hosts, if another host passed this request on.
    pub registration: Option<Registration>,
    /// The service that answers the request.
    pub service: Name,
    /// When the request's head was read.
    pub started: Instant,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Counts what this host holds in memory for the request.
    pub holder: Holder,
    /// Computed on first use, see [`Job::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// Keeps the request among those in flight; `None` for one that is only asked about.
    pub run: Option<Registered>,
    /// The state of the attempts so far.
    pub attempts: Attempts,
}

/// The state of a request's attempts.
#[derive(Default)]
pub struct Attempts {
    /// Attempts that were or may have been sent to backend servers, including those of other hosts.
    pub sent: u32,
    /// Attempts whose connection failed otherwise than by refusal before a byte was written: it did
    /// not open in time, or a reused one had been closed.
    pub unsent: u32,
    /// Attempts whose connection was refused or unreachable.
    pub refused: u32,
    /// Whether a backend server may have run the request.
    pub may_have_run: bool,
    /// Whether an attempt was begun.
    pub has_begun: bool,
    /// Other hosts that the request was passed to and that made no attempt.
    pub failed_detours: u32,
    /// Whether the host that the request was last passed to made an attempt, or may have made one.
    pub was_attempted: bool,
    /// The refusal of another host whose server did not run the request.
    pub host_refusal: Option<Refusal>,
    /// Attempts that backend servers did not run.
    pub not_run: u32,
    /// The slot that the request was admitted to; `None` without admission control.
    pub slot: Option<Slot>,
    /// Time for which the request waited for a server with room, in milliseconds.
    pub waited_ms: u64,
    /// Backend servers that rejected the request since it was last admitted.
    pub rejected_by: Vec<Name>,
    /// Whether no backend server was left for the last attempt.
    pub found_no_server: bool,
    /// The backend server of the last attempt.
    pub backend: Option<Name>,
    /// Age of the list of backend servers when the last attempt was sent, in milliseconds.
    pub list_ms: AtomicU64,
    /// Backend servers and hosts that this host does not choose again for the request.
    pub excluded: Vec<Name>,
    /// Backend servers that received the request and failed it or rejected it. Other hosts must not
    /// send it to them either.
    pub failed_servers: Vec<Name>,
    /// Failure domains other than this host's that did not answer. Servers of the remaining domains
    /// are tried first.
    pub silent_domains: Vec<Name>,
    /// The fetch that the last chosen backend server is asked for.
    pub fetch: Option<Fetch>,
    /// Whether an attempt with a fetch has failed.
    pub has_fetch_failed: bool,
    /// Copies of the request's KV cache, from which other engines can continue it. A copy is removed
    /// when it is used, so that its handle is not sent twice.
    pub copies: Vec<copies::Copy>,
    /// The engine that has stopped the stream's run for a move and keeps its KV cache. It is leaving,
    /// and takes the stream back all the same.
    pub kept_at: Option<Arc<Backend>>,
    /// Whether the stream's run was stopped for a move whose copy is still unused. The stream then
    /// continues on its version although that may have been left in the meantime.
    pub is_moving: bool,
    /// Whether a move of the stream to another engine has failed after its run was stopped.
    pub has_move_failed: bool,
    /// The backup that the last attempt asks for.
    pub backup: Option<OpenBackup>,
    /// The copy that the last attempt continues from; `None` if it reads the whole prompt.
    pub continue_from: Option<copies::Copy>,
    /// The starts of the engines that the request was to continue at from a copy.
    pub used_copies: Vec<u64>,
    /// The index of the requested model among the route's models.
    pub model: usize,
    /// The version of the last chosen backend server. A stream and a session stay on it.
    pub version: Option<Name>,
    /// Whether attempts use new connections only, because an older one failed.
    pub needs_new_connection: bool,
    /// A backend server's own error answer. It is passed on if no attempt brings a better one.
    pub failure_answer: Option<(Parts, Bytes)>,
    /// Whether the next attempt needs no further repeat, because its repeat is already taken.
    pub is_paid: AtomicBool,
    /// Whether the last attempt has begun to answer, so that it is already counted in `sent`.
    pub is_answering: bool,
    /// The expected time from sending the last attempt to the head of its answer, in milliseconds;
    /// 0 before there is an answer.
    pub expected_ms: u64,
    /// The measured time from sending the last attempt to the head of its answer, in milliseconds;
    /// 0 before there is an answer.
    pub head_ms: u64,
    /// Whether the caller has the beginning of a stream.
    pub has_stream_begun: bool,
    /// Time from the request's arrival to the beginning of its answer, in milliseconds; 0 before
    /// that.
    pub began_after_ms: u64,
    /// The digest that this host was granted a trial for, and the number of servers that had ended
    /// under the digest by then.
    pub granted_trial: Option<(Digest, u32)>,
    /// When the answer to the last attempt began: a plain answer with its head, a stream with its
    /// first event. `None` if none has begun.
    pub answer_began_at: Option<Instant>,
    /// The server at which the last attempt broke off, if it has not been probed since.
    pub unprobed_server: Option<Arc<Backend>>,
    /// The state of the request's hedge.
    pub hedge: HedgeState,
    /// The confidence of the smaller model's answer that was dropped for a larger model's.
    pub dropped_confidence: Option<u8>,
    /// Why a smaller model's answer of low confidence was passed on although the route allowed
    /// another attempt, for the log; empty otherwise.
    pub kept_doubtful: &'static str,
}

impl<C: Codec> Job<C> {
    /// Records a server that received the request and failed it or rejected it.
    pub fn record_failed_server(&mut self, server: Option<Name>) {
        self.attempts.excluded.extend(server.clone());
        self.attempts.failed_servers.extend(server);
    }

    /// The request's route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.indexed.route
    }

    /// A token that is cancelled when the host that passed the request on recalls it.
    #[must_use]
    pub fn recalled(&self) -> CancellationToken {
        self.registration.as_ref().map(Registration::recalled).unwrap_or_default()
    }

    /// The time until the deadline; zero once it has passed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The key of the requested model's answer times in [`State::timings`].
    #[must_use]
    pub fn timing_key(&self) -> &Name {
        &self.indexed.timings[self.attempts.model.min(self.indexed.timings.len() - 1)]
    }

    /// The model that this host chose; `None` if the caller chooses the model.
    #[must_use]
    pub fn model(&self) -> Option<&Name> {
        self.route().models.get(self.attempts.model)
    }

    /// The key in [`State::speeds`] for one of the route's models: the model, or the service where
    /// the caller chooses the model.
    #[must_use]
    pub fn speed_key(&self, model: usize) -> &Name {
        self.route().models.get(model).unwrap_or(&self.service)
    }

    /// Prompt tokens that an engine reads in a millisecond with one of the route's models.
    #[must_use]
    pub fn tokens_per_ms(&self, model: usize) -> f64 {
        self.state.speeds.with(self.speed_key(model), |speed| speed.tokens_per_ms())
    }

    /// The model's hash in the keys of cached prompt parts; 0 if the caller chooses the model.
    #[must_use]
    pub fn model_hash(&self) -> u64 {
        self.model().map_or(0, |model| place::hash(model.as_bytes()))
    }

    /// What a request is assigned to a version by: its session, or its own id.
    #[must_use]
    pub fn subject(&self) -> &Name {
        self.info.session.as_ref().unwrap_or(&self.info.id)
    }

    /// Whether a backend server's answer times count as usual ones. Those of a version under trial
    /// don't, nor do those of answers that came through another host.
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

    /// Rejected requests a second that a server of the service tolerates before it crashes; `None`
    /// if it tolerates any number.
    #[must_use]
    pub fn tolerance(&self) -> Option<f64> {
        self.state.tolerances.with(&self.service, |tolerance| tolerance.per_second())
    }

    /// Runs a function on the service's window of requests and repeats, with what is allowed.
    pub fn window<T>(&self, use_it: impl FnOnce(&mut Window, &Allowance) -> T) -> T {
        let allowance = self.state.allowance.load();
        self.state.windows.with(&self.service, |window| use_it(window, &allowance))
    }
}
