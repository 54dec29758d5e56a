//! Replays a trace: processes its requests and events in the trace's own time.

pub mod clock;
pub mod host;
pub mod knowledge;
mod life;
mod news;
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
use knowledge::Rated;
use life::{Call, Life};
use pool::Pool;
use tally::Tally;

/// Interval at which backend servers report their load.
const REPORT_EVERY_MS: u64 = 250;
/// Interval at which the control checks the roll-outs.
const ROLLOUT_EVERY_MS: u64 = 1_000;
/// Interval at which queues are swept for overdue requests.
const SWEEP_EVERY_MS: u64 = 50;
/// How long periodic steps continue after the last request, so that requests in flight can end.
const TAIL_MS: u64 = 30_000;

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
    Rated { host: usize, rated: Rated, cascade: Option<usize>, asked: Millis },
    /// A rating that another host requested arrives at a host.
    Heard { host: usize, rated: Rated },
    /// A host learns that a version is stopped.
    Stopped { host: usize, version: Name },
    /// A host learns the current share of a roll-out.
    Share { host: usize, version: Name, share: f64 },
    /// Load reports that a pool's servers made at `at` arrive at all hosts.
    Reports { pool: Name, loads: Vec<Option<u32>>, at: Millis },
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
    course: Schedule,
    progress: Progress,
}

/// State of a replay.
struct World<'a> {
    trace: &'a Trace,
    options: Options,
    clock: Clock<Step>,
    now: Millis,
    draw: Draw,
    hosts: Vec<Host>,
    pools: BTreeMap<Name, Pool>,
    lives: Vec<Life>,
    calls: Vec<Call>,
    /// Version that each session is pinned to, as its signed token says.
    sessions: BTreeMap<Name, Name>,
    rollouts: Vec<Row>,
    /// Versions that have turned bad, with their number of rated answers until the verdict.
    bad: BTreeMap<Name, u64>,
    /// When a version's test first had the verdict "bad" at any host.
    found: BTreeMap<Name, Millis>,
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
    let mut world = World::new(trace, options);
    while let Some((at, step)) = world.clock.pop() {
        world.now = at;
        world.step(step);
    }
    for row in &world.rollouts {
        let share = row.progress.share(&row.course);
        world.tally.shares.insert(row.version.clone(), share);
    }
    world.tally
}

impl<'a> World<'a> {
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
            lives: Vec::new(),
            calls: Vec::new(),
            sessions: BTreeMap::new(),
            rollouts: rows(trace),
            bad: BTreeMap::new(),
            found: BTreeMap::new(),
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
            Step::Event(index) => self.happen(index),
            Step::Ended(call) => self.ended(call),
            Step::Rated { host, rated, cascade, asked } => {
                let took = self.now.since(asked);
                self.hosts[host].knowledge.rating_took(took);
                self.rated(host, &rated);
                self.cascade_rated(cascade, rated.good);
            }
            Step::Heard { host, rated } => self.observe(host, &rated),
            Step::Stopped { host, version } => self.stop(host, &version),
            Step::Share { host, version, share } => {
                self.hosts[host].knowledge.share(&version, share);
            }
            Step::Reports { pool, loads, at } => self.reports(&pool, &loads, at),
            Step::Report => self.report(),
            Step::Rollouts => self.rollouts(),
            Step::Sweep => self.sweep(),
        }
    }

    /// Schedules a periodic step again, unless the trace has been over for [`TAIL_MS`].
    fn again(&mut self, after_ms: u64, step: Step) {
        let last = self.trace.requests.last().map_or(0, |request| request.at_ms);
        if self.now.0 < last + TAIL_MS {
            self.clock.push(self.now + after_ms, step);
        }
    }

    /// Schedules a step at every host but `host`, after the evidence delay.
    fn tell_others(&mut self, host: usize, step: impl Fn(usize) -> Step) {
        let at = self.now + self.trace.header.evidence_delay_ms;
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.clock.push(at, step(other));
        }
    }

    fn entries(&self) -> u32 {
        self.hosts.len() as u32
    }
}

fn rows(trace: &Trace) -> Vec<Row> {
    let row = |rollout: &wire::configuration::Rollout| Row {
        version: rollout.version.clone(),
        course: Schedule {
            steps: rollout.steps.clone(),
            step_ms: rollout.step_ms,
            min_rated: rollout.min_rated,
            guard: rollout.guard,
        },
        progress: Progress::default(),
    };
    trace.header.configuration.rollouts.values().map(row).collect()
}
