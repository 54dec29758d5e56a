//! Counts the answers of versions under roll-out on this host.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::clock;
use policy::canary::{Count, Evidence, Outcome};
use policy::name::Name;
use policy::time::Millis;

/// Number of answers from before an order at which they are halved, so that the latest weigh most.
const CALM_ANSWERS_MAX: u32 = 4_000;

/// The version that gave an answer, and under which load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cohort {
    /// The version in use, while no roll-out is in progress.
    Calm,
    /// The version before.
    Old,
    /// The version before, while it received all requests because the trial had not begun.
    Before,
    /// The version on trial, while it received a share of the requests.
    New,
    /// The version on trial, for a request that arrived while few of its servers had peak load.
    NewAtPeak,
    /// The version on trial, while it received all requests.
    NewAtFull,
}

impl Cohort {
    /// The value of the `cohort` label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Old => "old",
            Self::Before => "before",
            Self::New => "new",
            Self::NewAtPeak => "new_at_peak",
            Self::NewAtFull => "new_at_full",
        }
    }

    /// Whether the version on trial gave the answer.
    #[must_use]
    pub fn is_new(self) -> bool {
        matches!(self, Self::New | Self::NewAtPeak | Self::NewAtFull)
    }
}

/// How an answer was counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CountedAnswer {
    /// The version that gave the answer, and under which load.
    pub cohort: Cohort,
    /// What the answer says of the version.
    pub sign: Outcome,
}

/// A request that was sent to a version that takes part in a roll-out, or may do so later.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The id of the request.
    pub request: Name,
    /// The service that answers.
    pub service: Name,
    /// The route that the request came by.
    pub route: Name,
    /// The version that was asked, and under which load.
    pub cohort: Cohort,
    /// When the answer is slow if it has not been judged.
    pub due: Millis,
}

/// Counts of answers by service and route, for roll-outs in progress.
#[derive(Default)]
pub struct Tally(Mutex<Counts>);

#[derive(Default)]
struct Counts {
    /// Answers that were judged, by service and route.
    judged: BTreeMap<Name, BTreeMap<Name, Evidence>>,
    /// Requests whose answers have not been judged yet.
    open: BTreeMap<u64, Sent>,
    /// Number of requests that were watched so far.
    watched: u64,
}

/// A request whose answer has not been judged yet. If it is dropped before that, when its answer is
/// due already, it counts as slow: whatever ended it, the answer has not come in the usual time.
#[must_use]
pub struct Watched {
    tally: Arc<Tally>,
    number: u64,
}

impl Watched {
    /// Sets when the answer is due, and the cohort of an answer that is judged then.
    pub fn extend(&self, due: Millis, cohort: Cohort) {
        if let Some(sent) = self.tally.lock().open.get_mut(&self.number) {
            (sent.due, sent.cohort) = (due, cohort);
        }
    }

    /// Ends the watch: the answer was judged, or it says nothing about its version.
    pub fn resolve(self) {
        self.tally.lock().open.remove(&self.number);
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let Some(sent) = self.tally.lock().open.remove(&self.number) else { return };
        let is_overdue = clock::steady() >= sent.due;
        if is_overdue {
            self.tally.record(&sent.service, &sent.route, sent.cohort, Outcome::Slow);
        }
        log_missed(&sent, if is_overdue { "missed" } else { "uncounted" });
    }
}

/// Logs and counts a request whose answer was never judged.
fn log_missed(sent: &Sent, sign: &'static str) {
    if sent.cohort == Cohort::Calm {
        return;
    }
    metrics::counter!("gateway_rollout_answers_total", "service" => sent.service.to_string(),
        "cohort" => sent.cohort.label(), "sign" => sign)
    .increment(1);
    if sent.cohort.is_new() {
        log::info!(target: "route", request:% = sent.request, service:% = sent.service,
            route:% = sent.route, cohort = sent.cohort.label(), sign; "no answer on trial");
    }
}

/// The part of a route's evidence that a cohort counts in, beside the version's whole.
fn counts_of(evidence: &mut Evidence, cohort: Cohort) -> (&mut Count, Option<&mut Count>) {
    match cohort {
        Cohort::Calm => (&mut evidence.calm, None),
        Cohort::Old => (&mut evidence.old, None),
        Cohort::Before => (&mut evidence.old, Some(&mut evidence.before)),
        Cohort::New => (&mut evidence.new, None),
        Cohort::NewAtPeak => (&mut evidence.new, Some(&mut evidence.peak)),
        Cohort::NewAtFull => (&mut evidence.new, Some(&mut evidence.full)),
    }
}

fn add(routes: &mut BTreeMap<Name, Evidence>, route: &Name, cohort: Cohort, sign: Outcome) {
    let evidence = routes
        .entry(route.clone())
        .or_insert_with(|| Evidence { route: route.clone(), ..Evidence::default() });
    let (whole, part) = counts_of(evidence, cohort);
    whole.record(sign);
    part.into_iter().for_each(|part| part.record(sign));
    if evidence.calm.answers >= CALM_ANSWERS_MAX {
        evidence.calm.halve();
    }
}

impl Tally {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an answer.
    pub fn record(&self, service: &Name, route: &Name, cohort: Cohort, sign: Outcome) {
        let mut counts = self.lock();
        add(counts.judged.entry(service.clone()).or_default(), route, cohort, sign);
    }

    /// Retracts an answer. A stream that was counted by its first events and breaks later is
    /// counted as failed. If it were counted twice, a version that fails in this way would seem to
    /// fail half as often.
    pub fn retract(&self, service: &Name, route: &Name, counted: CountedAnswer) {
        let mut counts = self.lock();
        let judged = counts.judged.get_mut(service);
        let Some(evidence) = judged.and_then(|routes| routes.get_mut(route)) else { return };
        let (whole, part) = counts_of(evidence, counted.cohort);
        whole.retract(counted.sign);
        part.into_iter().for_each(|part| part.retract(counted.sign));
    }

    /// Watches a request that is being sent, until its answer is judged.
    pub fn watch(self: &Arc<Self>, sent: Sent) -> Watched {
        let mut counts = self.lock();
        counts.watched += 1;
        let number = counts.watched;
        counts.open.insert(number, sent);
        Watched { tally: Arc::clone(self), number }
    }

    /// The counts of a service, by route. A request whose answer is overdue counts as slow before it
    /// ends: the slower a version, the fewer of its answers have ended.
    #[must_use]
    pub fn evidence(&self, service: &Name, now: Millis) -> Vec<Evidence> {
        let counts = self.lock();
        let mut routes = counts.judged.get(service).cloned().unwrap_or_default();
        let overdue = counts.open.values().filter(|sent| sent.service == *service);
        for sent in overdue.filter(|sent| now >= sent.due) {
            add(&mut routes, &sent.route, sent.cohort, Outcome::Slow);
        }
        routes.into_values().collect()
    }

    /// Removes what was counted of a service's roll-out, when another one begins. Requests sent
    /// before don't count in it. What was usual before stays.
    pub fn clear(&self, service: &Name) {
        let mut counts = self.lock();
        for evidence in counts.judged.get_mut(service).into_iter().flat_map(BTreeMap::values_mut) {
            let (route, calm) = (evidence.route.clone(), evidence.calm);
            *evidence = Evidence { route, calm, ..Evidence::default() };
        }
        counts.open.retain(|_, sent| sent.service != *service);
    }
}
