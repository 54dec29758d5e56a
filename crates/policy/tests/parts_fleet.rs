//! Simulation of a part of prompts that crashes servers, with 6 to 985 hosts that each see some of
//! its requests: with victims, lost messages, and without the store.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;
use policy::place::mix;
use policy::poison::registry::Source;
use policy::poison::{Answer, Attempt, Digest, Fingerprint, Polls, Registry, Suspect, Verdict};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);

/// A request with a digest of its own and a prompt of these parts.
fn request(number: u64, parts: &[Digest]) -> Fingerprint {
    let request = Fingerprint::from_request(Digest(1_000_000 + number)).with_parts(parts);
    Fingerprint { service: Name::from("pool"), ..request }
}

/// Hosts, and servers that crash on requests with a deadly part, in steps of simulated time.
struct Fleet {
    now: Millis,
    hosts: Vec<(Registry, Polls)>,
    domains: usize,
    rows: Vec<Vec<Suspect>>,
    /// Messages in flight: time of arrival, receiving host, content.
    messages: Vec<(Millis, usize, Suspect)>,
    servers: Vec<Server>,
    starts: u64,
    runs: Vec<Running>,
    requests: u64,
    draws: u64,
    /// Until when a host has the only trial of a suspect.
    claims: BTreeMap<Digest, Millis>,
    /// Whether the store can be reached.
    has_store: bool,
    /// When requests with the deadly part were sent to servers.
    deadly_sends: Vec<Millis>,
    /// When servers ended.
    ends: Vec<Millis>,
    harmless: Harmless,
}

/// Harmless requests, and those rejected at their first attempt, from the time on when all hosts
/// must know the deadly part.
#[derive(Default)]
struct Harmless {
    all: usize,
    rejected: usize,
}

struct Server {
    start: u64,
    /// When the server is back after a crash.
    down_until: Millis,
}

#[derive(Clone)]
struct Running {
    request: Fingerprint,
    host: usize,
    server: usize,
    begins: Millis,
    ends: Millis,
    attempts: u32,
}

const STEP_MS: u64 = 50;
/// One message in this many between two hosts is lost.
const LOSS_ONE_IN: usize = 10;
/// Interval, in steps, of the heartbeats with which hosts tell each other their suspects.
const HEARTBEAT_STEPS: u64 = 100;
/// Time after the fifth server's end by which all connected hosts must know of it, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Delay until the list of backend servers shows a server's end, in milliseconds.
const LIST_DELAY_MS: u64 = 3_000;
/// Time that a crashed server takes to restart, in milliseconds.
const RESTART_MS: u64 = 4_000;
/// Most attempts of one request.
const ATTEMPTS_MAX: u32 = 3;
/// Number of subjects that prompts are about; each is a part that few requests share.
const SUBJECTS: usize = 60;

impl Fleet {
    fn new(hosts: usize, domains: usize, servers: usize, seed: u64) -> Self {
        let server = |number| Server { start: number as u64, down_until: Millis(0) };
        Self {
            now: START,
            hosts: (0..hosts).map(|_| <(Registry, Polls)>::default()).collect(),
            domains,
            rows: vec![Vec::new(); hosts],
            messages: Vec::new(),
            servers: (0..servers).map(server).collect(),
            starts: servers as u64,
            runs: Vec::new(),
            requests: 0,
            draws: seed,
            claims: BTreeMap::new(),
            has_store: true,
            deadly_sends: Vec::new(),
            ends: Vec::new(),
            harmless: Harmless::default(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = mix(self.draws.wrapping_add(0x9e37_79b9));
        (self.draws >> 16) as usize % below
    }

    /// Parts of a harmless prompt: the part of one of three kinds, and a subject, popular ones more
    /// often.
    fn harmless_parts(&mut self) -> [Digest; 2] {
        let kind = self.draw(3);
        let (one, other) = (self.draw(SUBJECTS), self.draw(SUBJECTS));
        [Digest(10 + kind as u64), Digest(100 + (kind * SUBJECTS + one.min(other)) as u64)]
    }

    /// Sends a new request to a random host.
    fn send_new(&mut self, is_deadly: bool) {
        let [kind, subject] = self.harmless_parts();
        let parts = if is_deadly { vec![kind, subject, DEADLY] } else { vec![kind, subject] };
        self.requests += 1;
        let request = request(self.requests, &parts);
        let host = self.draw(self.hosts.len());
        let is_sent = self.send(request, host, 0);
        if !is_deadly && self.ends.get(4).is_some_and(|at| self.now.since(*at) > 2 * CONTACT_MS) {
            self.harmless.all += 1;
            self.harmless.rejected += usize::from(!is_sent);
        }
    }

    fn may_send(&mut self, request: &Fingerprint, host: usize) -> bool {
        let judged = self.hosts[host].0.judge(request, self.now);
        match judged.verdict {
            Verdict::Run => true,
            Verdict::Hold(_) => false,
            Verdict::Trial { alone_ms, .. } => {
                let Some((digest, _)) = judged.cause else { return false };
                let free = self.claims.get(&digest).is_none_or(|until| *until <= self.now);
                if free && self.has_store {
                    self.claims.insert(digest, self.now + alone_ms);
                }
                free && self.has_store || !self.has_store && alone_ms <= 2_000
            }
        }
    }

    fn send(&mut self, request: Fingerprint, host: usize, attempts: u32) -> bool {
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].down_until <= self.now).collect();
        if up.is_empty() || !self.may_send(&request, host) {
            return false;
        }
        let server = up[self.draw(up.len())];
        let begins = self.now + 100 + self.draw(400) as u64;
        let lasts = [150, 1_500, 3_500][self.draw(3)];
        if request.contains(DEADLY) {
            self.deadly_sends.push(self.now);
        }
        let ends = begins + lasts;
        self.runs.push(Running { request, host, server, begins, ends, attempts: attempts + 1 });
        true
    }

    /// Ends a server that begins to answer a request with the deadly part.
    fn end_server(&mut self, server: usize) {
        let start = self.servers[server].start;
        self.ends.push(self.now);
        self.starts += 1;
        self.servers[server] = Server { start: self.starts, down_until: self.now + RESTART_MS };
        let runs = std::mem::take(&mut self.runs);
        let (lost, rest) = runs.into_iter().partition(|running: &Running| running.server == server);
        self.runs = rest;
        let lost: Vec<Running> = lost;
        let mut affected_hosts = BTreeSet::new();
        for running in &lost {
            let is_early = self.now.since(running.begins) < 1_000;
            let server = Name::from(format!("server-{start}"));
            let lost = Attempt { request: running.request.clone(), server, born: 0, is_early };
            self.hosts[running.host].0.record_loss(lost, self.now);
            affected_hosts.insert(running.host);
        }
        for host in affected_hosts {
            let (registry, polls) = &mut self.hosts[host];
            registry.record_server_end(&Name::from(format!("server-{start}")), self.now);
            polls.restart(self.now);
        }
        for running in lost.into_iter().filter(|running| running.attempts < ATTEMPTS_MAX) {
            self.send(running.request, running.host, running.attempts);
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        let is_crashing =
            |running: &&Running| running.begins <= now && running.request.contains(DEADLY);
        while let Some(server) = self.runs.iter().find(is_crashing).map(|running| running.server) {
            self.end_server(server);
        }
        let (done, rest) = std::mem::take(&mut self.runs).into_iter().partition(|w| w.ends <= now);
        self.runs = rest;
        let done: Vec<Running> = done;
        for running in done {
            self.hosts[running.host].0.record_answer(&running.request, Answer::Whole, now);
        }
        self.share();
    }

    fn share(&mut self) {
        let now = self.now;
        let is_listed = |end: &Millis| now.since(*end).abs_diff(LIST_DELAY_MS) < STEP_MS / 2;
        if self.has_store && self.ends.iter().any(is_listed) {
            self.hosts.iter_mut().for_each(|(_, polls)| polls.schedule(now));
        }
        for host in 0..self.hosts.len() {
            self.share_suspects(host);
            // The first host of each failure domain reads for the others.
            if self.has_store && host < self.domains && self.hosts[host].1.is_due(now) {
                self.read(host);
            }
        }
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now);
        self.messages = later;
        let due: Vec<(Millis, usize, Suspect)> = due;
        for (_, host, report) in due {
            let (registry, polls) = &mut self.hosts[host];
            if registry.learn(&report, Source::Peer, now) {
                polls.restart(now);
            }
        }
    }

    fn share_suspects(&mut self, host: usize) {
        let (registry, _) = &mut self.hosts[host];
        let mut updates = Vec::new();
        if (self.now.0 / STEP_MS + host as u64).is_multiple_of(HEARTBEAT_STEPS) {
            updates = registry.suspects(self.now);
        }
        if registry.has_unsent() {
            updates.extend(registry.take_for_peers(self.now));
            if self.has_store
                && let Some(row) = registry.take_store_row(self.now)
            {
                self.rows[host] = row;
            }
        }
        for suspect in updates {
            for peer in (host % self.domains..self.hosts.len()).step_by(self.domains) {
                if peer != host && self.draw(LOSS_ONE_IN) > 0 {
                    self.messages.push((self.now + STEP_MS, peer, suspect.clone()));
                }
            }
        }
    }

    fn read(&mut self, host: usize) {
        let (registry, polls) = &mut self.hosts[host];
        let reports = self.rows.iter().flatten();
        let news = reports.filter(|report| registry.learn(report, Source::Store, self.now)).count();
        polls.record_read(news > 0, self.now);
    }

    /// Number of requests with the deadly part that were sent later than all connected hosts had to
    /// know of the fifth end.
    fn late_sends(&self) -> usize {
        let Some(fifth) = self.ends.get(4) else { return 0 };
        self.deadly_sends.iter().filter(|at| at.since(*fifth) > CONTACT_MS).count()
    }
}

/// Simulates `harmless` harmless requests per second for 40 s, and from 10 s on also `deadly`
/// requests per second with the deadly part.
fn simulate(mut fleet: Fleet, harmless: usize, deadly: usize) -> Fleet {
    const CALM_STEPS: usize = 200;
    const STEPS: usize = 800;
    let steps_a_second = (1_000 / STEP_MS) as usize;
    for step in 0..STEPS {
        let due = |rate: usize| (step + 1) * rate / steps_a_second - step * rate / steps_a_second;
        (0..due(harmless)).for_each(|_| fleet.send_new(false));
        if step >= CALM_STEPS {
            (0..due(deadly)).for_each(|_| fleet.send_new(true));
        }
        fleet.pass_time();
    }
    fleet
}

fn check(fleet: &Fleet, case: &str) {
    assert!(fleet.ends.len() >= 3, "{case}: fewer than three servers ended");
    assert!(fleet.late_sends() <= 3, "{case}: {} more requests", fleet.late_sends());
    let Harmless { all, rejected } = fleet.harmless;
    assert!(rejected * 20 <= all, "{case}: {rejected} of {all} harmless requests rejected");
}

#[test]
fn deadly_part_is_held_by_6_hosts() {
    for seed in 0..20 {
        let fleet = simulate(Fleet::new(6, 4, 9, seed), 60, 4);
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_6_hosts_of_one_domain_without_the_store() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 1, 9, seed);
        fleet.has_store = false;
        check(&simulate(fleet, 60, 4), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_that_comes_rarely_is_held_by_6_hosts() {
    for seed in 0..20 {
        check(&simulate(Fleet::new(6, 4, 9, seed), 60, 1), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_300_hosts() {
    for seed in 0..3 {
        check(&simulate(Fleet::new(300, 6, 160, seed), 300, 6), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_985_hosts() {
    check(&simulate(Fleet::new(985, 6, 1_000, 0), 300, 6), "985 hosts");
}
