//! What the entries here saw since the last piece of news, summed up.

use std::collections::BTreeMap;

use policy::name::Name;
use wire::configuration::{Document, ServiceLevel};
use wire::evidence::{Evidence, Outcome, Report};
use wire::gossip::{Counts, LevelCounts};

/// Ratings held of one version and task; the oldest go first when no reporter is in reach.
const RATED_MAX: usize = 2_000;

/// The sums.
#[derive(Default)]
pub struct Gathered {
    evidence: BTreeMap<(Name, Name), Evidence>,
    levels: BTreeMap<Name, (u64, u64)>,
}

impl Gathered {
    /// Adds an entry's report, its outcomes as counts of the service levels they belong to.
    pub fn add_report(&mut self, report: Report, document: &Document) {
        for outcome in &report.outcomes {
            let levels = document.service_levels.iter();
            for (name, level) in levels.filter(|(_, level)| belongs(outcome, level)) {
                let (good, total) = self.levels.entry(name.clone()).or_default();
                *good += u64::from(outcome.answered && outcome.total_ms <= level.within_ms);
                *total += 1;
            }
        }
        report.evidence.into_iter().for_each(|piece| self.add_evidence(piece));
    }

    /// Adds counts that another control gathered.
    pub fn add(&mut self, counts: Counts) {
        for level in counts.levels {
            let (good, total) = self.levels.entry(level.name).or_default();
            *good += level.good;
            *total += level.total;
        }
        counts.evidence.into_iter().for_each(|piece| self.add_evidence(piece));
    }

    fn add_evidence(&mut self, piece: Evidence) {
        let key = (piece.version.clone(), piece.task.clone());
        let sum = self.evidence.entry(key).or_insert_with(|| Evidence {
            version: piece.version,
            task: piece.task,
            calls: 0,
            failed: 0,
            rated: Vec::new(),
        });
        sum.calls += piece.calls;
        sum.failed += piece.failed;
        sum.rated.extend(piece.rated);
        let surplus = sum.rated.len().saturating_sub(RATED_MAX);
        sum.rated.drain(..surplus);
    }

    /// Takes everything out; none if there is nothing.
    pub fn take(&mut self, generation: u64) -> Option<Counts> {
        let evidence: Vec<Evidence> = std::mem::take(&mut self.evidence).into_values().collect();
        let levels = std::mem::take(&mut self.levels).into_iter();
        let levels: Vec<LevelCounts> =
            levels.map(|(name, (good, total))| LevelCounts { name, good, total }).collect();
        match evidence.is_empty() && levels.is_empty() {
            true => None,
            false => Some(Counts { generation, evidence, levels }),
        }
    }
}

fn belongs(outcome: &Outcome, level: &ServiceLevel) -> bool {
    outcome.account == level.account && level.task.as_ref().is_none_or(|task| *task == outcome.task)
}
