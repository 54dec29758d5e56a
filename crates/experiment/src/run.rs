//! Runs a scenario with one strategy and one seed, as a discrete-event simulation.

mod agenda;
mod carry;
mod cause;
mod deliver;
mod look;

use policy::time::Millis;
use replay::generate::draw::Draw;

use self::agenda::{Agenda, Event};
use crate::engine::Engine;
use crate::host::Host;
use crate::request::{Micros, Outcome, Request};
use crate::scenario::{Kind, Scenario};
use crate::tally::Tally;
use crate::way::Way;

/// Clock of hosts at the start of a run; not 0, since hosts take a time of 0 for never.
const START_MS: u64 = 1_000;

/// An engine and its state in the simulation.
struct EngineState {
    engine: Engine,
    domain: usize,
    is_alive: bool,
    /// Whether a step is in progress.
    is_busy: bool,
    /// Incremented at each start and loss, so that events of an earlier life of the engine are
    /// ignored.
    epoch: u32,
}

/// State of a run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    way: &'a Way,
    now: Micros,
    draw: Draw,
    agenda: Agenda,
    hosts: Vec<Host>,
    engines: Vec<EngineState>,
    requests: Vec<Request>,
    /// Time from which no new request arrives.
    arrivals_end: Micros,
    /// Factor on the usual arrival rate.
    traffic: f64,
    /// Time until which the first failure domain is cut off from the others.
    cut_until: Micros,
    weight_sum: f64,
    tally: Tally,
}

/// Runs a scenario with one strategy and one seed.
#[must_use]
pub fn run(scenario: &Scenario, way: &Way, seed: u64) -> Tally {
    let mut simulation = Simulation::new(scenario, way, seed);
    simulation.begin();
    while let Some((at, event)) = simulation.agenda.next() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, way: &'a Way, seed: u64) -> Self {
        let domains = scenario.domains as usize;
        let engine_state = |index: usize| EngineState {
            engine: Engine::new(&scenario.engines),
            domain: index % domains,
            is_alive: true,
            is_busy: false,
            epoch: 0,
        };
        Self {
            scenario,
            way,
            now: 0,
            draw: Draw::new(seed),
            agenda: Agenda::default(),
            hosts: (0..scenario.hosts as usize).map(|host| Host::new(scenario, host)).collect(),
            engines: (0..scenario.engines.count as usize).map(engine_state).collect(),
            requests: Vec::new(),
            arrivals_end: arrivals_end(scenario),
            traffic: 1.0,
            cut_until: 0,
            weight_sum: scenario.kinds.iter().map(|kind| kind.weight).sum(),
            tally: Tally::new(scenario.length_s as usize),
        }
    }

    fn begin(&mut self) {
        for (index, cause) in self.scenario.causes.iter().enumerate() {
            self.agenda
                .schedule(micros(cause.at_s * 1_000.0), Event::Cause { index, begins: true });
            let end = micros((cause.at_s + cause.for_s) * 1_000.0);
            self.agenda.schedule(end, Event::Cause { index, begins: false });
        }
        self.next_arrival();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachHost { request } => self.reach_host(request),
            Event::ReachEngine { request, serial } => self.reach_engine(request, serial),
            Event::Reply { request, serial, reply } => self.reply(request, serial, reply),
            Event::Close { engine, id } => self.engines[engine].engine.cancel(id),
            Event::Step { engine, epoch } => self.step(engine, epoch),
            Event::Check { request, check } => self.check(request, check),
            Event::Cause { index, begins } => self.cause(index, begins),
            Event::UpdateLists { engine, epoch } => self.update_lists(engine, epoch),
        }
    }

    fn finish(mut self) -> Tally {
        for request in &self.requests {
            let second = (request.first_sent_at / 1_000_000) as usize;
            let outcome = request.outcome.unwrap_or(Outcome::Failed);
            if let Some(counts) = self.tally.seconds.get_mut(second) {
                counts.record(outcome);
            }
        }
        self.tally.preempted +=
            self.engines.iter().map(|engine_state| engine_state.engine.preempted).sum::<u64>();
        self.tally
    }

    /// Current time on the hosts' clock.
    fn clock(&self) -> Millis {
        Millis(START_MS + self.now / 1_000)
    }

    fn next_arrival(&mut self) {
        let mean_ms = 1_000.0 / (self.scenario.load_per_s * self.traffic);
        let at = self.now + micros(self.draw.exponential(mean_ms));
        if at < self.arrivals_end {
            self.agenda.schedule(at, Event::Arrive);
        }
    }

    /// A caller sends a new request.
    fn arrive(&mut self) {
        self.next_arrival();
        let kind = self.draw_kind();
        let deadline = self.now + self.scenario.kinds[kind].budget_ms * 1_000;
        let request = self.requests.len();
        let host = self.draw_host();
        self.requests.push(Request::new(kind, self.now, deadline, host));
        self.send_to_host(request, 0);
    }

    fn draw_kind(&mut self) -> usize {
        let mut left = self.draw.unit() * self.weight_sum;
        let kinds = &self.scenario.kinds;
        let found = kinds.iter().position(|kind| {
            left -= kind.weight;
            left < 0.0
        });
        found.unwrap_or(kinds.len() - 1)
    }

    fn draw_host(&mut self) -> usize {
        self.draw.below(u64::from(self.scenario.hosts)) as usize
    }

    fn send_to_host(&mut self, request: usize, wait: Micros) {
        let at = self.now + wait + micros(self.scenario.network.caller_ms);
        self.agenda.schedule(at, Event::ReachHost { request });
    }

    fn kind(&self, request: usize) -> (usize, &'a Kind) {
        let index = self.requests[request].kind;
        (index, &self.scenario.kinds[index])
    }

    /// One-way latency between hosts and engines.
    fn hop(&self) -> Micros {
        micros(self.scenario.network.engine_ms)
    }
}

/// Time at which requests stop arriving. Requests after the scenario's length are not counted; they
/// keep arriving for as long as callers of the last counted requests may wait, because the fleet
/// must not recover merely because the traffic ends.
fn arrivals_end(scenario: &Scenario) -> Micros {
    let waits = scenario.kinds.iter().map(|kind| kind.patience_ms().min(kind.budget_ms));
    (u64::from(scenario.length_s) * 1_000 + waits.max().unwrap_or_default()) * 1_000
}

/// Converts milliseconds, the unit of scenarios.
fn micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}
