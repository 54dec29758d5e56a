//! Spill-over: a failure domain whose engines are busier sends a part of its work to others.
//!
//! Load: the demand of each domain is a wave, so at times engines of one domain queue while those of
//! another are idle. Distance has the same cost whatever the load. If it were only lowered, all
//! hosts would move at once on the same old reports, and the other domain would be overloaded. So
//! only a share of the requests, drawn at random, ignores distance. The share is the one that would
//! make both loads equal if all hosts moved it, reduced by the age of the reports.
//!
//! Where the hosts of failure domains announce their engines' loads to each other, the means are
//! known within a second, and the share follows from them ([`announced_share`]). Requests in flight
//! stay where they are, and only new ones can be moved. So the share is the one that moves the
//! surplus within [`EVEN_MS`], and the longer streams run the larger it is.

use super::{DomainLoad, Engine};

/// Age at which a report counts half, in milliseconds. The load of an engine with short answers has
/// changed by then.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Fresh reports of a group of engines that are trusted half.
const HALF_TRUSTED_REPORTS: f64 = 2.0;
/// Difference of loads per slot that is ignored: it is within the noise of reports.
const DIFFERENCE_MIN: f64 = 0.1;

/// Time in which the surplus of a failure domain is moved, in milliseconds. Twice the usual age of
/// the announced loads, so that the effect of a share is known before too much is moved.
const EVEN_MS: f64 = 1_200.0;
/// Difference of announced loads per slot that is ignored.
const ANNOUNCED_DIFFERENCE_MIN: f64 = 0.12;
/// Load per slot up to which other failure domains are filled. Their own requests need the rest.
const FILL_MAX: f64 = 0.85;
/// Largest share of the requests that ignores distance.
const SHARE_MAX: f64 = 0.9;
/// Age at which the announced load of a failure domain no longer counts, in milliseconds.
pub const DOMAIN_LOAD_LIFETIME_MS: u64 = 4_000;

/// Reported load per slot of a group of engines.
struct Group {
    mean: f64,
    /// How far the mean is trusted, 0 to 1.
    trust: f64,
}

/// Share of the requests that should ignore distance, 0 to 1/2.
#[must_use]
pub fn share(engines: &[Engine]) -> f64 {
    let (near, far) = (group(engines, true), group(engines, false));
    let difference = near.mean - far.mean;
    if difference < DIFFERENCE_MIN {
        return 0.0;
    }
    near.trust * far.trust * difference / (2.0 * near.mean)
}

fn group(engines: &[Engine], is_near: bool) -> Group {
    let (mut sum, mut weights) = (0.0, 0.0);
    for engine in engines.iter().filter(|engine| engine.near == is_near) {
        let Some(age_ms) = engine.report_age_ms else { continue };
        let weight = (-(age_ms as f64) / HALF_LIFE_MS).exp2();
        sum += weight * engine.load() / f64::from(engine.slots.max(1));
        weights += weight;
    }
    let mean = if weights > 0.0 { sum / weights } else { 0.0 };
    Group { mean, trust: weights / (weights + HALF_TRUSTED_REPORTS) }
}

/// Share of the requests that should ignore distance where failure domains announce their loads.
/// `service_ms` is the mean time that the request to be placed spends at an engine.
#[must_use]
pub fn announced_share(engines: &[Engine], service_ms: f64) -> f64 {
    let near = near_per_slot(engines);
    let surplus = surplus_per_slot(engines, near);
    if surplus <= 0.0 {
        return 0.0;
    }
    (surplus / near * (service_ms / EVEN_MS).max(1.0)).min(SHARE_MAX)
}

/// Requests per slot that arrive at the engines of other failure domains as spill-over from this
/// one, in the mean time `service_ms` that a request spends at an engine.
pub(super) fn arriving_per_slot(engines: &[Engine], service_ms: f64) -> f64 {
    let slots = |near| {
        let group = engines.iter().filter(|engine| engine.near == near);
        group.map(|engine| f64::from(engine.slots)).sum::<f64>()
    };
    let moved = announced_share(engines, service_ms) * near_per_slot(engines);
    moved * slots(true) / slots(false).max(1.0)
}

/// Requests per near slot beyond the mean of all failure domains, as far as others have room. `near`
/// is the load per slot of the near engines. Failure domains that announce nothing are left out.
fn surplus_per_slot(engines: &[Engine], near: f64) -> f64 {
    let (mut near_slots, mut trusted, mut sum, mut room) = (0.0, 0.0, 0.0, 0.0);
    for engine in engines {
        let Some(DomainLoad { per_slot, age_ms }) = engine.domain_load else {
            near_slots += if engine.near { f64::from(engine.slots) } else { 0.0 };
            continue;
        };
        let age = age_ms as f64 / DOMAIN_LOAD_LIFETIME_MS as f64;
        let trust = (1.0 - age).max(0.0);
        let weight = trust * f64::from(engine.slots);
        trusted += weight;
        sum += weight * per_slot;
        room += weight * (FILL_MAX - per_slot).max(0.0);
    }
    if near_slots <= 0.0 || trusted <= 0.0 {
        return 0.0;
    }
    let difference = near - sum / trusted - ANNOUNCED_DIFFERENCE_MIN;
    (difference * trusted / (near_slots + trusted)).min(room / near_slots)
}

/// Load per slot of the near engines by their reports, as hosts announce it to other domains.
#[must_use]
pub fn near_per_slot(engines: &[Engine]) -> f64 {
    let (mut sum, mut slots) = (0.0, 0.0);
    for engine in engines.iter().filter(|engine| engine.near) {
        sum += engine.reported_load();
        slots += f64::from(engine.slots);
    }
    if slots > 0.0 { sum / slots } else { 0.0 }
}
