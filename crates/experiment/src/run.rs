//! One run: a scenario by one way from one seed, event by event in simulated time.

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

/// Hosts take a time of 0 for never.
const START_MS: u64 = 1_000;

/// An engine and what stands around it.
struct Place {
    engine: Engine,
    domain: usize,
    is_alive: bool,
    /// A step is under way.
    is_busy: bool,
    /// Counts its starts, so that steps of earlier ones are known.
    start: u32,
}

/// Everything in a run.
struct World<'a> {
    scenario: &'a Scenario,
    way: &'a Way,
    now: Micros,
    draw: Draw,
    agenda: Agenda,
    hosts: Vec<Host>,
    engines: Vec<Place>,
    requests: Vec<Request>,
    /// No request comes in from then on.
    end: Micros,
    /// How many times larger the traffic is than usual.
    traffic: f64,
    /// Until then the first failure domain is cut off.
    cut_until: Micros,
    weights: f64,
    tally: Tally,
}

/// Plays a scenario by one way from one seed.
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

    /// As hosts see it.
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

    /// A caller sends a request.
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

    /// One way between hosts and engines.
    fn hop(&self) -> Micros {
        micros(self.scenario.network.engine_ms)
    }
}

/// When requests cease. Those beyond the scenario's length are not counted: the fleet must not
/// recover by the traffic's end, so they come for as long as callers of its last ones may wait.
fn end(scenario: &Scenario) -> Micros {
    let waits = scenario.kinds.iter().map(|kind| kind.patience_ms().min(kind.budget_ms));
    (u64::from(scenario.length_s) * 1_000 + waits.max().unwrap_or_default()) * 1_000
}

/// Milliseconds as they stand in a scenario.
fn micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}
