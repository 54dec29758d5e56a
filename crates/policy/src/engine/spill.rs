//! Spill-over: a failure domain whose engines are busier sends a part of its work to others.
//!
//! Load: the demand of each domain is a wave, so at times engines of one domain queue while those of
//! another are idle. Distance has the same cost whatever the load. If it were only lowered, all
//! hosts would move at once on the same old reports, and the other domain would be overloaded. So
//! only a share of the requests, drawn at random, ignores distance. The share is the one that would
//! make both loads equal if all hosts moved it, reduced by the age of the reports.

use super::Engine;

/// Age at which a report counts half, in milliseconds. The load of an engine with short answers has
/// changed by then.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Fresh reports of a group of engines that are trusted half.
const HALF_TRUSTED_REPORTS: f64 = 2.0;
/// Difference of loads per slot that is ignored: it is within the noise of reports.
const DIFFERENCE_MIN: f64 = 0.1;

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
