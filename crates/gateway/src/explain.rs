//! Explains where a request would be sent now, and why. It sends nothing to servers and counts
//! nothing: the costs are those of [`pick`], and the decision's own code computes them. Serves the
//! command `chestnutspur where`; `chestnutspur explain` reads logs.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use hyper::{HeaderMap, Method, Uri};
use policy::admit::Verdict;
use policy::name::Name;
use serde::{Deserialize, Serialize};
use wire::refusal::Refusal;

use crate::admission::QueueView;
use crate::backend::Backend;
use crate::codec::{Codec, PromptPart, RequestInfo};
use crate::copies::Copy;
use crate::handle::{Origin, choose_service};
use crate::holder::Holder;
use crate::index::IndexedRoute;
use crate::job::{Attempts, Job};
use crate::pool::Pool;
use crate::running::Run;
use crate::state::State;
use crate::{pick, refuse};

/// Most candidates that an explanation lists.
const CANDIDATES_MAX: usize = 64;

/// The request that is asked about.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Question {
    /// Id of a request in flight, which is located; nothing else is asked then.
    pub request: Option<Name>,
    /// Host name.
    pub host: String,
    /// Path.
    pub path: String,
    /// Name of the client account; `None` for a request without a key.
    pub account: Option<Name>,
    /// The request's session; `None` for a request without one.
    pub session: Option<Name>,
    /// The version that the session or stream is on; `None` if this host chooses it.
    pub version: Option<Name>,
    /// The last event that the caller of a stream has, if the stream is resumed.
    pub last_event: Option<u64>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt; the sum of its parts if absent.
    pub tokens: Option<u32>,
}

/// Where a request would be sent.
#[derive(Debug, Serialize)]
pub struct Explanation {
    /// Name of the route.
    pub route: Name,
    /// Service that answers.
    pub service: Name,
    /// Version that the request goes to; `None` if the service has no server.
    pub version: Option<Name>,
    /// Version that the request is meant for, if it goes to another one because no server of that
    /// version takes it; `None` otherwise.
    pub falls_back_from: Option<Name>,
    /// Model that is asked first; `None` if the caller chooses the model.
    pub model: Option<Name>,
    /// Urgency; 0 is the highest.
    pub priority: u8,
    /// Server that is expected to be chosen; `None` if the request would be refused or go through
    /// another host. Costs that differ by less than 4 ms are decided by a random draw.
    pub chosen: Option<Name>,
    /// Host that the request would go through; `None` if this host sends it to a server. Of several
    /// hosts one is drawn at random.
    pub through: Option<Name>,
    /// Servers of the versions that are considered, the best one first.
    pub candidates: Vec<CandidateView>,
    /// Number of servers that are not listed.
    pub more: usize,
    /// What bounds the request.
    pub limits: Limits,
    /// Whether the request would wait until a server has room.
    pub would_wait: bool,
    /// The refusal that the request would receive; `None` if a server or host takes it.
    pub refusal: Option<Refused>,
}

/// A server, and the parts of its cost in milliseconds.
#[derive(Debug, Serialize)]
pub struct CandidateView {
    /// Id of the server.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its version.
    pub version: Name,
    /// Why no request is sent to it now; `None` if it may be.
    pub obstacle: Option<&'static str>,
    /// The sum of the parts.
    pub total: f64,
    /// Time until it begins to read the prompt.
    pub wait: f64,
    /// Reading the prompt.
    pub reading: f64,
    /// Another failure domain.
    pub distance: f64,
    /// Attempts that are expected to fail.
    pub suspicion: f64,
    /// Requests in flight.
    pub load: f64,
    /// What running streams lose.
    pub streams: f64,
    /// What a start with a fetch takes beyond the expected time.
    pub fetch: f64,
    /// Time of the whole answer.
    pub answer: f64,
    /// Server that the prompt's beginning is fetched from.
    pub fetch_from: Option<Name>,
}

/// What bounds a request.
#[derive(Debug, Serialize)]
pub struct Limits {
    /// Time within which an answer is to begin, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the request is given up, in milliseconds.
    pub timeout_ms: u64,
    /// Most attempts.
    pub attempts_max: u32,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Whether a repeat to get a better answer is left.
    pub has_repeat: bool,
    /// Whether the host reads less, because it holds much.
    pub reads_less: bool,
    /// The service's queue on this host; `None` without admission control or before a request.
    pub queue: Option<QueueView>,
}

/// A refusal.
#[derive(Debug, Serialize)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// Explanation.
    pub message: String,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A request in flight.
#[derive(Debug, Serialize)]
pub struct RunView {
    /// Service that answers.
    pub service: Name,
    /// Client account.
    pub account: Option<Name>,
    /// Time since its head was read, in milliseconds.
    pub age_ms: u64,
    /// Server or host of its last attempt; `None` before the first one.
    pub backend: Option<Name>,
    /// Address of that server or host.
    pub address: Option<SocketAddr>,
    /// Version of that server; `None` for a host.
    pub version: Option<Name>,
    /// Engine where the stream would continue from a copy if its run broke off now; `None` if there
    /// is none, and it would be placed like another request.
    pub continues_at: Option<Name>,
    /// Engine that the stream is being moved to; `None` if it is not being moved.
    pub moves_to: Option<Name>,
    /// Copies of the stream's KV cache that engines may have, the newest first.
    pub copies: Vec<CopyView>,
}

/// A copy of a running stream's KV cache.
#[derive(Debug, Serialize)]
pub struct CopyView {
    /// Address of the engine that made it or keeps it.
    pub address: SocketAddr,
    /// Engine that would continue the stream from it; `None` if it is not used now.
    pub backend: Option<Name>,
    /// Why it is not used now; `None` if it is.
    pub obstacle: Option<&'static str>,
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unknown {
    /// This host has no routing table yet.
    Table,
    /// No route matches.
    Route,
    /// No client account has this name.
    Account,
}

impl std::fmt::Display for Unknown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Table => "the host has no routing table yet",
            Self::Route => "no route for this host and path",
            Self::Account => "no client account has this name",
        })
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            status: refusal.code.status(),
            message: refusal.message,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}

/// Explains where a request would be sent now.
///
/// # Errors
/// What the question names is not known.
pub fn explain<C: Codec>(
    state: &Arc<State<C>>,
    question: &Question,
) -> Result<Explanation, Unknown> {
    let mut job = job(state, question)?;
    job.choose_first_model();
    let snapshot = state.snapshot.load();
    let pool = snapshot.pools.get(&job.service);
    let Destination { meant_for, candidates: all, server, through } =
        pool.map(|pool| destination(&job, pool)).unwrap_or_default();
    let verdict = job.foresee_admission();
    let refusal = match verdict {
        Some(Verdict::Refuse { retry_after_ms }) => Some(refuse::not_in_time(retry_after_ms)),
        _ if server.is_none() && through.is_none() => Some(job.refusal()),
        _ => None,
    };
    let chosen = server.as_ref().filter(|_| refusal.is_none()).map(|server| server.id.clone());
    let version = server.map(|server| server.version.clone()).or_else(|| meant_for.clone());
    let route = job.route();
    Ok(Explanation {
        route: route.name.clone(),
        service: job.service.clone(),
        falls_back_from: meant_for.filter(|meant| version.as_ref() != Some(meant)),
        through: through.filter(|_| refusal.is_none()).map(|host| host.id.clone()),
        version,
        model: job.model().cloned(),
        priority: job.priority,
        more: all.len().saturating_sub(CANDIDATES_MAX),
        candidates: all.iter().take(CANDIDATES_MAX).map(CandidateView::of).collect(),
        chosen,
        limits: Limits {
            objective_ms: route.objective_ms,
            timeout_ms: route.timeout_ms,
            attempts_max: route.attempts_max,
            body_bytes: snapshot.index.limits.body_bytes,
            has_repeat: job.has_spare_repeat(),
            reads_less: state.buffers.host().is_short(),
            queue: state.admission.queue(&job.service),
        },
        would_wait: matches!(verdict, Some(Verdict::Wait { .. })),
        refusal: refusal.map(Refused::from),
    })
}

/// Where a request would go, as [`Job::next_destination`] decides it.
#[derive(Default)]
struct Destination {
    /// The version that the request is meant for; `None` if the service has no server.
    meant_for: Option<Name>,
    /// Servers of the versions that are considered, those that take the request first.
    candidates: Vec<pick::Candidate>,
    /// The server; `None` if none takes the request, or if it goes through another host.
    server: Option<Arc<Backend>>,
    /// The host that the request goes through.
    through: Option<Arc<Backend>>,
}

fn destination<C: Codec>(job: &Job<C>, pool: &Pool) -> Destination {
    let now = entry::clock::steady();
    let version = job.version(pool, now);
    let mut candidates = Vec::new();
    for version in pool.versions_to_try(version, now) {
        candidates.extend(pick::candidates(job, pool, version));
        if candidates.iter().any(|one| one.obstacle.is_none()) {
            break;
        }
    }
    candidates.sort_by_key(|one| one.obstacle.is_some());
    let server = candidates.first().filter(|first| first.obstacle.is_none());
    let server = server.map(|first| Arc::clone(&first.backend));
    let through = match &server {
        Some(_) if !job.prefers_detour() => None,
        _ => job.foresee_host(),
    };
    let meant_for = Some(version.clone()).filter(|version| !version.is_empty());
    Destination { meant_for, candidates, server: server.filter(|_| through.is_none()), through }
}

/// Where the requests with this id are.
#[must_use]
pub fn locate<C: Codec>(state: &Arc<State<C>>, id: &str) -> Vec<RunView> {
    let runs = state.running.find(id);
    let views = runs.iter().map(|run| {
        let backend = run.backend();
        let copies = copies(state, run, backend.as_deref());
        RunView {
            continues_at: copies.iter().find_map(|copy| copy.backend.clone()),
            moves_to: run.moves_to().map(|target| target.id.clone()),
            copies,
            service: run.service.clone(),
            account: run.account.clone(),
            age_ms: u64::try_from(run.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            address: backend.as_ref().map(|backend| backend.server.address),
            version: backend.as_ref().filter(|one| !one.is_host).map(|one| one.version.clone()),
            backend: backend.map(|backend: Arc<Backend>| backend.id.clone()),
        }
    });
    views.collect()
}

/// The copies of a running stream, as the stream's own resumption would see them if its run at the
/// server `at` broke off.
fn copies<C: Codec>(state: &Arc<State<C>>, run: &Run, at: Option<&Backend>) -> Vec<CopyView> {
    let Some(continuation) = run.copies() else { return Vec::new() };
    let mut excluded = continuation.excluded;
    excluded.extend(at.filter(|_| !continuation.is_moving).map(|at| at.id.clone()));
    let attempts = Attempts {
        version: continuation.version,
        kept_at: continuation.kept_at,
        is_moving: continuation.is_moving,
        excluded,
        silent_domains: continuation.silent_domains,
        unsent: continuation.unsent,
        ..Attempts::default()
    };
    let (service, info) = (run.service.clone(), RequestInfo::default());
    let like = Job {
        deadline: continuation.deadline,
        attempts,
        ..blank(state, service, info, &continuation.indexed)
    };
    let view = |copy: &Copy| {
        let engine = like.engine_with(copy);
        CopyView {
            address: copy.address,
            obstacle: engine.as_ref().err().map(|why| why.label()),
            backend: engine.ok().map(|engine| engine.id.clone()),
        }
    };
    continuation.copies.iter().rev().map(view).collect()
}

/// A request like the one that is asked about. It is not sent.
fn job<C: Codec>(state: &Arc<State<C>>, question: &Question) -> Result<Job<C>, Unknown> {
    let snapshot = state.snapshot.load();
    let index = &snapshot.index;
    if index.version == 0 {
        return Err(Unknown::Table);
    }
    let indexed = index.route(&question.host, &question.path).ok_or(Unknown::Route)?;
    let account = match &question.account {
        Some(name) => Some(index.account_named(name).ok_or(Unknown::Account)?),
        None => None,
    };
    let sum = question.parts.iter().map(|part| part.tokens).fold(0, u32::saturating_add);
    let info = RequestInfo {
        prompt_tokens: question.tokens.unwrap_or(sum),
        parts: question.parts.clone(),
        session: question.session.clone(),
        last_event: question.last_event,
        ..RequestInfo::default()
    };
    let route = &indexed.route;
    let service = choose_service(route, info.session.as_ref().unwrap_or(&info.id));
    Ok(Job {
        account: account.map(|account| account.name.clone()),
        priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
        attempts: Attempts { version: question.version.clone(), ..Attempts::default() },
        ..blank(state, service, info, indexed)
    })
}

/// A request of a route that just came and was not sent yet.
fn blank<C: Codec>(
    state: &Arc<State<C>>,
    service: Name,
    info: RequestInfo,
    indexed: &Arc<IndexedRoute>,
) -> Job<C> {
    let (route, started) = (&indexed.route, Instant::now());
    Job {
        state: Arc::clone(state),
        run: None,
        service,
        info,
        method: Method::GET,
        path: Uri::default(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        account: None,
        priority: route.priority,
        started,
        deadline: started + Duration::from_millis(route.timeout_ms),
        holder: Holder::default(),
        indexed: Arc::clone(indexed),
        fingerprint: OnceLock::new(),
        origin: Origin::Caller,
        attempts_max: route.attempts_max,
        registration: None,
        attempts: Attempts::default(),
    }
}

impl CandidateView {
    fn of(candidate: &pick::Candidate) -> Self {
        let terms = &candidate.terms;
        Self {
            id: candidate.backend.id.clone(),
            domain: candidate.backend.server.failure_domain.clone(),
            version: candidate.backend.version.clone(),
            obstacle: candidate.obstacle,
            total: terms.total_ms(),
            wait: terms.wait_ms,
            reading: terms.reading_ms * terms.speed_factor,
            distance: terms.distance_ms,
            suspicion: terms.suspicion_ms,
            load: terms.load_ms * terms.speed_factor,
            streams: terms.streams_ms,
            fetch: terms.fetch_ms,
            answer: terms.answer_ms,
            fetch_from: candidate.fetch.as_ref().map(|fetch| fetch.source.id.clone()),
        }
    }
}
