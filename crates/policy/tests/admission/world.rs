//! Hosts, callers and servers in simulated time, which decide by the functions that the gateway calls.

mod case;
mod host;
mod messages;
mod server;

use std::collections::BTreeMap;

use policy::admit::gate::Answered;
use policy::admit::room::{self, Server as View};
use policy::admit::{Arrival, Verdict};
use policy::place::mix;
use policy::report::Report;
use policy::time::Millis;

pub use case::{Case, Fault, Outcome, USUAL};
use host::Host;
use server::{Request, SLOTS, Server};

const SERVICE_MS: f64 = 60.0;
const LATENCY_MS: u64 = 1;
const LOOK_MS: u64 = 5;
const SHARES_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_500;
const OBJECTIVE_MS: u64 = 300;
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
    Answered(usize, Request, Report),
    Rejected(usize, Request, Report),
    Announced(usize, usize, Report),
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
        let mut world = Self {
            case,
            now: START,
            servers: (0..case.servers).map(|_| Server::default()).collect(),
            hosts: (0..case.hosts).map(|_| Host::new(case.servers)).collect(),
            events: BTreeMap::new(),
            draws: Draws(case.hosts as u64 + 1_000 * case.seed),
            out: Outcome { offered: zero.clone(), answered: zero, ..Outcome::default() },
        };
        while world.now < START + case.ms {
            world.step();
            world.now += 1;
        }
        let slots = f64::from(SLOTS) * case.servers as f64;
        world.out.busy /= slots * case.ms as f64;
        world.out
    }

    fn step(&mut self) {
        for account in 0..self.case.accounts {
            let factor = if account == 0 { self.case.first } else { 1.0 };
            let burst = if self.now / 1_000 % 4 == 1 { self.case.burst } else { 1.0 };
            let mut expected = self.case.per_second * factor * burst / 1_000.0;
            while self.draws.next() < expected {
                expected -= 1.0;
                let is_counted = self.now + DEADLINE_MS < START + self.case.ms;
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
        let deadline = self.now + DEADLINE_MS;
        self.enter(Request { account, host, deadline, rejected_by: 0, attempts: 0 });
    }

    /// What `gateway::admission` does with a request that arrives or was rejected by all.
    fn enter(&mut self, request: Request) {
        let Request { account, host, .. } = request;
        if !self.case.is_on {
            return self.send(request);
        }
        let objective = Millis(request.deadline - DEADLINE_MS + OBJECTIVE_MS);
        let mut arrival = Arrival::new(format!("a{account}"), 1, Millis(request.deadline))
            .with_objective(objective);
        let (room, now, draw) =
            (self.hosts[host].room(self.now), Millis(self.now), self.draws.next());
        let hosts = self.host_count();
        let share_draw = self.draws.next();
        let state = &mut self.hosts[host];
        if request.attempts == 0 {
            state.gate.shares.record(&arrival.account, SERVICE_MS, now);
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

    fn send(&mut self, request: Request) {
        let (now, draw) = (self.now, self.draws.next());
        let host = &mut self.hosts[request.host];
        let mut views: Vec<(View, f64)> = host.known.iter().map(|it| (it.view(now), 1.0)).collect();
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

    fn refuse(&mut self, request: Request) {
        self.out.refused += 1;
        let has_free = self.servers.iter().any(|server| server.running.len() < SLOTS as usize);
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
            Event::Answered(_, Request { host, .. }, _)
            | Event::Rejected(_, Request { host, .. }, _)
            | Event::Announced(host, ..)
                if self.is_struck(host, Fault::Lost) => {}
            Event::Answered(server, request, report) => self.answered(server, request, report),
            Event::Rejected(server, request, report) => self.rejected(server, request, report),
            Event::Announced(host, ..) if self.is_struck(host, Fault::CutOff) => {}
            Event::Announced(host, server, report) => self.hear(host, server, report),
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
        let is_late = self.case.is_on && request.deadline < now + SERVICE_MS as u64;
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

    fn answered(&mut self, server: usize, request: Request, report: Report) {
        let now = self.now;
        let host = &mut self.hosts[request.host];
        host.gate.finish(Some(Answered { ms: SERVICE_MS, crowding: 1.0 }));
        let known = &mut host.known[server];
        known.change_own(-1, now);
        known.report = Some((report, now, known.own));
        if self.case.is_on {
            self.announce(request.host, server, report);
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
        for request in started {
            self.out.held_past += u32::from(self.now > request.deadline);
            self.send(request);
        }
    }

    fn work(&mut self, number: usize) {
        let now = self.now;
        let ended = self.servers[number].work(&mut self.draws, now);
        let server = &self.servers[number];
        self.out.busy += server.running.len() as f64;
        let report = server.report();
        for (_, request) in ended {
            // Requests that come near the end are not over by then.
            let is_counted = request.deadline < START + self.case.ms;
            self.out.answered[request.account] += u32::from(is_counted);
            let objective = request.deadline - DEADLINE_MS + OBJECTIVE_MS;
            self.out.in_time += u32::from(is_counted && now <= objective);
            self.at(LATENCY_MS, Event::Answered(number, request, report));
        }
    }
}
