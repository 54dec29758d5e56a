//! A part of prompts that ends servers, at 6 to 985 hosts that each see some of its requests, in
//! simulated time: with victims, lost messages, and without the store.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;
use policy::place::mix;
use policy::poison::registry::Source;
use policy::poison::{Answer, Attempt, Digest, Fingerprint, Polls, Registry, Suspect, Verdict};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);

/// The only request with this number, with these parts.
fn request(number: u64, parts: &[Digest]) -> Fingerprint {
    let request = Fingerprint::from_request(Digest(1_000_000 + number)).with_parts(parts);
    Fingerprint { service: Name::from("pool"), ..request }
}

/// Hosts, and servers that end of requests with a deadly part, in steps of simulated time.
struct Fleet {
    now: Millis,
    hosts: Vec<(Registry, Polls)>,
    domains: usize,
    rows: Vec<Vec<Suspect>>,
    /// Told to a host, and when it comes.
    messages: Vec<(Millis, usize, Suspect)>,
    servers: Vec<Server>,
    starts: u64,
    runs: Vec<Work>,
    requests: u64,
    draws: u64,
    /// When another host has leave to try something until.
    claims: BTreeMap<Digest, Millis>,
    /// The store answers.
    has_store: bool,
    /// When requests with the deadly part were sent to servers.
    strikes: Vec<Millis>,
    /// When servers ended.
    ends: Vec<Millis>,
    sound: Served,
}

/// Sound requests and those refused at their first attempt, from the time on in which all must know.
#[derive(Default)]
struct Served {
    all: usize,
    refused: usize,
}

struct Server {
    start: u64,
    /// Until it is back.
    away_until: Millis,
}

#[derive(Clone)]
struct Work {
    request: Fingerprint,
    host: usize,
    server: usize,
    begins: Millis,
    ends: Millis,
    tries: u32,
}

const STEP_MS: u64 = 50;
/// One message of so many between two hosts is lost.
const LOST_PART: usize = 10;
/// Hosts tell each other what is held whenever they give a sign of life, so often in steps.
const SIGN_STEPS: u64 = 100;
/// Hosts in touch know of the fifth server's end by then.
const CONTACT_MS: u64 = 3_000;
/// A list of servers says so late that one has ended.
const LISTED_MS: u64 = 3_000;
const AWAY_MS: u64 = 4_000;
/// Attempts of one request.
const TRIES_MAX: u32 = 3;
/// Subjects that prompts are about, each a part that few requests share.
const SUBJECTS: usize = 60;

impl Fleet {
    fn new(hosts: usize, domains: usize, servers: usize, seed: u64) -> Self {
        let server = |number| Server { start: number as u64, away_until: Millis(0) };
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
            strikes: Vec::new(),
            ends: Vec::new(),
            sound: Served::default(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = mix(self.draws.wrapping_add(0x9e37_79b9));
        (self.draws >> 16) as usize % below
    }

    /// Sound requests: one of three kinds, each with a part of its own, about a subject, the popular
    /// ones more often.
    fn sound_parts(&mut self) -> [Digest; 2] {
        let kind = self.draw(3);
        let (one, other) = (self.draw(SUBJECTS), self.draw(SUBJECTS));
        [Digest(10 + kind as u64), Digest(100 + (kind * SUBJECTS + one.min(other)) as u64)]
    }

    fn come(&mut self, is_deadly: bool) {
        let [kind, subject] = self.sound_parts();
        let parts = if is_deadly { vec![kind, subject, DEADLY] } else { vec![kind, subject] };
        self.requests += 1;
        let request = request(self.requests, &parts);
        let host = self.draw(self.hosts.len());
        let is_sent = self.send(request, host, 0);
        if !is_deadly && self.ends.get(4).is_some_and(|at| self.now.since(*at) > 2 * CONTACT_MS) {
            self.sound.all += 1;
            self.sound.refused += usize::from(!is_sent);
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

    fn send(&mut self, request: Fingerprint, host: usize, tries: u32) -> bool {
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].away_until <= self.now).collect();
        if up.is_empty() || !self.may_send(&request, host) {
            return false;
        }
        let server = up[self.draw(up.len())];
        let begins = self.now + 100 + self.draw(400) as u64;
        let lasts = [150, 1_500, 3_500][self.draw(3)];
        if request.contains(DEADLY) {
            self.strikes.push(self.now);
        }
        let ends = begins + lasts;
        self.runs.push(Work { request, host, server, begins, ends, tries: tries + 1 });
        true
    }

    /// A server begins to answer on the part.
    fn end_server(&mut self, server: usize) {
        let start = self.servers[server].start;
        self.ends.push(self.now);
        self.starts += 1;
        self.servers[server] = Server { start: self.starts, away_until: self.now + AWAY_MS };
        let runs = std::mem::take(&mut self.runs);
        let (lost, rest) = runs.into_iter().partition(|work: &Work| work.server == server);
        self.runs = rest;
        let lost: Vec<Work> = lost;
        let mut concerned = BTreeSet::new();
        for work in &lost {
            let is_early = self.now.since(work.begins) < 1_000;
            let server = Name::from(format!("server-{start}"));
            let lost = Attempt { request: work.request.clone(), server, born: 0, is_early };
            self.hosts[work.host].0.record_loss(lost, self.now);
            concerned.insert(work.host);
        }
        for host in concerned {
            let (book, polls) = &mut self.hosts[host];
            book.record_server_end(&Name::from(format!("server-{start}")), self.now);
            polls.restart(self.now);
        }
        for work in lost.into_iter().filter(|work| work.tries < TRIES_MAX) {
            self.send(work.request, work.host, work.tries);
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        let is_struck = |work: &&Work| work.begins <= now && work.request.contains(DEADLY);
        while let Some(server) = self.runs.iter().find(is_struck).map(|work| work.server) {
            self.end_server(server);
        }
        let (done, rest) = std::mem::take(&mut self.runs).into_iter().partition(|w| w.ends <= now);
        self.runs = rest;
        let done: Vec<Work> = done;
        for work in done {
            self.hosts[work.host].0.record_answer(&work.request, Answer::Whole, now);
        }
        self.share();
    }

    fn share(&mut self) {
        let now = self.now;
        let listed = |end: &Millis| now.since(*end).abs_diff(LISTED_MS) < STEP_MS / 2;
        if self.has_store && self.ends.iter().any(listed) {
            self.hosts.iter_mut().for_each(|(_, polls)| polls.schedule(now));
        }
        for host in 0..self.hosts.len() {
            self.tell(host);
            // The first host of each domain reads for the others.
            if self.has_store && host < self.domains && self.hosts[host].1.is_due(now) {
                self.read(host);
            }
        }
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now);
        self.messages = later;
        let due: Vec<(Millis, usize, Suspect)> = due;
        for (_, host, told) in due {
            let (book, polls) = &mut self.hosts[host];
            if book.learn(&told, Source::Peer, now) {
                polls.restart(now);
            }
        }
    }

    fn tell(&mut self, host: usize) {
        let (book, _) = &mut self.hosts[host];
        let mut told = Vec::new();
        if (self.now.0 / STEP_MS + host as u64).is_multiple_of(SIGN_STEPS) {
            told = book.suspects(self.now);
        }
        if book.has_unsent() {
            told.extend(book.take_for_peers(self.now));
            if self.has_store
                && let Some(row) = book.take_store_row(self.now)
            {
                self.rows[host] = row;
            }
        }
        for suspect in told {
            for peer in (host % self.domains..self.hosts.len()).step_by(self.domains) {
                if peer != host && self.draw(LOST_PART) > 0 {
                    self.messages.push((self.now + STEP_MS, peer, suspect.clone()));
                }
            }
        }
    }

    fn read(&mut self, host: usize) {
        let (book, polls) = &mut self.hosts[host];
        let told = self.rows.iter().flatten();
        let news = told.filter(|told| book.learn(told, Source::Store, self.now)).count();
        polls.record_read(news > 0, self.now);
    }

    /// Requests with the part that were sent later than all hosts in touch were to know of the fifth end.
    fn retries(&self) -> usize {
        let Some(fifth) = self.ends.get(4) else { return 0 };
        self.strikes.iter().filter(|at| at.since(*fifth) > CONTACT_MS).count()
    }
}

/// So many sound requests and requests with the part a second, for half a minute, after ten seconds without.
fn play(mut fleet: Fleet, sound: usize, deadly: usize) -> Fleet {
    const CALM_STEPS: usize = 200;
    const STEPS: usize = 800;
    let steps_a_second = (1_000 / STEP_MS) as usize;
    for step in 0..STEPS {
        let due = |rate: usize| (step + 1) * rate / steps_a_second - step * rate / steps_a_second;
        (0..due(sound)).for_each(|_| fleet.come(false));
        if step >= CALM_STEPS {
            (0..due(deadly)).for_each(|_| fleet.come(true));
        }
        fleet.pass_time();
    }
    fleet
}

fn check(fleet: &Fleet, case: &str) {
    assert!(fleet.ends.len() >= 3, "{case}: nothing happened");
    assert!(fleet.retries() <= 3, "{case}: {} requests more", fleet.retries());
    let Served { all, refused } = fleet.sound;
    assert!(refused * 20 <= all, "{case}: {refused} of {all} sound requests refused");
}

#[test]
fn deadly_part_is_held_by_6_hosts() {
    for seed in 0..20 {
        let fleet = play(Fleet::new(6, 4, 9, seed), 60, 4);
        check(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_6_hosts_of_one_domain_without_the_store() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, 1, 9, seed);
        fleet.has_store = false;
        check(&play(fleet, 60, 4), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_that_comes_rarely_is_held_by_6_hosts() {
    for seed in 0..20 {
        check(&play(Fleet::new(6, 4, 9, seed), 60, 1), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_300_hosts() {
    for seed in 0..3 {
        check(&play(Fleet::new(300, 6, 160, seed), 300, 6), &format!("seed {seed}"));
    }
}

#[test]
fn deadly_part_is_held_by_985_hosts() {
    check(&play(Fleet::new(985, 6, 1_000, 0), 300, 6), "985 hosts");
}
