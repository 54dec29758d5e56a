//! Simple selection strategies, to which [`Table::build`] is compared.

use super::{Candidate, Plan, Share, Status, Table};
use crate::time::Millis;

/// Always selects the version with the highest expected quality.
#[must_use]
pub fn best(candidates: &[Candidate], now: Millis) -> Table {
    single_version(
        usable(candidates).max_by(|a, b| a.quality.mean(now).total_cmp(&b.quality.mean(now))),
        now,
    )
}

/// Always selects the cheapest version.
#[must_use]
pub fn cheapest(candidates: &[Candidate], now: Millis) -> Table {
    single_version(usable(candidates).min_by(|a, b| a.cost.total_cmp(&b.cost)), now)
}

/// Selects all versions in equal shares.
#[must_use]
pub fn fixed_split(candidates: &[Candidate], now: Millis) -> Table {
    let usable: Vec<&Candidate> = usable(candidates).collect();
    let share = 1.0 / usable.len().max(1) as f64;
    Table {
        shares: usable
            .iter()
            .map(|candidate| Share { share, plan: Plan::Single(candidate.version.clone()) })
            .collect(),
        cost: usable.iter().map(|candidate| share * candidate.cost).sum(),
        quality: usable.iter().map(|candidate| share * candidate.quality.mean(now)).sum(),
    }
}

/// The live versions, or all versions if none is live.
fn usable(candidates: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    let has_live = candidates.iter().any(|c| matches!(c.status, Status::Live));
    candidates.iter().filter(move |c| !has_live || matches!(c.status, Status::Live))
}

fn single_version(chosen: Option<&Candidate>, now: Millis) -> Table {
    let Some(candidate) = chosen else {
        return Table::default();
    };
    Table {
        shares: vec![Share { share: 1.0, plan: Plan::Single(candidate.version.clone()) }],
        cost: candidate.cost,
        quality: candidate.quality.mean(now),
    }
}
