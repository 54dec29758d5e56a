//! Hosts, callers and servers in simulated time, which decide by the functions that the gateway calls.

use std::collections::{BTreeMap, HashMap, VecDeque};

use policy::admit::gate::{Answered, Gate};
use policy::admit::room::{self, Kind, Room, Server as View};
use policy::admit::{Arrival, Ticket, Verdict};
use policy::name::Name;
use policy::place::mix;
use policy::report::{Announcements, OwnRequests, Report, Scope, is_news};
use policy::time::Millis;

const SERVICE_MS: f64 = 60.0;
const SLOTS: u32 = 6;
/// Requests that wait at a server before it rejects more.
const WAITING_MAX: usize = 24;
const LATENCY_MS: u64 = 1;
/// Time until the hosts of a domain know what one of them announces.
const ANNOUNCED_MS: u64 = 7;
const LOOK_MS: u64 = 5;
const SHARES_MS: u64 = 500;
/// Most hosts that one announcement of the accounts' work goes to.
const SHARES_RECEIVERS_MAX: usize = 6;
const DEADLINE_MS: u64 = 1_500;
const OBJECTIVE_MS: u64 = 300;
const ATTEMPTS_MAX: u32 = 4;
/// Bytes of announcements that a host sends in a second, and bytes of one to each peer.
const ANNOUNCED_TO_MAX: usize = 24;
const BYTES_PER_S: usize = 8_000;
const ANNOUNCED_BYTES: usize = 230;
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
struct Request {
    account: usize,
    host: usize,
    deadline: u64,
    /// Servers that rejected it since it was admitted, as bits, and attempts in all.
    rejected_by: u32,
    attempts: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

impl Server {
    fn report(&self) -> Report {
        let requests = (self.running.len() + self.waiting.len()) as u32;
        Report { requests, slots: SLOTS, percent: 100 }
    }
}

/// What a host knows of a server.
#[derive(Clone, Default)]
struct Known {
    own: u32,
    history: OwnRequests,
    report: Option<(Report, u64, u32)>,
    announcements: Announcements,
}

impl Known {
    fn change_own(&mut self, by: i32, now: u64) {
        self.history.record_change(self.own, Millis(now));
        self.own = self.own.saturating_add_signed(by);
    }

    fn view(&self, now: u64) -> View {
        let (reported, own_then) =
            self.report.map_or((0, 0), |(report, _, own)| (report.requests, own));
        let report_age_ms = self.report.map(|(_, at, _)| now.saturating_sub(at));
        View { slots: SLOTS, own: self.own, reported, own_then, report_age_ms }
    }
}

struct Host {
    known: Vec<Known>,
    gate: Gate,
    waiting: HashMap<Ticket, Request>,
    /// Until when the bytes of its announcements use up their rate.
    paid_until: u64,
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

/// How the simulated load and network deviate from the usual.
#[derive(Clone, Copy)]
pub struct Case {
    pub hosts: usize,
    pub servers: usize,
    /// Requests a second of each account but the first, and how many times as much the first sends.
    pub per_second: f64,
    pub accounts: usize,
    pub first: f64,
    /// Share of callers that come back at once after a refusal.
    pub return_share: f64,
    /// Share of announcements that are lost, and their further delay.
    pub lost: f64,
    pub late_ms: u64,
    pub ms: u64,
    /// A second of each four with this many times the load.
    pub burst: f64,
    /// Whether admission control is on.
    pub is_on: bool,
    /// Whether rejected requests are sent to other servers, and announcements have a bound on bytes.
    pub is_bounded: bool,
    /// What happens to a third of the hosts for two seconds.
    pub fault: Fault,
    /// Added to the usual seed.
    pub seed: u64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Fault {
    None,
    /// They neither hear nor tell anything.
    CutOff,
    /// They start anew each half second, without what they knew and without waiting requests.
    Restarts,
    /// They are lost for good, with the requests that wait there; the others count them for a while.
    Lost,
}

pub const USUAL: Case = Case {
    hosts: 78,
    servers: 5,
    per_second: 10.0,
    accounts: 24,
    first: 1.0,
    return_share: 0.0,
    lost: 0.0,
    late_ms: 0,
    ms: 8_000,
    burst: 1.0,
    is_on: true,
    is_bounded: false,
    fault: Fault::None,
    seed: 0,
};

#[derive(Debug, Default)]
pub struct Outcome {
    pub offered: Vec<u32>,
    pub answered: Vec<u32>,
    pub in_time: u32,
    pub refused: u32,
    /// Refused while any server had a free slot.
    pub refused_beside_free: u32,
    pub rejected: u32,
    pub held_past: u32,
    pub busy: f64,
    pub announced: u32,
    pub returns: u32,
}

impl Outcome {
    /// Share of the requests of all accounts but the first that were answered.
    pub fn others(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts[1..].iter().sum::<u32>());
        sum(&self.answered) / sum(&self.offered).max(1.0)
    }
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
        let host = |_| Host {
            known: vec![Known::default(); case.servers],
            gate: Gate::new(4_096, SERVICE_MS),
            waiting: HashMap::new(),
            paid_until: START,
        };
        let zero = vec![0; case.accounts];
        let mut world = Self {
            case,
            now: START,
            servers: (0..case.servers).map(|_| Server::default()).collect(),
            hosts: (0..case.hosts).map(host).collect(),
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
            (0..self.hosts.len()).step_by(3).for_each(|host| self.restart(host));
        }
        if self.now.is_multiple_of(500) {
            let all = 0..self.hosts.len();
            let struck: Vec<usize> =
                all.filter(|it| self.is_struck(*it, Fault::Restarts)).collect();
            struck.into_iter().for_each(|host| self.restart(host));
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

    fn restart(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.gate = Gate::new(4_096, SERVICE_MS);
        state.waiting.clear();
        state.known.iter_mut().for_each(|known| *known = Known::default());
    }

    fn announce_shares(&mut self, host: usize) {
        let report = self.hosts[host].gate.shares.report(Millis(self.now));
        let near: Vec<usize> = (0..self.case.hosts)
            .filter(|peer| *peer != host && peer % DOMAINS == host % DOMAINS)
            .collect();
        for _ in 0..SHARES_RECEIVERS_MAX.min(near.len()) {
            let peer = near[self.draws.index(near.len())];
            let is_gone =
                |end| self.is_struck(end, Fault::CutOff) || self.is_struck(end, Fault::Lost);
            let is_cut = is_gone(host) || is_gone(peer);
            if self.draws.next() >= self.case.lost && !is_cut {
                let name = Name::from(format!("h{host}"));
                self.hosts[peer].gate.shares.accept(&name, report.clone(), Millis(self.now));
            }
        }
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.events.entry(self.now + delay.max(1)).or_default().push(event);
    }

    fn room(&self, host: usize) -> Room {
        let host = &self.hosts[host];
        let views = host.known.iter().map(|known| known.view(self.now));
        Room::of(views, Kind::Plain, host.gate.work_ms)
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
        let (room, now, draw) = (self.room(host), Millis(self.now), self.draws.next());
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
                if at.waiting.len() >= WAITING_MAX {
                    self.out.rejected += 1;
                    let report = at.report();
                    self.at(LATENCY_MS, Event::Rejected(server, request, report));
                } else {
                    at.waiting.push_back(request);
                }
            }
            Event::Answered(_, Request { host, .. }, _)
            | Event::Rejected(_, Request { host, .. }, _)
            | Event::Announced(host, ..)
                if self.is_struck(host, Fault::Lost) => {}
            Event::Answered(server, request, report) => self.answered(server, request, report),
            Event::Rejected(server, request, report) => self.rejected(server, request, report),
            Event::Announced(host, ..) if self.is_struck(host, Fault::CutOff) => {}
            Event::Announced(host, server, report) => {
                // The way of a message takes time that hosts without a common clock don't know.
                let at = self.now - ANNOUNCED_MS;
                let known = &mut self.hosts[host].known[server];
                known.announcements.record_known(report, Millis(at));
                let known_at = known.report.map_or(0, |(_, at, _)| at);
                if is_news(Millis(at), Millis(known_at), Scope::NearlyFull, Millis(self.now)) {
                    let own = known.history.at(Millis(at), known.own);
                    known.report = Some((report, at, own));
                }
            }
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
        let may_send = !self.case.is_bounded || host.paid_until <= now + 1_000;
        if self.case.is_on
            && may_send
            && known.announcements.is_due(report, Scope::NearlyFull, Millis(now))
        {
            let near = self.case.hosts / DOMAINS;
            let receivers = if self.case.is_bounded { near.min(ANNOUNCED_TO_MAX) } else { near };
            let bytes = receivers * ANNOUNCED_BYTES;
            host.paid_until = host.paid_until.max(now) + (bytes * 1_000 / BYTES_PER_S) as u64;
            known.announcements.record_known(report, Millis(now));
            self.out.announced += 1;
            let peers = (0..self.case.hosts).filter(|host| *host != request.host);
            for peer in peers.filter(|host| host % DOMAINS == request.host % DOMAINS) {
                let is_receiver = near == receivers || self.draws.index(near) < receivers;
                if is_receiver && self.draws.next() >= self.case.lost {
                    let delay = ANNOUNCED_MS + self.case.late_ms;
                    self.at(delay, Event::Announced(peer, server, report));
                }
            }
        }
        self.serve(request.host);
    }

    /// What `gateway::admission` does with the waiting requests of a service.
    fn serve(&mut self, host: usize) {
        let (room, now, hosts) = (self.room(host), Millis(self.now), self.host_count());
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
        let server = &mut self.servers[number];
        let (ended, running): (Vec<_>, Vec<_>) =
            server.running.drain(..).partition(|(end, _)| *end <= now);
        server.running = running;
        while server.running.len() < SLOTS as usize {
            let Some(request) = server.waiting.pop_front() else { break };
            let ms = SERVICE_MS * (0.5 + self.draws.next());
            server.running.push((now + ms as u64, request));
        }
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
