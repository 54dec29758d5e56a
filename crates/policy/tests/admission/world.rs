//! Hosts, callers and servers in simulated time, which decide by the functions that the gateway calls.

mod case;
mod engine;
mod host;
mod messages;
mod server;

use std::collections::BTreeMap;

use policy::admit::gate::Answered;
use policy::admit::room::{self, Kind, Server as View};
use policy::admit::{Arrival, Verdict};
use policy::engine::{Costs, Demand};
use policy::place::mix;
use policy::report::Report;
use policy::time::Millis;

use case::PLAIN;
pub use case::{Case, ENGINES, FIRST_USUALLY, Fault, Outcome, USUAL};
use engine::Engine;
use host::{Host, Known};
use messages::Message;
use server::{Plain, Request, Server, Stage};

const LATENCY_MS: u64 = 1;
const LOOK_MS: u64 = 5;
const SHARES_MS: u64 = 500;
const ATTEMPTS_MAX: u32 = 4;
const START: u64 = 10_000;
const DOMAINS: usize = 3;
/// Time until hosts that are lost leave the list of hosts.
const LOST_AFTER_MS: u64 = 3_000;

pub struct Draws(pub u64);

impl Draws {
    pub fn next(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn index(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrives(usize, Request),
    /// A server tells of a request.
    Told(Stage, usize, Request, Report),
    Rejected(usize, Request, Report),
    Announced(usize, Message),
    /// Comes back, after a refusal.
    Returns(usize),
}

pub struct World {
    case: Case,
    now: u64,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    events: BTreeMap<u64, Vec<Event>>,
    draws: Draws,
    out: Outcome,
}

impl World {
    pub fn run(case: Case) -> Outcome {
        let zero = vec![0; case.accounts];
        let server = || match case.service.kind {
            Kind::Plain => Server::Plain(Plain::default()),
            Kind::Engine | Kind::AnnouncedEngine => Server::Engine(Engine::default()),
        };
        let mut world = Self {
            case,
            now: START,
            servers: (0..case.servers).map(|_| server()).collect(),
            hosts: (0..case.hosts).map(|_| Host::new(case.service, case.servers)).collect(),
            events: BTreeMap::new(),
            draws: Draws(case.hosts as u64 + 1_000 * case.seed),
            out: Outcome {
                offered: zero.clone(),
                answered: zero.clone(),
                in_time: zero,
                ..Outcome::default()
            },
        };
        while world.now < START + case.ms {
            world.step();
            world.now += 1;
        }
        let slots = f64::from(case.service.slots) * case.servers as f64;
        world.out.busy /= slots * case.ms as f64;
        world.out
    }

    fn step(&mut self) {
        for account in 0..self.case.accounts {
            let is_warm = self.now >= START + self.case.service.warmup_ms;
            let factor = match account {
                0 if is_warm => self.case.first,
                0 => self.case.first.min(FIRST_USUALLY),
                _ => 1.0,
            };
            let burst = if self.now / 1_000 % 4 == 1 { self.case.burst } else { 1.0 };
            let mut expected = self.case.per_second * factor * burst / 1_000.0;
            while self.draws.next() < expected {
                expected -= 1.0;
                let is_counted = self.is_counted(self.now + self.case.service.deadline_ms);
                self.out.offered[account] += u32::from(is_counted);
                self.arrive(account);
            }
        }
        for event in self.events.remove(&self.now).unwrap_or_default() {
            self.handle(event);
        }
        for number in 0..self.servers.len() {
            self.work(number);
        }
        if self.now.is_multiple_of(SHARES_MS) {
            (0..self.hosts.len()).for_each(|host| self.announce_shares(host));
        }
        if self.case.fault == Fault::Lost && self.now == START + 2_000 {
            (0..self.hosts.len()).step_by(3).for_each(|host| self.hosts[host].restart());
        }
        if self.now.is_multiple_of(500) {
            let all = 0..self.hosts.len();
            let struck: Vec<usize> =
                all.filter(|it| self.is_struck(*it, Fault::Restarts)).collect();
            struck.into_iter().for_each(|host| self.hosts[host].restart());
        }
        if self.now.is_multiple_of(LOOK_MS) {
            (0..self.hosts.len()).for_each(|host| self.serve(host));
        }
    }

    /// Whether a host is struck by the case's fault now.
    fn is_struck(&self, host: usize, fault: Fault) -> bool {
        let elapsed = self.now - START;
        let is_over = fault != Fault::Lost && elapsed >= 4_000;
        self.case.fault == fault && host.is_multiple_of(3) && elapsed >= 2_000 && !is_over
    }

    /// The number of hosts that the others believe in.
    fn host_count(&self) -> u32 {
        let lost =
            if self.now >= START + 2_000 + LOST_AFTER_MS { Fault::Lost } else { Fault::None };
        let is_counted = |host: &usize| lost == Fault::None || !self.is_struck(*host, lost);
        (0..self.case.hosts).filter(is_counted).count() as u32
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.events.entry(self.now + delay.max(1)).or_default().push(event);
    }

    fn arrive(&mut self, account: usize) {
        let mut host = self.draws.index(self.case.hosts);
        // Callers whose host is lost come to the next one.
        host = if self.is_struck(host, Fault::Lost) { (host + 1) % self.case.hosts } else { host };
        let service = self.case.service;
        let (priority, is_long) = match service.kind {
            Kind::Plain => (1, false),
            _ => ([0, 1, 1, 1, 2][self.draws.index(5)], self.draws.index(2) == 0),
        };
        self.enter(Request {
            account,
            host,
            deadline: self.now + service.deadline_ms,
            objective: self.now + service.objective_ms[usize::from(is_long)],
            priority,
            is_long,
            sent_at: 0,
            crowding: 1.0,
            rejected_by: 0,
            attempts: 0,
        });
    }

    /// Whether a request counts that is over by this time.
    fn is_counted(&self, deadline: u64) -> bool {
        let Case { service, ms, .. } = self.case;
        deadline < START + ms && deadline >= START + service.warmup_ms + service.deadline_ms
    }

    /// What `gateway::admission` does with a request that arrives or was rejected by all.
    fn enter(&mut self, mut request: Request) {
        let Request { account, host, .. } = request;
        if !self.case.is_on {
            return self.send(request);
        }
        let mut arrival =
            Arrival::new(format!("a{account}"), request.priority, Millis(request.deadline))
                .with_objective(Millis(request.objective));
        let (room, now, draw) =
            (self.hosts[host].room(self.now), Millis(self.now), self.draws.next());
        let hosts = self.host_count();
        let share_draw = self.draws.next();
        let state = &mut self.hosts[host];
        if self.case.service.kind != Kind::Plain {
            request.crowding = room.crowding();
            arrival = arrival.with_service(state.answer_ms);
        }
        if request.attempts == 0 {
            state.gate.record_offered(&arrival, self.case.service.kind, now);
        }
        match state.gate.arrive(&mut arrival, (room, hosts), (share_draw, draw), now) {
            Verdict::Admit => self.send(request),
            Verdict::Wait { ticket, evicted } => {
                state.waiting.insert(ticket, request);
                let evicted = evicted.and_then(|evicted| state.waiting.remove(&evicted.ticket));
                evicted.into_iter().for_each(|request| self.refuse(request));
            }
            Verdict::Refuse { .. } => self.refuse(request),
        }
    }

    fn send(&mut self, mut request: Request) {
        request.sent_at = self.now;
        if self.case.service.kind != Kind::Plain {
            return self.send_to_engine(request);
        }
        let (now, draw) = (self.now, self.draws.next());
        let host = &mut self.hosts[request.host];
        let mut views: Vec<(View, f64)> =
            host.known.iter().map(|it| (it.view(PLAIN.slots, now), 1.0)).collect();
        let is_untried = |index: &usize| request.rejected_by & (1 << index) == 0;
        for index in (0..views.len()).filter(|index| !is_untried(index)) {
            views[index] = (View::default(), 0.0);
        }
        let first = (draw * views.len() as f64) as usize;
        let order = (0..views.len()).map(|index| (index + first) % views.len());
        let cost = |index: usize| views[index].0.believed();
        let emptiest = || order.filter(is_untried).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let spread = if self.case.is_on { room::spread(&views, draw) } else { None };
        let best = spread.or_else(emptiest).unwrap();
        host.known[best].change_own(1, now);
        self.at(LATENCY_MS, Event::Arrives(best, request));
    }

    fn send_to_engine(&mut self, request: Request) {
        let (now, draws) = (self.now, &mut self.draws);
        let host = &mut self.hosts[request.host];
        let engine = |(index, known): (usize, &Known)| {
            let View { slots, own, reported, own_then, report_age_ms } =
                known.view(ENGINES.slots, now);
            let near = index % DOMAINS == request.host % DOMAINS;
            policy::engine::Engine {
                own,
                reported,
                own_then,
                report_age_ms,
                slots,
                near,
                ..Default::default()
            }
        };
        let mut engines: Vec<_> = host.known.iter().enumerate().map(engine).collect();
        let mut draw = || (draws.next() * 1e18) as u64;
        policy::engine::use_announced_loads(&mut engines, draw());
        let demand = Demand {
            prompt: 826.0,
            shared: 0.0,
            tokens_per_ms: 56.6,
            service_ms: 6_000.0,
            far_ms: (request.objective + ENGINES.deadline_ms - request.deadline) as f64 / 8.0,
            failure_ms: 1_000.0,
        };
        let costs = Costs { spills: true, ..Costs::default() };
        let best = policy::engine::place(&engines, &demand, &costs, draw()).unwrap().index;
        host.known[best].change_own(1, now);
        self.at(LATENCY_MS, Event::Arrives(best, request));
    }

    fn refuse(&mut self, request: Request) {
        self.out.refused += 1;
        let has_free =
            self.servers.iter().any(|server| server.running() < self.case.service.slots as usize);
        self.out.refused_beside_free += u32::from(has_free);
        self.out.held_past += u32::from(self.now > request.deadline);
        if self.draws.next() < self.case.return_share {
            self.at(1, Event::Returns(request.account));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(server, request) => {
                let at = &mut self.servers[server];
                if !at.accepts(request) {
                    self.out.rejected += 1;
                    let report = at.report();
                    self.at(LATENCY_MS, Event::Rejected(server, request, report));
                }
            }
            Event::Told(_, _, Request { host, .. }, _)
            | Event::Rejected(_, Request { host, .. }, _)
            | Event::Announced(host, ..)
                if self.is_struck(host, Fault::Lost) => {}
            Event::Told(stage, server, request, report) => {
                self.told(stage, server, request, report);
            }
            Event::Rejected(server, request, report) => self.rejected(server, request, report),
            Event::Announced(host, ..) if self.is_struck(host, Fault::CutOff) => {}
            Event::Announced(host, message) => self.hear(host, message),
            Event::Returns(account) => {
                self.out.returns += 1;
                self.arrive(account);
            }
        }
    }

    fn rejected(&mut self, server: usize, mut request: Request, report: Report) {
        let now = self.now;
        request.rejected_by |= 1 << server;
        request.attempts += 1;
        let is_late = self.case.is_on && request.deadline < now + self.case.service.work_ms as u64;
        let is_last = !self.case.is_bounded || is_late || request.attempts >= ATTEMPTS_MAX;
        let host = &mut self.hosts[request.host];
        let known = &mut host.known[server];
        known.change_own(-1, now);
        known.report = Some((report, now, known.own));
        if !is_last && request.rejected_by.count_ones() < self.case.servers as u32 {
            return self.send(request);
        }
        host.gate.finish(None);
        if !is_last && self.case.is_on {
            self.enter(Request { rejected_by: 0, ..request });
        }
    }

    fn told(&mut self, stage: Stage, server: usize, request: Request, report: Report) {
        let now = self.now;
        let host = &mut self.hosts[request.host];
        let ms = (now - request.sent_at) as f64;
        match stage {
            Stage::Whole => host.gate.finish(Some(Answered { ms: PLAIN.work_ms, crowding: 1.0 })),
            Stage::Ended => host.gate.finish(Some(Answered { ms, crowding: request.crowding })),
            Stage::Left => host.gate.finish(None),
            Stage::Begun => host.answer_ms += 0.1 * (ms - host.answer_ms),
        }
        let known = &mut host.known[server];
        if stage != Stage::Begun {
            known.change_own(-1, now);
        }
        if matches!(stage, Stage::Begun | Stage::Whole) {
            known.report = Some((report, now, known.own));
            if self.case.is_on || stage == Stage::Begun {
                self.announce(request.host, server, report);
            }
        }
        self.serve(request.host);
    }

    /// What `gateway::admission` does with the waiting requests of a service.
    fn serve(&mut self, host: usize) {
        let (room, now, hosts) =
            (self.hosts[host].room(self.now), Millis(self.now), self.host_count());
        let (jitter, draw) = (self.draws.next(), self.draws.next());
        let state = &mut self.hosts[host];
        if state.gate.queue.is_empty() {
            return;
        }
        let served = state.gate.serve((room, hosts), (jitter, draw), now);
        let overdue = served.refused.iter().map(|evicted| evicted.ticket);
        let overdue: Vec<_> = overdue.filter_map(|ticket| state.waiting.remove(&ticket)).collect();
        let started = served.started.iter();
        let started: Vec<_> = started.filter_map(|ticket| state.waiting.remove(ticket)).collect();
        overdue.into_iter().for_each(|request| self.refuse(request));
        for mut request in started {
            request.crowding = room.crowding();
            self.out.held_past += u32::from(self.now > request.deadline);
            self.send(request);
        }
    }

    fn work(&mut self, number: usize) {
        let now = self.now;
        let ended = self.servers[number].work(&mut self.draws, now);
        let server = &self.servers[number];
        self.out.busy += server.running() as f64;
        let report = server.report();
        for (stage, request) in ended {
            // Requests that come near the end are not over by then.
            let is_answer = matches!(stage, Stage::Whole | Stage::Begun);
            let is_counted = self.is_counted(request.deadline);
            if is_counted && is_answer {
                self.out.answered[request.account] += 1;
                self.out.in_time[request.account] += u32::from(now <= request.objective);
            }
            self.at(LATENCY_MS, Event::Told(stage, number, request, report));
        }
    }
}
