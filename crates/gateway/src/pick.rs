//! Chooses the backend server of a pool that takes a request, by what is known of each server.

use std::collections::HashMap;
use std::sync::Arc;

use entry::clock;
use policy::admit::room;
use policy::canary;
use policy::engine::externality::Streams;
use policy::engine::fetch::{FAR_GAIN_MIN, Source, Target, Transfer};
use policy::engine::{self, Costs, Demand, DomainLoad, Engine, Fetches, Terms};
use policy::hedge::{self, Withheld};
use policy::name::Name;
use policy::packing;
use policy::place::{hash, mix};
use policy::sample;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::fetches::{Fetch, Holder};
use crate::job::Job;
use crate::limits::SendLimits;
use crate::open::Open;
use crate::pool::{Candidates, Pool};

/// The cost of another failure domain to an engine's request, as a fraction of its objective. Bytes
/// between failure domains have a price, and a near answer is soon enough until the near queue is
/// that long.
const FAR_ENGINE_SHARE: f64 = 1.0 / 8.0;
/// The cost of another failure domain to a plain service's request, as a fraction of its objective.
/// Such requests are small and short.
const FAR_PLAIN_SHARE: f64 = 1.0 / 4.0;

/// Tokens of one event where the routing table does not state them.
pub const EVENT_TOKENS: f64 = 8.0;

/// The most unreachable backend servers that are probed for one request.
const PROBED_MAX: usize = 64;

/// The backend server that takes a request, and what it fetches first.
pub struct Choice {
    /// The server.
    pub backend: Arc<Backend>,
    /// The fetch; `None` if the server reads all that it lacks.
    pub fetch: Option<Fetch>,
}

/// Chooses a backend server of a version that the request has not tried; `None` if there is none.
///
/// Failure domains that did not answer this request are tried last. Ill servers accept no
/// connections, so a request that finds only ill ones is refused at once: trying them one after
/// another would use up the time in which its caller could come back. They are probed in the
/// background, and serve again a moment after they can be reached.
pub fn choose<C: Codec>(job: &Job<C>, pool: &Pool, version: &Name) -> Option<Choice> {
    let now = clock::steady();
    let load = if is_engine(job) { canary::USUAL_LOAD } else { canary::PEAK_LOAD };
    let candidates = pool.candidates(version, load, shared_part(job), rand::random(), now);
    let chosen = choose_among(job, pool, version, &candidates, now);
    // No server of the sample takes the request. Among thousands another one does, if the service
    // works.
    let chosen = chosen.or_else(|| {
        let all =
            || Candidates { backends: pool.active(version, load, now), ..Candidates::default() };
        if candidates.is_sample { choose_among(job, pool, version, &all(), now) } else { None }
    });
    chosen.inspect(|choice| SendLimits::current(job, pool).record_sent(&choice.backend, now))
}

/// Servers that a request may be sent to.
struct Eligible<'a> {
    well: Vec<&'a Arc<Backend>>,
    ill: Vec<&'a Arc<Backend>>,
    /// Servers of failure domains that did not answer this request.
    unreachable: Vec<&'a Arc<Backend>>,
}

impl<'a> Eligible<'a> {
    fn of<C: Codec>(
        job: &Job<C>,
        pool: &Pool,
        backends: impl Iterator<Item = &'a Arc<Backend>>,
        now: Millis,
    ) -> Self {
        let open = Open::new(job, pool, now);
        let untried = backends.filter(|backend| open.may_send(backend));
        let (reachable, unreachable): (Vec<_>, Vec<_>) =
            untried.partition(|backend| open.is_reachable(backend));
        let (well, ill) =
            reachable.into_iter().partition(|backend| backend.server.accepts_work(now));
        Self { well, ill, unreachable }
    }
}

/// Chooses the best of the candidates.
fn choose_among<C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    candidates: &Candidates<'_>,
    now: Millis,
) -> Option<Choice> {
    let open = candidates.backends.iter().copied();
    let Eligible { well, ill, unreachable } = Eligible::of(job, pool, open, now);
    match (well.as_slice(), unreachable.as_slice()) {
        ([], []) => {
            let probed = sample::draw(ill.len(), PROBED_MAX, rand::random());
            probed.for_each(|index| ill[index].probe_recovery());
            None
        }
        ([], unreachable) => best(job, pool, version, (unreachable, candidates.preferred), now),
        (well, _) => {
            let well = at_peak(job, pool, version, well, now);
            if let Some(backend) = spread(job, well, now) {
                return Some(Choice { backend: Arc::clone(backend), fetch: None });
            }
            best(job, pool, version, (well, candidates.preferred), now)
        }
    }
}

/// A server that a request would be compared at, with what it would cost there.
pub struct Candidate {
    /// The server.
    pub backend: Arc<Backend>,
    /// Why no request is sent to it now; `None` if it may be.
    pub obstacle: Option<&'static str>,
    /// The cost.
    pub terms: Terms,
    /// What the server would fetch first.
    pub fetch: Option<Fetch>,
}

/// The servers of a version with the costs that [`choose`] compares, the best one first. Nothing is
/// sent, counted or probed.
#[must_use]
pub fn candidates<C: Codec>(job: &Job<C>, pool: &Pool, version: &Name) -> Vec<Candidate> {
    let now = clock::steady();
    let load = if is_engine(job) { canary::USUAL_LOAD } else { canary::PEAK_LOAD };
    let active = pool.active(version, load, now);
    let eligible = Eligible::of(job, pool, active.iter().copied(), now);
    let (starts, holders) =
        weigh(job, pool, version, (&active, None), now, |engines, demand, costs| {
            engine::starts(engines, demand, costs).collect::<Vec<_>>()
        });
    let contains =
        |list: &[&Arc<Backend>], one: &Arc<Backend>| list.iter().any(|b| Arc::ptr_eq(b, one));
    let candidates = active.iter().zip(starts).map(|(backend, start)| Candidate {
        backend: Arc::clone(backend),
        obstacle: match () {
            () if contains(&eligible.well, backend) => None,
            () if contains(&eligible.ill, backend) => Some("takes no work"),
            () => Some("limit"),
        },
        terms: start.terms,
        fetch: start.fetch.and_then(|transfer| fetch(&holders, transfer)),
    });
    let mut candidates: Vec<Candidate> = candidates.collect();
    let rank = |one: &Candidate| (one.obstacle.is_some(), one.terms.total_ms());
    candidates.sort_by(|a, b| {
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    candidates
}

/// The cost at the engine that [`choose`] would prefer now, without spill-over; `None` if none of the
/// candidates takes the request. Nothing is sent, counted or probed.
#[must_use]
pub fn best_terms<C: Codec>(job: &Job<C>) -> Option<Terms> {
    let snapshot = job.state.snapshot.load();
    let pool = snapshot.pools.get(&job.service)?;
    let version = job.attempts.version.as_ref()?;
    let now = clock::steady();
    let drawn = pool.candidates(version, canary::USUAL_LOAD, shared_part(job), rand::random(), now);
    let Eligible { well, .. } = Eligible::of(job, pool, drawn.backends.iter().copied(), now);
    let (starts, _) =
        weigh(job, pool, version, (&well, drawn.preferred), now, |engines, demand, costs| {
            engine::starts(engines, demand, costs).map(|start| start.terms).collect::<Vec<_>>()
        });
    starts.into_iter().min_by(|a, b| a.total_ms().total_cmp(&b.total_ms()))
}

/// Whether any backend server of the service takes the request now. An answer must not be dropped
/// if no server can give another one.
#[must_use]
pub fn has_server<C: Codec>(job: &Job<C>) -> bool {
    let snapshot = job.state.snapshot.load();
    let Some(pool) = snapshot.pools.get(&job.service) else { return false };
    let now = clock::steady();
    let open = Open::new(job, pool, now);
    let version = job.attempts.version.as_ref();
    let is_same = |backend: &Backend| version.is_none_or(|version| backend.version == *version);
    pool.backends.iter().any(|backend| is_same(backend) && open.takes(backend))
}

/// The backend server for a second run beside the one at `first`: of the same version, known to be
/// fast and to have room.
///
/// # Errors
/// Why there is none.
pub fn hedge_server<C: Codec>(job: &Job<C>, first: &Backend) -> Result<Arc<Backend>, Withheld> {
    let snapshot = job.state.snapshot.load();
    let pool = snapshot.pools.get(&job.service).ok_or(Withheld::NoServer)?;
    let now = clock::steady();
    let open = Open::new(job, pool, now);
    let candidates = pool.candidates(&first.version, canary::PEAK_LOAD, None, rand::random(), now);
    let others = candidates.backends.into_iter();
    let others = others.filter(|backend| backend.id != first.id && open.takes(backend));
    let hosts = job.state.hedging_hosts();
    let (open, closed): (Vec<_>, Vec<_>) =
        others.partition(|backend| backend.hedge_target(hosts).check(now).is_ok());
    best(job, pool, &first.version, (&open, None), now).map(|choice| choice.backend).ok_or_else(
        || hedge::why_none(closed.iter().map(|backend| backend.hedge_target(hosts)), now),
    )
}

/// The other engines of a run's version that take requests now, with what is known of each. Of a
/// version with thousands of engines a sample is drawn.
#[must_use]
pub fn others<C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    run_at: &Backend,
    now: Millis,
) -> (Vec<Arc<Backend>>, Vec<Engine>) {
    let open = Open::new(job, pool, now);
    let drawn =
        pool.candidates(&run_at.version, canary::USUAL_LOAD, None, rand::random(), now).backends;
    let open = drawn.into_iter().filter(|backend| {
        backend.id != run_at.id
            && !job.attempts.used_copies.contains(&backend.start)
            && open.includes(backend)
    });
    let open: Vec<_> = open.collect();
    let states = engines(job, &open, None, now);
    (open.into_iter().cloned().collect(), states)
}

/// Estimated requests of all hosts at an engine.
#[must_use]
pub fn load<C: Codec>(job: &Job<C>, backend: &Arc<Backend>, now: Millis) -> f64 {
    engines(job, &[backend], None, now).first().map_or(0.0, Engine::load)
}

/// Counts a second run that is about to be sent, against the limits of its backend server.
pub fn record_hedge<C: Codec>(job: &Job<C>, backend: &Backend) {
    if let Some(pool) = job.state.snapshot.load().pools.get(&job.service) {
        SendLimits::current(job, pool).record_sent(backend, clock::steady());
    }
}

/// The server of a version on trial that is to have peak load, if the version is to have any at
/// peak load now; otherwise all of `backends`.
fn at_peak<'a, 'b, C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    backends: &'a [&'b Arc<Backend>],
    now: Millis,
) -> &'a [&'b Arc<Backend>] {
    if !pool.is_at_peak(version, is_engine(job), now) {
        return backends;
    }
    let expected = pool.expected_on_trial(rand::random(), now);
    match packing::next(&engines(job, backends, None, now), expected, rand::random()) {
        Some(next) => &backends[next..=next],
        None => backends,
    }
}

/// The server for a request to a plain service whose servers are nearly full, where requests wait
/// for room; `None` for all others.
fn spread<'a, C: Codec>(
    job: &Job<C>,
    backends: &[&'a Arc<Backend>],
    now: Millis,
) -> Option<&'a Arc<Backend>> {
    if is_engine(job) || job.attempts.slot.is_none() {
        return None;
    }
    let server = |backend: &&Arc<Backend>| {
        let estimate = backend.estimate(0, now);
        let part = (1.0 - estimate.suspicion).max(0.0) / estimate.slowdown.max(1.0);
        (backend.load_view(now), part)
    };
    let servers: Vec<(room::Server, f64)> = backends.iter().map(server).collect();
    room::spread(&servers, rand::random()).map(|index| backends[index])
}

fn best<C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    (backends, preferred): (&[&Arc<Backend>], Option<&Arc<Backend>>),
    now: Millis,
) -> Option<Choice> {
    let (choice, holders) =
        weigh(job, pool, version, (backends, preferred), now, |engines, demand, costs| {
            engine::place(engines, demand, costs, rand::random())
        });
    let choice = choice?;
    let fetch = choice.fetch.and_then(|transfer| fetch(&holders, transfer));
    let backend = Arc::clone(backends.get(choice.index)?);
    if let Some(age_ms) = announced_age_ms(job, &backend, now) {
        metrics::histogram!("gateway_load_report_age_seconds").record(age_ms as f64 / 1_000.0);
    }
    Some(Choice { backend, fetch })
}

/// Age of an engine's load report, where hosts announce loads to each other; `None` if they don't or
/// there is none.
fn announced_age_ms<C: Codec>(job: &Job<C>, backend: &Backend, now: Millis) -> Option<u64> {
    let is_announced = is_engine(job) && job.state.placement.load().loads;
    is_announced.then(|| engine::age_ms(backend.estimate(0, now).reported_at, now)).flatten()
}

/// Collects what the backend servers are compared by and has it judged. Returns the judgement, and
/// the engines that transfers can come from.
fn weigh<C: Codec, T>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    (backends, preferred): (&[&Arc<Backend>], Option<&Arc<Backend>>),
    now: Millis,
    judge: impl FnOnce(&[Engine], &Demand, &Costs<'_>) -> T,
) -> (T, Vec<Holder>) {
    let engines = engines(job, backends, preferred, now);
    let demand = engine_request(job);
    let costs = costs(job, &demand);
    let link = if is_engine(job) { job.fetch_link() } else { None };
    let Some(link) = link else { return (judge(&engines, &demand, &costs), Vec::new()) };
    let holders = job.holders(pool, version, now);
    let sources: Vec<Source> = holders.iter().map(source).collect();
    let targets: Vec<Target> = backends.iter().map(|backend| target(backend)).collect();
    let factor = job.state.fetch_times.with(&job.service, |times| times.factor(now));
    let far_gain = if job.state.placement.load().far { FAR_GAIN_MIN } else { 0.0 };
    let fetches = Fetches { link, targets: &targets, sources: &sources, factor, far_gain };
    let costs = Costs { fetches: Some(fetches), ..costs };
    (judge(&engines, &demand, &costs), holders)
}

fn fetch(holders: &[Holder], transfer: Transfer) -> Option<Fetch> {
    let source = Arc::clone(&holders.get(transfer.source)?.backend);
    Some(Fetch { source, tokens: transfer.tokens, ms: transfer.ms })
}

fn source(holder: &Holder) -> Source {
    let Target { id, domain } = target(&holder.backend);
    Source { id, domain, tokens: holder.tokens, transfers: holder.backend.transfers() }
}

fn target(backend: &Backend) -> Target {
    Target { id: backend.start, domain: hash(backend.server.failure_domain.as_bytes()) }
}

/// What is known of each backend server. `preferred` is given if the candidates were sampled with a
/// preferred server.
pub fn engines<C: Codec>(
    job: &Job<C>,
    backends: &[&Arc<Backend>],
    preferred: Option<&Arc<Backend>>,
    now: Millis,
) -> Vec<Engine> {
    let model = job.model_hash();
    let uses_speeds = job.state.placement.load().speeds;
    let preferred = match preferred {
        Some(known) => backends.iter().position(|backend| Arc::ptr_eq(backend, known)),
        None => self::preferred(job, backends),
    };
    let domain_loads = domain_loads(job, now);
    let rank = job.engine_priority().unwrap_or_default();
    let known = backends.iter().enumerate().map(|(index, backend)| {
        let estimate = backend.estimate(rank, now);
        let prefixes = &job.state.prefixes;
        let now_factor = match () {
            () if !uses_speeds => 1.0,
            () if is_engine(job) => estimate.moment,
            () => estimate.moment * estimate.usual_moment,
        };
        Engine {
            own: backend.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            reported: estimate.reported,
            own_then: estimate.own_at_report,
            report_age_ms: engine::age_ms(estimate.reported_at, now),
            is_announced: false,
            assumed: 0.0,
            domain_load: domain_load(&domain_loads, backend),
            slots: backend.slots,
            wait_ms: estimate.wait_ms,
            cached: prefixes.cached_tokens(backend, model, &job.info.parts, now),
            preferred: preferred == Some(index),
            near: backend.is_near,
            suspicion: estimate.suspicion,
            slowdown: estimate.slowdown * now_factor - 1.0,
        }
    });
    let mut engines: Vec<Engine> = known.collect();
    if is_engine(job) && job.state.placement.load().loads {
        engine::use_announced_loads(&mut engines, rand::random());
    }
    engines
}

/// What other failure domains announce of the loads of the service's engines, by the hashes of their
/// names.
fn domain_loads<C: Codec>(job: &Job<C>, now: Millis) -> HashMap<u64, DomainLoad> {
    let are_announced = is_engine(job) && job.state.placement.load().far_loads;
    if are_announced { job.state.far_domains.of_service(&job.service, now) } else { HashMap::new() }
}

fn domain_load(known: &HashMap<u64, DomainLoad>, backend: &Backend) -> Option<DomainLoad> {
    if backend.is_near || known.is_empty() {
        return None;
    }
    known.get(&hash(backend.server.failure_domain.as_bytes())).copied()
}

/// What is weighed beside the request's own wait, by the settings.
fn costs<C: Codec>(job: &Job<C>, demand: &Demand) -> Costs<'static> {
    if !job.state.placement.load().speeds {
        return Costs::default();
    }
    if !is_engine(job) {
        return Costs { answer_ms: demand.service_ms, ..Costs::default() };
    }
    let (route, objective) = (job.route(), job.route().objective_ms);
    let snapshot = job.state.snapshot.load();
    let engine = snapshot.index.services.get(&job.service).and_then(|service| service.engine);
    let stride = engine.map(|engine| engine.stride).filter(|stride| *stride > 0.0);
    let streams = Streams {
        event_tokens: stride.unwrap_or(EVENT_TOKENS),
        gap_ms: route.gap_ms.unwrap_or(objective) as f64,
        late_ms: objective as f64,
    };
    let evens_domains = job.state.placement.load().far_loads;
    Costs { streams: Some(streams), spills: true, evens_domains, ..Costs::default() }
}

/// Whether an engine answers the request, and not a plain service.
fn is_engine<C: Codec>(job: &Job<C>) -> bool {
    !job.info.parts.is_empty()
}

fn engine_request<C: Codec>(job: &Job<C>) -> Demand {
    let timing = job.state.timings.with(job.timing_key(), |timing| *timing);
    let objective = job.route().objective_ms as f64;
    let shared = job.info.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    Demand {
        prompt: f64::from(job.info.prompt_tokens),
        shared: shared.iter().map(|part| f64::from(part.tokens)).sum(),
        tokens_per_ms: job.tokens_per_ms(job.attempts.model),
        service_ms: timing.whole.mean_ms(objective),
        far_ms: objective * if is_engine(job) { FAR_ENGINE_SHARE } else { FAR_PLAIN_SHARE },
        failure_ms: objective,
    }
}

/// The id of the last part of the prompt that other requests share.
fn shared_part<C: Codec>(job: &Job<C>) -> Option<u64> {
    let (_, shared) = job.info.parts.split_last()?;
    shared.last().map(|part| part.id)
}

/// The index of the near engine that all hosts of the failure domain prefer for the prompt's last
/// shared part.
fn preferred<C: Codec>(job: &Job<C>, backends: &[&Arc<Backend>]) -> Option<usize> {
    let shared_part = shared_part(job)?;
    let near = backends.iter().enumerate().filter(|(_, backend)| backend.is_near);
    near.max_by_key(|(_, backend)| mix(backend.id_hash ^ shared_part)).map(|(index, _)| index)
}
