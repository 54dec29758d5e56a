//! The cheapest mix of plans that meets a quality target, found by enumeration.
//!
//! With a single constraint, a cheapest mix needs at most two plans: one that misses the target and
//! one that exceeds it. Eight versions give at most 64 plans, so all pairs are compared.

use super::outlook::Outlook;

/// Cost difference below which two mixes count as equally cheap.
const COST_EPSILON: f64 = 1e-9;

/// Returns the plans of the cheapest mix with their shares, which sum to 1. If no plan meets the
/// target, this is the plan with the best quality; empty if there is no plan.
#[must_use]
pub fn cheapest(outlooks: &[Outlook], target: f64) -> Vec<(f64, Outlook)> {
    let meeting: Vec<&Outlook> = outlooks.iter().filter(|o| o.quality >= target).collect();
    let missing: Vec<&Outlook> = outlooks.iter().filter(|o| o.quality < target).collect();
    if meeting.is_empty() {
        return best(outlooks).map(|outlook| (1.0, outlook.clone())).into_iter().collect();
    }
    let mut cheapest = (f64::INFINITY, Vec::new());
    for above in &meeting {
        keep_cheaper(&mut cheapest, above.cost, || vec![(1.0, (*above).clone())]);
        for below in &missing {
            let share = (above.quality - target) / (above.quality - below.quality);
            let cost = share * below.cost + (1.0 - share) * above.cost;
            let mix = || vec![(share, (*below).clone()), (1.0 - share, (*above).clone())];
            keep_cheaper(&mut cheapest, cost, mix);
        }
    }
    cheapest.1
}

/// Replaces `cheapest` by a mix of lower cost.
fn keep_cheaper(
    cheapest: &mut (f64, Vec<(f64, Outlook)>),
    cost: f64,
    mix: impl FnOnce() -> Vec<(f64, Outlook)>,
) {
    if cost < cheapest.0 - COST_EPSILON {
        *cheapest = (cost, mix());
    }
}

/// The plan with the highest quality; among equal qualities, the cheapest.
fn best(outlooks: &[Outlook]) -> Option<&Outlook> {
    outlooks.iter().reduce(|best, next| match next.quality.total_cmp(&best.quality) {
        std::cmp::Ordering::Greater => next,
        std::cmp::Ordering::Equal if next.cost < best.cost => next,
        _ => best,
    })
}
