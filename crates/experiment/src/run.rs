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
struct Place {
    engine: Engine,
    domain: usize,
    is_alive: bool,
    /// Whether a step is in progress.
    is_busy: bool,
    /// Incremented at each start and loss, so that events of an earlier life of the engine are
    /// ignored.
    start: u32,
}

/// State of a run.
struct World<'a> {
    scenario: &'a Scenario,
    way: &'a Way,
    now: Micros,
    draw: Draw,
    agenda: Agenda,
    hosts: Vec<Host>,
    engines: Vec<Place>,
    requests: Vec<Request>,
    /// Time from which no new request arrives.
    end: Micros,
    /// Factor on the usual arrival rate.
    traffic: f64,
    /// Time until which the first failure domain is cut off from the others.
    cut_until: Micros,
    weights: f64,
    tally: Tally,
}

/// Runs a scenario with one strategy and one seed.
#[must_use]
pub fn run(scenario: &Scenario, way: &Way, seed: u64) -> Tally {
    let mut world = World::new(scenario, way, seed);
    world.begin();
    while let Some((at, event)) = world.agenda.next() {
        world.now = at;
        world.handle(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, way: &'a Way, seed: u64) -> Self {
        let domains = scenario.domains as usize;
        let place = |index: usize| Place {
            engine: Engine::new(&scenario.engines),
            domain: index % domains,
            is_alive: true,
            is_busy: false,
            start: 0,
        };
        Self {
            scenario,
            way,
            now: 0,
            draw: Draw::new(seed),
            agenda: Agenda::default(),
            hosts: (0..scenario.hosts as usize).map(|host| Host::new(scenario, host)).collect(),
            engines: (0..scenario.engines.count as usize).map(place).collect(),
            requests: Vec::new(),
            end: end(scenario),
            traffic: 1.0,
            cut_until: 0,
            weights: scenario.kinds.iter().map(|kind| kind.weight).sum(),
            tally: Tally::new(scenario.length_s as usize),
        }
    }

    fn begin(&mut self) {
        for (index, cause) in self.scenario.causes.iter().enumerate() {
            self.agenda.at(micros(cause.at_s * 1_000.0), Event::Cause { index, begins: true });
            let end = micros((cause.at_s + cause.for_s) * 1_000.0);
            self.agenda.at(end, Event::Cause { index, begins: false });
        }
        self.next_arrival();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask { request } => self.ask(request),
            Event::Reach { request, serial } => self.reach(request, serial),
            Event::Reply { request, serial, reply } => self.reply(request, serial, reply),
            Event::Close { engine, id } => self.engines[engine].engine.drop(id),
            Event::Step { engine, start } => self.step(engine, start),
            Event::Look { request, look } => self.look(request, look),
            Event::Cause { index, begins } => self.cause(index, begins),
            Event::List { engine, start } => self.list(engine, start),
        }
    }

    fn finish(mut self) -> Tally {
        for request in &self.requests {
            let second = (request.came / 1_000_000) as usize;
            let outcome = request.outcome.unwrap_or(Outcome::Failed);
            if let Some(counts) = self.tally.seconds.get_mut(second) {
                counts.note(outcome);
            }
        }
        self.tally.preempted +=
            self.engines.iter().map(|place| place.engine.preempted).sum::<u64>();
        self.tally
    }

    /// Current time on the hosts' clock.
    fn clock(&self) -> Millis {
        Millis(START_MS + self.now / 1_000)
    }

    fn next_arrival(&mut self) {
        let mean_ms = 1_000.0 / (self.scenario.load_per_s * self.traffic);
        let at = self.now + micros(self.draw.exponential(mean_ms));
        if at < self.end {
            self.agenda.at(at, Event::Arrive);
        }
    }

    /// A caller sends a new request.
    fn arrive(&mut self) {
        self.next_arrival();
        let kind = self.draw_kind();
        let until = self.now + self.scenario.kinds[kind].budget_ms * 1_000;
        let request = self.requests.len();
        let host = self.draw_host();
        self.requests.push(Request::new(kind, self.now, until, host));
        self.send_to_host(request, 0);
    }

    fn draw_kind(&mut self) -> usize {
        let mut left = self.draw.unit() * self.weights;
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
        self.agenda.at(at, Event::Ask { request });
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
fn end(scenario: &Scenario) -> Micros {
    let waits = scenario.kinds.iter().map(|kind| kind.patience_ms().min(kind.budget_ms));
    (u64::from(scenario.length_s) * 1_000 + waits.max().unwrap_or_default()) * 1_000
}

/// Converts milliseconds, the unit of scenarios.
fn micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}
