//! Replaying a trace: requests meet the decisions in the trace's own time.

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

/// How often backend servers report, roll-outs are looked at and queues swept, in milliseconds.
const REPORT_EVERY_MS: u64 = 250;
const ROLLOUT_EVERY_MS: u64 = 1_000;
const SWEEP_EVERY_MS: u64 = 50;
/// How long after the last request the replay goes on, in milliseconds.
const TAIL_MS: u64 = 30_000;

domain! {
    /// How to replay.
    #[derive(Copy, Default)]
    pub struct Options {
        /// The policy.
        pub variant: Variant,
        /// Entry hosts, if not as many as the trace says.
        pub entry_hosts: Option<u32>,
    }
}

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives, by index in the trace.
    Request(usize),
    /// An event of the trace, by index.
    Event(usize),
    /// A backend server ends a call.
    Ended(usize),
    /// A rating comes back to the host that asked for it.
    Rated { host: usize, rated: Rated, cascade: Option<usize>, asked: Millis },
    /// A host hears of another's rating.
    Heard { host: usize, rated: Rated },
    /// A host hears that a version is stopped.
    Stopped { host: usize, version: Name },
    /// A host hears of a roll-out's share.
    Share { host: usize, version: Name, share: f64 },
    /// Reports of load arrive at all hosts.
    Reports { pool: Name, loads: Vec<Option<u32>>, at: Millis },
    /// Backend servers report.
    Report,
    /// A control looks at the roll-outs.
    Rollouts,
    /// Queues are swept for requests that can't be answered in time.
    Sweep,
}

/// A roll-out's row in the platform's table.
#[derive(Clone, Debug)]
struct Row {
    version: Name,
    course: Schedule,
    progress: Progress,
}

/// Everything in a replay.
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
    /// Versions of sessions, as their signed tokens say.
    sessions: BTreeMap<Name, Name>,
    rollouts: Vec<Row>,
    /// Versions turned bad, with the rated answers of them so far.
    bad: BTreeMap<Name, u64>,
    /// Versions whose test has its verdict at some host.
    found: BTreeMap<Name, Millis>,
    withdrawn: Vec<Name>,
    rater_up: bool,
    rate_ms: u64,
    platform_up: bool,
    control_up: bool,
    tally: Tally,
}

/// Replays a trace to its end.
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

    /// The same step again after a while, until the trace is well over.
    fn again(&mut self, after_ms: u64, step: Step) {
        let last = self.trace.requests.last().map_or(0, |request| request.at_ms);
        if self.now.0 < last + TAIL_MS {
            self.clock.push(self.now + after_ms, step);
        }
    }

    /// Tells all hosts but one, after the evidence delay.
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
