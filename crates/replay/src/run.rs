//! Replays a trace: processes its requests and events in the trace's own time.

pub mod clock;
mod events;
pub mod host;
mod job;
pub mod knowledge;
pub mod pool;
pub mod tally;

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;
use policy::rollout::{Progress, Schedule};
use policy::time::Millis;

use crate::generate::draw::Draw;
use crate::trace::Trace;
use crate::variant::Variant;

use clock::Clock;
use host::Host;
use job::{Call, Job};
use knowledge::Rating;
use pool::Pool;
use tally::Tally;

/// Interval at which backend servers report their load.
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval at which the control checks the roll-outs.
const ROLLOUT_INTERVAL_MS: u64 = 1_000;
/// Interval at which queues are swept for overdue requests.
const SWEEP_INTERVAL_MS: u64 = 50;
/// How long periodic steps continue after the last request, so that requests in flight can end.
const DRAIN_MS: u64 = 30_000;

domain! {
    /// Options of a replay.
    #[derive(Copy, Default)]
    pub struct Options {
        /// Policy that makes the decisions.
        pub variant: Variant,
        /// Number of entry hosts; `None` uses the trace's.
        pub entry_hosts: Option<u32>,
    }
}

/// A scheduled step of the replay.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives; holds its index in the trace.
    Request(usize),
    /// An event of the trace occurs; holds its index in the trace.
    Event(usize),
    /// A backend server ends a call; holds the call's index.
    Ended(usize),
    /// A rating arrives at the host that requested it. `cascade` is the request that waits for the
    /// rating, if any; `asked` is when the rating was requested.
    OwnRating { host: usize, rating: Rating, cascade: Option<usize>, asked: Millis },
    /// A rating that another host requested arrives at a host.
    PeerRating { host: usize, rating: Rating },
    /// A host learns that a version is stopped.
    Stopped { host: usize, version: Name },
    /// A host learns the current share of a roll-out.
    Share { host: usize, version: Name, share: f64 },
    /// Load reports that a pool's servers made at `at` arrive at all hosts.
    DeliverReports { pool: Name, loads: Vec<Option<u32>>, at: Millis },
    /// All backend servers report their load.
    Report,
    /// The control checks the roll-outs and raises or stops them.
    Rollouts,
    /// Hosts evict queued requests that can't be answered in time any more.
    Sweep,
}

/// The row of a roll-out in the platform's store.
#[derive(Clone, Debug)]
struct Row {
    version: Name,
    schedule: Schedule,
    progress: Progress,
}

/// State of a replay.
struct Replay<'a> {
    trace: &'a Trace,
    options: Options,
    clock: Clock<Step>,
    now: Millis,
    draw: Draw,
    hosts: Vec<Host>,
    pools: BTreeMap<Name, Pool>,
    jobs: Vec<Job>,
    calls: Vec<Call>,
    /// Version that each session is pinned to, as its signed token says.
    sessions: BTreeMap<Name, Name>,
    rollouts: Vec<Row>,
    /// Versions that have turned bad, with their number of rated answers until the verdict.
    bad: BTreeMap<Name, u64>,
    /// When a version's test first had the verdict "bad" at any host.
    detected_at: BTreeMap<Name, Millis>,
    withdrawn: Vec<Name>,
    rater_up: bool,
    rate_ms: u64,
    platform_up: bool,
    control_up: bool,
    tally: Tally,
}

/// Replays a trace to its end and returns the counts.
#[must_use]
pub fn run(trace: &Trace, options: Options) -> Tally {
    let mut replay = Replay::new(trace, options);
    while let Some((at, step)) = replay.clock.pop() {
        replay.now = at;
        replay.step(step);
    }
    for row in &replay.rollouts {
        let share = row.progress.share(&row.schedule);
        replay.tally.shares.insert(row.version.clone(), share);
    }
    replay.tally
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, options: Options) -> Self {
        let header = &trace.header;
        let hosts = options.entry_hosts.unwrap_or(header.entry_hosts);
        let mut clock = Clock::default();
        for (index, event) in trace.events.iter().enumerate() {
            clock.push(Millis(event.at_ms), Step::Event(index));
        }
        for (index, request) in trace.requests.iter().enumerate() {
            clock.push(Millis(request.at_ms), Step::Request(index));
        }
        [Step::Report, Step::Rollouts, Step::Sweep]
            .into_iter()
            .for_each(|step| clock.push(Millis(0), step));
        Self {
            trace,
            options,
            clock,
            now: Millis(0),
            draw: Draw::new(header.seed),
            hosts: (0..hosts).map(|_| Host::new(header, options.variant)).collect(),
            pools: header.pools.iter().map(|(n, p)| (n.clone(), Pool::new(*p))).collect(),
            jobs: Vec::new(),
            calls: Vec::new(),
            sessions: BTreeMap::new(),
            rollouts: rows(trace),
            bad: BTreeMap::new(),
            detected_at: BTreeMap::new(),
            withdrawn: Vec::new(),
            rater_up: true,
            rate_ms: header.rate_ms,
            platform_up: true,
            control_up: true,
            tally: Tally::default(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request(index) => self.arrive(index),
            Step::Event(index) => self.apply_event(index),
            Step::Ended(call) => self.end_call(call),
            Step::OwnRating { host, rating, cascade, asked } => {
                let took = self.now.since(asked);
                self.hosts[host].knowledge.record_rating_latency(took);
                self.receive_rating(host, &rating);
                self.continue_cascade(cascade, rating.good);
            }
            Step::PeerRating { host, rating } => self.record_rating(host, &rating),
            Step::Stopped { host, version } => self.stop_version(host, &version),
            Step::Share { host, version, share } => {
                self.hosts[host].knowledge.set_share(&version, share);
            }
            Step::DeliverReports { pool, loads, at } => self.deliver_reports(&pool, &loads, at),
            Step::Report => self.collect_reports(),
            Step::Rollouts => self.check_rollouts(),
            Step::Sweep => self.sweep(),
        }
    }

    /// Schedules a periodic step again, unless the trace has been over for [`DRAIN_MS`].
    fn reschedule(&mut self, after_ms: u64, step: Step) {
        let last = self.trace.requests.last().map_or(0, |request| request.at_ms);
        if self.now.0 < last + DRAIN_MS {
            self.clock.push(self.now + after_ms, step);
        }
    }

    /// Schedules a step at every host but `host`, after the evidence delay.
    fn notify_peers(&mut self, host: usize, step: impl Fn(usize) -> Step) {
        let at = self.now + self.trace.header.evidence_delay_ms;
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.clock.push(at, step(other));
        }
    }

    fn host_count(&self) -> u32 {
        self.hosts.len() as u32
    }
}

fn rows(trace: &Trace) -> Vec<Row> {
    let row = |rollout: &wire::configuration::Rollout| Row {
        version: rollout.version.clone(),
        schedule: Schedule {
            steps: rollout.steps.clone(),
            step_ms: rollout.step_ms,
            min_rated: rollout.min_rated,
            guard: rollout.guard,
        },
        progress: Progress::default(),
    };
    trace.header.configuration.rollouts.values().map(row).collect()
}
