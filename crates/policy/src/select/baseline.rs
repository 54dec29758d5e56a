//! Ways of choosing that ours is measured against.

use super::{Candidate, Plan, Share, Status, Table};
use crate::time::Millis;

/// Always the version of the highest expected quality.
#[must_use]
pub fn best(candidates: &[Candidate], now: Millis) -> Table {
    always(live(candidates).max_by(|a, b| a.quality.mean(now).total_cmp(&b.quality.mean(now))), now)
}

/// Always the cheapest version.
#[must_use]
pub fn cheapest(candidates: &[Candidate], now: Millis) -> Table {
    always(live(candidates).min_by(|a, b| a.cost.total_cmp(&b.cost)), now)
}

/// All versions in equal shares.
#[must_use]
pub fn fixed_split(candidates: &[Candidate], now: Millis) -> Table {
    let all: Vec<&Candidate> = live(candidates).collect();
    let share = 1.0 / all.len().max(1) as f64;
    Table {
        shares: all
            .iter()
            .map(|candidate| Share { share, plan: Plan::Single(candidate.version.clone()) })
            .collect(),
        cost: all.iter().map(|candidate| share * candidate.cost).sum(),
        quality: all.iter().map(|candidate| share * candidate.quality.mean(now)).sum(),
    }
}

fn live(candidates: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    let any_live = candidates.iter().any(|c| matches!(c.status, Status::Live));
    candidates.iter().filter(move |c| !any_live || matches!(c.status, Status::Live))
}

fn always(chosen: Option<&Candidate>, now: Millis) -> Table {
    let Some(candidate) = chosen else {
        return Table::default();
    };
    Table {
        shares: vec![Share { share: 1.0, plan: Plan::Single(candidate.version.clone()) }],
        cost: candidate.cost,
        quality: candidate.quality.mean(now),
    }
}
