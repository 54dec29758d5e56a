//! Which backend server of a pool takes a request: what is believed of each, put to the policy.

use std::sync::Arc;

use entry::clock;
use policy::canary;
use policy::engine::{self, Ask, Engine};
use policy::name::Name;
use policy::peak;
use policy::place::mix;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::limits::Limits;
use crate::pool::Pool;

/// Another failure domain costs an engine's request this part of its objective: the bytes between
/// failure domains have a price, and a near answer is soon enough until its queue is that long.
const FAR_ENGINE: f64 = 1.0 / 8.0;
/// The same for a plain service, whose requests are small and short.
const FAR_PLAIN: f64 = 1.0 / 4.0;

/// A backend server of a version that was not tried yet; none if there is none.
///
/// Failure domains that did not answer this request are tried last. Servers held ill take no
/// connections, so a request that finds no other is refused at once; trying them one after another
/// would only use up the time in which its caller could come back. They are asked in the
/// background, and serve again a moment after they can be reached.
pub fn choose<C: Codec>(job: &Job<C>, pool: &Pool, version: &Name) -> Option<Arc<Backend>> {
    let now = clock::steady();
    let limits = Limits::of(job, pool);
    let load = if is_engine(job) { canary::USUAL_LOAD } else { canary::PEAK_LOAD };
    let open = pool.open(version, load, now).into_iter();
    let untried = open.filter(|backend| !job.tries.tried.contains(&backend.id));
    let untried = untried.filter(|backend| limits.may_send(backend, now));
    let (reachable, unreachable): (Vec<_>, Vec<_>) = untried
        .partition(|backend| !job.tries.unreachable.contains(&backend.server.failure_domain));
    let (well, ill): (Vec<_>, Vec<_>) =
        reachable.into_iter().partition(|backend| backend.server.takes_work(now));
    let chosen = match (well.as_slice(), unreachable.as_slice()) {
        ([], []) => {
            ill.iter().for_each(|backend| backend.probe_soon());
            None
        }
        ([], unreachable) => best(job, unreachable, now),
        (well, _) => best(job, loaded(job, pool, version, well, now), now),
    };
    chosen.inspect(|backend| limits.sent(backend, now))
}

/// Whether a backend server of the service takes the request now, whichever it is. An answer must not be
/// dropped where there is nobody to ask for another one.
#[must_use]
pub fn has_server<C: Codec>(job: &Job<C>) -> bool {
    let world = job.state.world.load();
    let Some(pool) = world.pools.get(&job.service) else { return false };
    let now = clock::steady();
    let limits = Limits::of(job, pool);
    let version = job.tries.version.as_ref();
    let mut backends = pool.backends.iter().filter(|backend| {
        version.is_none_or(|version| backend.version == *version)
            && !job.tries.tried.contains(&backend.id)
            && backend.server.takes_work(now)
    });
    backends.any(|backend| limits.may_send(backend, now))
}

/// Of the servers of a version on trial, the one that is to have the load of a peak; all of other
/// versions'.
fn loaded<'a, 'b, C: Codec>(
    job: &Job<C>,
    pool: &Pool,
    version: &Name,
    backends: &'a [&'b Arc<Backend>],
    now: Millis,
) -> &'a [&'b Arc<Backend>] {
    if !pool.is_at_peak(version, is_engine(job), now) {
        return backends;
    }
    match peak::next(&engines(job, backends, now)) {
        Some(next) => &backends[next..=next],
        None => backends,
    }
}

fn best<C: Codec>(job: &Job<C>, backends: &[&Arc<Backend>], now: Millis) -> Option<Arc<Backend>> {
    let index = engine::choose(&engines(job, backends, now), &ask(job), rand::random())?;
    backends.get(index).map(|backend| Arc::clone(backend))
}

/// What is believed of each.
fn engines<C: Codec>(job: &Job<C>, backends: &[&Arc<Backend>], now: Millis) -> Vec<Engine> {
    let model = job.model_hash();
    let preferred = preferred(job, backends);
    let rank = job.engine_priority().unwrap_or_default();
    backends
        .iter()
        .enumerate()
        .map(|(index, backend)| {
            let seen = backend.seen(model, &job.ask.parts, rank, now);
            Engine {
                own: backend.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
                reported: seen.reported,
                own_then: seen.own_then,
                report_age_ms: engine::age(seen.reported_at, now),
                slots: backend.slots,
                wait_ms: seen.wait_ms,
                cached: seen.cached,
                preferred: preferred == Some(index),
                near: backend.near,
                suspicion: seen.suspicion,
                slowdown: seen.slowdown - 1.0,
            }
        })
        .collect()
}

/// Whether it is answered by an engine, and not by a plain service.
fn is_engine<C: Codec>(job: &Job<C>) -> bool {
    !job.ask.parts.is_empty()
}

fn ask<C: Codec>(job: &Job<C>) -> Ask {
    let timing = job.state.timings.with(job.timing(), |timing| *timing);
    let objective = job.route().objective_ms as f64;
    let shared = job.ask.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    Ask {
        prompt: f64::from(job.ask.prompt_tokens),
        shared: shared.iter().map(|part| f64::from(part.tokens)).sum(),
        tokens_per_ms: job.tokens_per_ms(job.tries.model),
        service_ms: timing.whole.mean_ms(objective),
        far_ms: objective * if is_engine(job) { FAR_ENGINE } else { FAR_PLAIN },
        failure_ms: objective,
    }
}

/// The near engine that all hosts of the failure domain prefer for the prompt's last shared part.
fn preferred<C: Codec>(job: &Job<C>, backends: &[&Arc<Backend>]) -> Option<usize> {
    let (_, shared) = job.ask.parts.split_last()?;
    let subject = shared.last()?.id;
    let near = backends.iter().enumerate().filter(|(_, backend)| backend.near);
    near.max_by_key(|(_, backend)| mix(backend.hash ^ subject)).map(|(index, _)| index)
}
