//! Hosts that share servers which slow down, in simulated time. The hosts of a failure domain may
//! exchange reports on requests that are late.

use std::collections::BTreeMap;

use policy::hedge::{
    self, Arrival, Domain, LoadClass, Pace, Report, ResponseTimes, Situation, Target, Trend,
    Unreported, Withheld,
};
use policy::name::Name;
use policy::place::mix;
use policy::repeat::Window;
use policy::retry::Attempt;
use policy::time::Millis;

/// Routes of the service: of requests that may be hedged, and of those that may run once only.
const ROUTES: [&str; 2] = ["get", "post"];
const SLOTS: u32 = 6;
const WORK_MS: f64 = 60.0;
/// How long a server stays slow, in milliseconds.
const SLOW_MS: u64 = 300;
/// Time between two checks of a host whether a report is due, in milliseconds.
const CHECK_MS: u64 = 100;
/// What a report takes beside its own bytes: the message around it, and the headers below.
const MESSAGE_BYTES: usize = 140;
/// Until this time, hosts learn how long responses take.
pub const WARM_MS: u64 = 20_000;

/// A late request that may be hedged.
pub fn late() -> Situation {
    let attempt = Attempt { may_repeat: true, left_ms: 500, expected_ms: 60, ..Attempt::default() };
    let (waited_ms, threshold_ms, sent, attempts_max) = (100, 90, 1, 2);
    Situation { attempt, waited_ms, threshold_ms, sent, attempts_max, is_suspect: false }
}

/// What is simulated.
#[derive(Clone, Copy)]
pub struct Scene {
    pub hosts: usize,
    pub servers: usize,
    /// Requests that may be hedged, in a second.
    pub per_second: f64,
    /// Requests to the same servers that may run once only, in a second.
    pub once_per_second: f64,
    pub share: f64,
    /// Factor by which work takes longer at a slow server.
    pub slowdown: f64,
    /// When all servers become slow. Before that a tenth is, others in each span of time.
    pub all_slow_from: u64,
    pub until: u64,
    /// Failure domains, if their hosts exchange reports; else 0.
    pub domains: usize,
    /// Share of the reports that are lost.
    pub lost: f64,
    /// Share of the reports that come 2 s late, and of those that come twice.
    pub delayed: f64,
    /// When the first host restarts.
    pub restart_at: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            hosts: 20,
            servers: 20,
            per_second: 600.0,
            once_per_second: 0.0,
            share: 0.2,
            slowdown: 5.0,
            all_slow_from: u64::MAX,
            until: 80_000,
            domains: 0,
            lost: 0.0,
            delayed: 0.0,
            restart_at: u64::MAX,
        }
    }
}

#[derive(Default)]
pub struct Outcome {
    /// Response times of the requests that may be hedged, after the warm-up, sorted.
    pub took: Vec<u64>,
    /// When requests of both kinds came.
    pub requests: Vec<u64>,
    pub hedges: Vec<u64>,
    /// Hedges that met a server without a free slot.
    pub crowded: usize,
    /// Late requests without a hedge, by reason.
    pub withheld: BTreeMap<&'static str, usize>,
    /// Bytes of all reports, with what they take on the wire, counted for each receiver.
    pub bytes: u64,
}

#[derive(Default)]
struct Host {
    /// Response times of the requests that may be hedged, and of those that may run once only.
    by_route: [ResponseTimes; ROUTES.len()],
    by_service: ResponseTimes,
    trend: Trend,
    window: Window,
    /// Requests that may be hedged.
    eligible: Window,
    targets: Vec<Target>,
    domain: Domain,
    unreported: Unreported,
    pace: Pace,
    start: u32,
}

/// A request with one or two runs.
struct Request {
    host: usize,
    /// Position in [`ROUTES`].
    route: usize,
    at: u64,
    late_after: Option<f64>,
    is_late: bool,
    runs: Vec<Run>,
}

struct Run {
    server: usize,
    at: u64,
    class: LoadClass,
    left_ms: f64,
    is_queued: bool,
}

struct Fleet {
    scene: Scene,
    hosts: Vec<Host>,
    /// Requests that each server works on or that wait there.
    running: Vec<u32>,
    waiting: Vec<u32>,
    seed: u64,
    /// Seed of what only hedges and reports draw, so that the same requests come with and without.
    hedge_seed: u64,
    outcome: Outcome,
    /// Reports on their way, by arrival: from and to which host.
    reports: BTreeMap<(u64, u64), (usize, usize, Report)>,
}

impl Fleet {
    fn draw(&mut self) -> f64 {
        self.seed = mix(self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn speed(&self, server: usize, now: u64) -> f64 {
        let is_slow = now >= self.scene.all_slow_from
            || mix((now / SLOW_MS) ^ mix(server as u64)).is_multiple_of(10);
        if is_slow { 1.0 / self.scene.slowdown } else { 1.0 }
    }

    fn start(&mut self, host: usize, server: usize, draw: f64, now: u64) -> Run {
        let target = &mut self.hosts[host].targets[server];
        let class = target.load_class(Millis(now));
        target.own += 1;
        let is_queued = self.running[server] >= SLOTS;
        let at = if is_queued { &mut self.waiting } else { &mut self.running };
        at[server] += 1;
        let left_ms = WORK_MS * (0.7 + 0.6 * draw);
        Run { server, at: now, class, left_ms, is_queued }
    }

    /// A run leaves its server: it has ended or was cancelled.
    fn leave(&mut self, host: usize, run: &Run) {
        let at = if run.is_queued { &mut self.waiting } else { &mut self.running };
        at[run.server] -= 1;
        self.hosts[host].targets[run.server].own -= 1;
    }

    fn record_end(&mut self, request: &Request, run: &Run, was_counted: bool, now: u64) {
        let reported = self.running[run.server] + self.waiting[run.server];
        let share = self.scene.share;
        let host = &mut self.hosts[request.host];
        let ms = (now - run.at) as f64;
        let late_after = host.late_after(request.route, run.class, share, now);
        let is_late = late_after.is_some_and(|late| ms >= late);
        let is_fast = host.by_service.is_fast(run.class, ms);
        host.record_time(request.route, run, now);
        let Host { trend, targets, unreported, .. } = host;
        if !was_counted {
            trend.record(is_late);
            unreported.record_ended(is_late);
        }
        let target = &mut targets[run.server];
        (target.reported, target.own_at_report) = (reported, target.own);
        target.reported_at = Millis(now);
        if is_fast {
            target.fast_at = Millis(now);
            unreported.record_fast(&Name::from(run.server.to_string()), Millis(now));
        }
    }

    fn hedge(&mut self, request: &Request, now: u64) -> Result<usize, Withheld> {
        let (share, draw) = (self.scene.share, self.hedge_draw());
        let peers = self.peers(request.host).len().saturating_sub(1);
        let host = &mut self.hosts[request.host];
        hedge::decide(&late(), &host.trend)?;
        let others = host.targets.iter().enumerate();
        let others = others.filter(|(server, _)| *server != request.runs[0].server);
        let open = others.clone().filter(|(_, target)| target.check(Millis(now)).is_ok());
        let server = open.min_by_key(|(_, target)| (target.own, target.reported));
        let others = others.map(|(_, target)| *target);
        let (server, _) = server.ok_or_else(|| hedge::why_none(others, Millis(now)))?;
        let own = hedge::counts(&host.window, share, Millis(now));
        let budget = host.domain.budget(own, peers, share, draw, Millis(now));
        if budget.left < 1.0 {
            return Err(Withheld::Share);
        }
        host.window.record_repeat(&hedge::allowance(share), Millis(now));
        host.domain.record_hedge(Millis(now));
        Ok(server)
    }

    fn arrive(&mut self, route: usize, now: u64) -> Request {
        let host = (self.draw() * self.scene.hosts as f64) as usize;
        let allowance = hedge::allowance(self.scene.share);
        self.hosts[host].window.record_request(&allowance, Millis(now));
        if route == 0 {
            self.hosts[host].eligible.record_request(&allowance, Millis(now));
        }
        self.outcome.requests.push(now);
        let count = self.scene.servers as f64;
        let (one, two) = ((self.draw() * count) as usize, (self.draw() * count) as usize);
        let load = |server: usize| self.hosts[host].targets[server].own;
        let server = if load(one) <= load(two) { one } else { two };
        let draw = self.draw();
        let run = self.start(host, server, draw, now);
        let late_after = self.hosts[host].late_after(route, run.class, self.scene.share, now);
        Request { host, route, at: now, late_after, is_late: false, runs: vec![run] }
    }

    /// One millisecond of a request; returns whether it has ended.
    fn advance(&mut self, request: &mut Request, now: u64) -> bool {
        let mut ended = None;
        for index in 0..request.runs.len() {
            let server = request.runs[index].server;
            if request.runs[index].is_queued && self.running[server] < SLOTS {
                request.runs[index].is_queued = false;
                self.waiting[server] -= 1;
                self.running[server] += 1;
            }
            let speed = self.speed(server, now);
            let run = &mut request.runs[index];
            run.left_ms -= if run.is_queued { 0.0 } else { speed };
            ended = ended.or((run.left_ms <= 0.0).then_some(index));
        }
        if let Some(winner) = ended {
            for (index, run) in request.runs.iter().enumerate() {
                self.leave(request.host, run);
                let was_counted = index == 0 && request.is_late;
                if index == winner {
                    self.record_end(request, run, was_counted, now);
                } else if index == 0 {
                    self.hosts[request.host].record_time(request.route, run, now);
                }
            }
            let is_measured = request.route == 0 && request.at >= WARM_MS;
            self.outcome.took.extend(is_measured.then_some(now - request.at));
        } else if !request.is_late
            && request.route == 0
            && self.scene.share > 0.0
            && request.late_after.is_some_and(|late| (now - request.at) as f64 >= late)
        {
            let server = self.hedge(request, now);
            request.is_late = true;
            self.hosts[request.host].trend.record(true);
            self.hosts[request.host].unreported.record_ended(true);
            match server {
                Ok(server) => {
                    self.outcome.hedges.push(now);
                    let draw = self.hedge_draw();
                    let run = self.start(request.host, server, draw, now);
                    self.outcome.crowded += usize::from(run.is_queued);
                    request.runs.push(run);
                }
                Err(why) => *self.outcome.withheld.entry(why.label()).or_default() += 1,
            }
        }
        ended.is_some()
    }

    /// A draw that leaves those of the requests as they are.
    fn hedge_draw(&mut self) -> f64 {
        self.hedge_seed = mix(self.hedge_seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        (self.hedge_seed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The hosts of a host's failure domain, with itself.
    fn peers(&self, host: usize) -> Vec<usize> {
        let domains = self.scene.domains;
        let is_peer = |other: &usize| domains > 0 && other % domains == host % domains;
        (0..self.scene.hosts).filter(is_peer).collect()
    }

    /// Sends the reports that are due, and hands over those that arrive.
    fn exchange(&mut self, now: u64) {
        let due = (0..self.scene.hosts).filter(|host| {
            self.scene.domains > 0
                && (now + *host as u64 * 37).is_multiple_of(CHECK_MS)
                && self.hosts[*host].unreported.is_due(Millis(now))
        });
        for host in due.collect::<Vec<_>>() {
            self.send_report(host, now);
        }
        while let Some(entry) = self.reports.first_entry().filter(|entry| entry.key().0 <= now) {
            let (from, to, report) = entry.remove();
            self.hosts[to].accept(from, &report, now);
        }
    }

    fn send_report(&mut self, host: usize, now: u64) {
        let share = self.scene.share;
        let Host { window, eligible, unreported, start, pace, .. } = &mut self.hosts[host];
        if !pace.may_send(Millis(now)) {
            return;
        }
        let eligible = hedge::counts(eligible, share, Millis(now)).requests;
        let counts = (hedge::counts(window, share, Millis(now)), eligible);
        let report = unreported.take(*start, &Name::from("orders"), counts, Millis(now));
        let bytes = serde_json::to_vec(&report).unwrap().len() + MESSAGE_BYTES;
        let mut to: Vec<usize> = self.peers(host);
        to.retain(|peer| *peer != host);
        for _ in 0..self.hosts[host].pace.take(bytes, to.len()) {
            let peer = to.swap_remove((self.hedge_draw() * to.len() as f64) as usize);
            self.outcome.bytes += bytes as u64;
            let copies = 1 + usize::from(self.hedge_draw() < self.scene.delayed);
            for _ in 0..copies {
                let delay = if self.hedge_draw() < self.scene.delayed { 2_000 } else { 1 };
                if self.hedge_draw() >= self.scene.lost {
                    let key = (now + delay, self.hedge_seed);
                    self.reports.insert(key, (host, peer, report.clone()));
                }
            }
        }
    }

    /// Ends the runs of a request whose host is lost.
    fn abandon(&mut self, request: &Request) -> bool {
        request.runs.iter().for_each(|run| self.leave(request.host, run));
        true
    }

    fn restart(&mut self, host: usize) {
        let target = Target { slots: SLOTS, ..Target::default() };
        let targets = vec![target; self.scene.servers];
        self.hosts[host] = Host { targets, start: 1, ..Host::default() };
    }
}

impl Host {
    fn accept(&mut self, from: usize, report: &Report, now: u64) {
        let arrival = self.domain.accept(&Name::from(from.to_string()), report, Millis(now));
        if arrival == Arrival::Newest {
            self.trend.merge(report.ended);
            for (server, age_ms) in &report.fast {
                let target = &mut self.targets[server.parse::<usize>().unwrap()];
                target.fast_at = target.fast_at.max(Millis(now - u64::from(*age_ms)));
            }
        }
        if matches!(arrival, Arrival::Newest | Arrival::Overtaken) {
            for runs in &report.runs {
                let route = ROUTES.iter().position(|route| runs.key == Name::from(*route)).unwrap();
                self.by_route[route].merge(runs, &self.trend, Millis(now));
                self.by_service.merge(runs, &self.trend, Millis(now));
            }
        }
    }

    fn late_after(&mut self, route: usize, class: LoadClass, share: f64, now: u64) -> Option<f64> {
        let own = hedge::counts(&self.window, share, Millis(now));
        let eligible = hedge::counts(&self.eligible, share, Millis(now)).requests;
        let fraction = self.domain.eligible_fraction(own, eligible, Millis(now));
        let share = hedge::share_of_eligible(share, fraction);
        let own = self.by_route[route].threshold_ms(class, share);
        own.or_else(|| self.by_service.threshold_ms(class, share))
    }

    fn record_time(&mut self, route: usize, run: &Run, now: u64) {
        let (ms, now) = ((now - run.at) as f64, Millis(now));
        if self.by_route[route].record(run.class, ms, &self.trend, now) {
            self.unreported.record_run(&Name::from(ROUTES[route]), run.class, ms);
        }
        self.by_service.record(run.class, ms, &self.trend, now);
    }
}

/// Simulates a scene.
pub fn run(scene: Scene) -> Outcome {
    let target = Target { slots: SLOTS, ..Target::default() };
    let hosts = (0..scene.hosts)
        .map(|_| Host { targets: vec![target; scene.servers], ..Host::default() })
        .collect();
    let counts = vec![0; scene.servers];
    let mut fleet = Fleet {
        hosts,
        running: counts.clone(),
        waiting: counts,
        seed: 7,
        hedge_seed: 8,
        outcome: Outcome::default(),
        reports: BTreeMap::new(),
        scene,
    };
    let mut requests: Vec<Request> = Vec::new();
    for now in 1..fleet.scene.until {
        fleet.exchange(now);
        if now == fleet.scene.restart_at {
            requests.retain(|request| request.host != 0 || !fleet.abandon(request));
            fleet.restart(0);
        }
        requests.retain_mut(|request| !fleet.advance(request, now));
        let rates = [fleet.scene.per_second, fleet.scene.once_per_second];
        for (route, rate) in rates.into_iter().enumerate().filter(|(_, rate)| *rate > 0.0) {
            let mut expected = rate / 1_000.0;
            while fleet.draw() < expected {
                expected -= 1.0;
                requests.push(fleet.arrive(route, now));
            }
        }
    }
    fleet.outcome.took.sort_unstable();
    fleet.outcome
}

/// The time that a fraction of the responses took at most.
pub fn quantile(took: &[u64], fraction: f64) -> u64 {
    took[((took.len() - 1) as f64 * fraction) as usize]
}
