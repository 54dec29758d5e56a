//! Chooses the backend server of a pool that takes a request, by what is known of each server.

use std::sync::Arc;

use entry::clock;
use policy::canary;
use policy::engine::{self, Demand, Engine};
use policy::name::Name;
use policy::packing;
use policy::place::mix;
use policy::sample;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::limits::SendLimits;
use crate::pool::{Candidates, Pool};

/// The cost of another failure domain to an engine's request, as a fraction of its objective. Bytes
/// between failure domains have a price, and a near answer is soon enough until the near queue is
/// that long.
const FAR_ENGINE_SHARE: f64 = 1.0 / 8.0;
/// The cost of another failure domain to a plain service's request, as a fraction of its objective.
/// Such requests are small and short.
const FAR_PLAIN_SHARE: f64 = 1.0 / 4.0;

/// The most unreachable backend servers that are probed for one request.
const PROBED_MAX: usize = 64;

/// Chooses a backend server of a version that the request has not tried; `None` if there is none.
///
/// Failure domains that did not answer this request are tried last. Ill servers accept no
/// connections, so a request that finds only ill ones is refused at once: trying them one after
/// another would use up the time in which its caller could come back. They are probed in the
/// background, and serve again a moment after they can be reached.
pub fn choose<C: Codec>(job: &Job<C>, pool: &Pool, version: &Name) -> Option<Arc<Backend>> {
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
    chosen.inspect(|backend| SendLimits::current(job, pool).record_sent(backend, now))
}

/// Chooses the best of the candidates.
fn choose_among<C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    candidates: &Candidates<'_>,
    now: Millis,
) -> Option<Arc<Backend>> {
    let limits = SendLimits::current(job, pool);
    let open = candidates.backends.iter().copied();
    let untried = open.filter(|backend| !job.attempts.excluded.contains(&backend.id));
    let untried = untried.filter(|backend| limits.may_send(backend, now));
    let (reachable, unreachable): (Vec<_>, Vec<_>) = untried
        .partition(|backend| !job.attempts.silent_domains.contains(&backend.server.failure_domain));
    let (well, ill): (Vec<_>, Vec<_>) =
        reachable.into_iter().partition(|backend| backend.server.accepts_work(now));
    match (well.as_slice(), unreachable.as_slice()) {
        ([], []) => {
            let probed = sample::draw(ill.len(), PROBED_MAX, rand::random());
            probed.for_each(|index| ill[index].probe_recovery());
            None
        }
        ([], unreachable) => best(job, unreachable, candidates.preferred, now),
        (well, _) => best(job, at_peak(job, pool, version, well, now), candidates.preferred, now),
    }
}

/// Whether any backend server of the service takes the request now. An answer must not be dropped
/// if no server can give another one.
#[must_use]
pub fn has_server<C: Codec>(job: &Job<C>) -> bool {
    let snapshot = job.state.snapshot.load();
    let Some(pool) = snapshot.pools.get(&job.service) else { return false };
    let now = clock::steady();
    let limits = SendLimits::current(job, pool);
    let version = job.attempts.version.as_ref();
    let mut backends = pool.backends.iter().filter(|backend| {
        version.is_none_or(|version| backend.version == *version)
            && !job.attempts.excluded.contains(&backend.id)
            && backend.server.accepts_work(now)
    });
    backends.any(|backend| limits.may_send(backend, now))
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

fn best<C: Codec>(
    job: &Job<C>,
    backends: &[&Arc<Backend>],
    preferred: Option<&Arc<Backend>>,
    now: Millis,
) -> Option<Arc<Backend>> {
    let engines = engines(job, backends, preferred, now);
    let index = engine::choose(&engines, &engine_request(job), rand::random())?;
    backends.get(index).map(|backend| Arc::clone(backend))
}

/// What is known of each backend server. `preferred` is given if the candidates were sampled with a
/// preferred server.
fn engines<C: Codec>(
    job: &Job<C>,
    backends: &[&Arc<Backend>],
    preferred: Option<&Arc<Backend>>,
    now: Millis,
) -> Vec<Engine> {
    let model = job.model_hash();
    let preferred = match preferred {
        Some(known) => backends.iter().position(|backend| Arc::ptr_eq(backend, known)),
        None => self::preferred(job, backends),
    };
    let rank = job.engine_priority().unwrap_or_default();
    backends
        .iter()
        .enumerate()
        .map(|(index, backend)| {
            let estimate = backend.estimate(model, &job.info.parts, rank, now);
            Engine {
                own: backend.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
                reported: estimate.reported,
                own_then: estimate.own_at_report,
                report_age_ms: engine::age_ms(estimate.reported_at, now),
                slots: backend.slots,
                wait_ms: estimate.wait_ms,
                cached: estimate.cached_tokens,
                preferred: preferred == Some(index),
                near: backend.is_near,
                suspicion: estimate.suspicion,
                slowdown: estimate.slowdown - 1.0,
            }
        })
        .collect()
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
