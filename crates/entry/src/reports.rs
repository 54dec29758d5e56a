//! What this process saw of each version and request, reported to control at short intervals.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::name::Name;
use wire::evidence::{Evidence, Outcome, Report};

use crate::state::State;

const SHARDS: usize = 8;
/// Between two reports.
const EVERY: Duration = Duration::from_millis(500);
/// Longest wait for controls.
const WITHIN: Duration = Duration::from_secs(2);
/// Outcomes of one report at most; more are dropped, since no decision rests on each of them.
const OUTCOMES_MAX: usize = 5_000;

#[derive(Default)]
struct Shard {
    evidence: HashMap<(Name, Name), Evidence>,
    outcomes: Vec<Outcome>,
}

/// Counts since the last report.
#[derive(Default)]
pub struct Reports {
    shards: [Mutex<Shard>; SHARDS],
    next: AtomicUsize,
}

impl Reports {
    fn with<T>(&self, use_it: impl FnOnce(&mut Shard) -> T) -> T {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % SHARDS;
        use_it(&mut self.shards[index].lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn evidence(&self, version: &Name, task: &Name, note: impl FnOnce(&mut Evidence)) {
        self.with(|shard| {
            let key = (version.clone(), task.clone());
            let entry = shard.evidence.entry(key).or_insert_with(|| empty(version, task));
            note(entry);
        });
    }

    /// A call of a version ended.
    pub fn call(&self, version: &Name, task: &Name, failed: bool) {
        self.evidence(version, task, |evidence| {
            evidence.calls += 1;
            evidence.failed += u64::from(failed);
        });
    }

    /// An answer was rated.
    pub fn rated(&self, version: &Name, task: &Name, good: bool) {
        self.evidence(version, task, |evidence| evidence.rated.push(good));
    }

    /// A request ended.
    pub fn outcome(&self, outcome: Outcome) {
        self.with(|shard| {
            if shard.outcomes.len() < OUTCOMES_MAX / SHARDS {
                shard.outcomes.push(outcome);
            }
        });
    }

    /// Everything since the last time.
    #[must_use]
    pub fn take(&self) -> (Vec<Evidence>, Vec<Outcome>) {
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

/// Reports until the process ends.
///
/// A report whose answer was lost is sent again under its number, which control counts once.
pub async fn run(state: Arc<State>) {
    let mut number = 0;
    loop {
        tokio::time::sleep(EVERY).await;
        let (evidence, outcomes) = state.reports.take();
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
    while let Err(error) = state.controls.ask(WITHIN, call).await {
        log::warn!("entry: no control took report {}: {error}", report.number);
        tokio::time::sleep(EVERY).await;
    }
}
