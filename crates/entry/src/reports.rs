//! Collects evidence about versions and the outcomes of requests, and reports them to a control at
//! short intervals.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::name::Name;
use wire::evidence::{Evidence, Outcome, Report};

use crate::state::State;

const SHARDS_COUNT: usize = 8;
/// Interval between two reports, and delay before a report is sent again.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Limit on the time in which all controls together are asked to accept a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the outcomes in one report. Further outcomes are dropped, since no decision depends on
/// each of them.
const OUTCOMES_MAX: usize = 5_000;

#[derive(Default)]
struct Shard {
    evidence: HashMap<(Name, Name), Evidence>,
    outcomes: Vec<Outcome>,
}

/// Evidence and outcomes since the last report.
#[derive(Default)]
pub struct Reports {
    shards: [Mutex<Shard>; SHARDS_COUNT],
    next: AtomicUsize,
}

impl Reports {
    fn with_shard<T>(&self, apply: impl FnOnce(&mut Shard) -> T) -> T {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % SHARDS_COUNT;
        apply(&mut self.shards[index].lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn update_evidence(&self, version: &Name, task: &Name, update: impl FnOnce(&mut Evidence)) {
        self.with_shard(|shard| {
            let key = (version.clone(), task.clone());
            let entry = shard.evidence.entry(key).or_insert_with(|| empty(version, task));
            update(entry);
        });
    }

    /// Counts a finished call of a version; `failed` if its version failed in it.
    pub fn record_call(&self, version: &Name, task: &Name, failed: bool) {
        self.update_evidence(version, task, |evidence| {
            evidence.calls += 1;
            evidence.failed += u64::from(failed);
        });
    }

    /// Adds the rating of an answer.
    pub fn record_rating(&self, version: &Name, task: &Name, good: bool) {
        self.update_evidence(version, task, |evidence| evidence.rated.push(good));
    }

    /// Adds the outcome of a finished request, unless the report is full.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.with_shard(|shard| {
            if shard.outcomes.len() < OUTCOMES_MAX / SHARDS_COUNT {
                shard.outcomes.push(outcome);
            }
        });
    }

    /// Removes and returns everything collected since the last call, with one evidence entry per
    /// version and task.
    #[must_use]
    pub fn drain(&self) -> (Vec<Evidence>, Vec<Outcome>) {
        let mut all: HashMap<(Name, Name), Evidence> = HashMap::new();
        let mut outcomes = Vec::new();
        for shard in &self.shards {
            let shard = std::mem::take(&mut *shard.lock().unwrap_or_else(PoisonError::into_inner));
            outcomes.extend(shard.outcomes);
            for (key, piece) in shard.evidence {
                let sum = all.entry(key).or_insert_with(|| empty(&piece.version, &piece.task));
                sum.calls += piece.calls;
                sum.failed += piece.failed;
                sum.rated.extend(piece.rated);
            }
        }
        (all.into_values().collect(), outcomes)
    }
}

fn empty(version: &Name, task: &Name) -> Evidence {
    Evidence {
        version: version.clone(),
        task: task.clone(),
        calls: 0,
        failed: 0,
        rated: Vec::new(),
    }
}

/// Sends reports until the process ends.
///
/// A report whose answer was lost is sent again under the same number; controls count a number
/// once.
pub async fn run(state: Arc<State>) {
    let mut number = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let (evidence, outcomes) = state.reports.drain();
        if evidence.is_empty() && outcomes.is_empty() {
            continue;
        }
        number += 1;
        let report = Report { entry: state.settings.name.clone(), number, evidence, outcomes };
        deliver(&state, &report).await;
    }
}

async fn deliver(state: &State, report: &Report) {
    let call = |client: wire::rpc::ControlClient, context| {
        let report = report.clone();
        async move { client.report(context, report).await }
    };
    while let Err(error) = state.controls.ask(REPORT_TIMEOUT, call).await {
        log::warn!("entry: no control accepted report {}: {error}; retrying", report.number);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
