//! The cheapest mix of plans at a quality, by enumeration.
//!
//! With one constraint a cheapest mix needs two plans at most: one that misses the target and one
//! that exceeds it. Eight versions give at most 64 plans, so all pairs are tried.

use super::outlook::Outlook;

/// Costs that differ by less are the same.
const COST_EPSILON: f64 = 1e-9;

/// Plans with their shares, which sum to 1; empty only if there is no plan.
#[must_use]
pub fn cheapest(outlooks: &[Outlook], target: f64) -> Vec<(f64, Outlook)> {
    let meeting: Vec<&Outlook> = outlooks.iter().filter(|o| o.quality >= target).collect();
    let missing: Vec<&Outlook> = outlooks.iter().filter(|o| o.quality < target).collect();
    if meeting.is_empty() {
        return best(outlooks).map(|outlook| (1.0, outlook.clone())).into_iter().collect();
    }
    let mut chosen = (f64::INFINITY, Vec::new());
    for above in &meeting {
        consider(&mut chosen, above.cost, || vec![(1.0, (*above).clone())]);
        for below in &missing {
            let share = (above.quality - target) / (above.quality - below.quality);
            let cost = share * below.cost + (1.0 - share) * above.cost;
            let mix = || vec![(share, (*below).clone()), (1.0 - share, (*above).clone())];
            consider(&mut chosen, cost, mix);
        }
    }
    chosen.1
}

fn consider(
    chosen: &mut (f64, Vec<(f64, Outlook)>),
    cost: f64,
    mix: impl FnOnce() -> Vec<(f64, Outlook)>,
) {
    if cost < chosen.0 - COST_EPSILON {
        *chosen = (cost, mix());
    }
}

/// The highest quality; of equals, the cheapest.
fn best(outlooks: &[Outlook]) -> Option<&Outlook> {
    outlooks.iter().reduce(|best, next| match next.quality.total_cmp(&best.quality) {
        std::cmp::Ordering::Greater => next,
        std::cmp::Ordering::Equal if next.cost < best.cost => next,
        _ => best,
    })
}
