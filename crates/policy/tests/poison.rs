//! Requests that crash the servers that run them, and their victims: one host's registry, and a
//! simulated fleet of hosts that share what they know.

use fuzz::check;
use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{
    Answer, Attempt, Crash, Digest, Fingerprint, Polls, Registry, Suspect, Verdict,
};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);

fn attempt(digest: Digest, server: &str) -> Attempt {
    let request = Fingerprint::from_request(digest);
    Attempt { request, server: Name::from(server), born: 0, is_early: true }
}

fn answer(registry: &mut Registry, digest: Digest, now: Millis) {
    registry.record_answer(&Fingerprint::from_request(digest), Answer::Whole, now);
}

/// Records that a request is lost with `servers` servers, one per second; returns the time of the
/// last loss.
fn lose(registry: &mut Registry, digest: Digest, servers: u64) -> Millis {
    for number in 0..servers {
        let now = START + number * 1_000;
        let server = format!("server-{number}");
        registry.record_loss(attempt(digest, &server), now);
        registry.record_server_end(&Name::from(server.as_str()), now + 2);
    }
    START + servers.saturating_sub(1) * 1_000
}

#[test]
fn verdict_follows_from_the_number_of_crashed_servers() {
    let mut registry = Registry::default();
    let last = lose(&mut registry, DEADLY, 1);
    assert_eq!(registry.verdict(DEADLY, last), Verdict::Run);
    let last = lose(&mut registry, DEADLY, 2);
    assert_eq!(registry.verdict(DEADLY, last), Verdict::Trial { servers: 2, alone_ms: 2_000 });
    let last = lose(&mut registry, DEADLY, 3);
    assert_eq!(registry.verdict(DEADLY, last), Verdict::Hold(60_000));
    assert_eq!(
        registry.verdict(DEADLY, last + 60_000),
        Verdict::Trial { servers: 3, alone_ms: 60_000 }
    );
}

#[test]
fn verdict_allows_three_trials_after_the_third_server() {
    let mut registry = Registry::default();
    let mut now = lose(&mut registry, DEADLY, 3);
    let day_ends = now + 20 * 3_600_000;
    let mut trials = 0;
    while now < day_ends {
        match registry.verdict(DEADLY, now) {
            Verdict::Hold(ms) => now = now + ms,
            Verdict::Run => panic!("sent again without a trial"),
            Verdict::Trial { .. } => {
                trials += 1;
                let server = format!("late-{trials}");
                registry.record_loss(attempt(DEADLY, &server), now);
                registry.record_server_end(&Name::from(server.as_str()), now);
            }
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn record_answer_clears_earlier_losses() {
    let mut registry = Registry::default();
    let last = lose(&mut registry, DEADLY, 2);
    answer(&mut registry, DEADLY, last + 10);
    assert_eq!(registry.verdict(DEADLY, last + 10), Verdict::Run);
    // Another host reports a loss that is older than the answer.
    let crash = Crash { server: Name::from("elsewhere"), born: 0, at: last, is_early: true };
    let report = Suspect { crashes: vec![crash], ..Suspect::new(DEADLY) };
    assert!(!registry.learn(&report, Source::Peer, last + 20));
    assert_eq!(registry.verdict(DEADLY, last + 20), Verdict::Run);
}

/// Guards against frequent requests being held after an outage of many servers.
#[test]
fn record_loss_of_a_recently_answered_request_is_no_suspect() {
    let mut registry = Registry::default();
    answer(&mut registry, DEADLY, START - 5_000);
    let last = lose(&mut registry, DEADLY, 4);
    assert_eq!(registry.verdict(DEADLY, last), Verdict::Run);
    assert!(registry.take_store_row(last + 2_000).is_none());
    assert!(registry.take_for_peers(last + 2_000).is_empty());
}

#[test]
fn record_loss_without_a_server_end_is_no_suspect() {
    let mut registry = Registry::default();
    for number in 0..5 {
        registry.record_loss(attempt(DEADLY, &format!("server-{number}")), START);
    }
    assert_eq!(registry.verdict(DEADLY, START + 100), Verdict::Run);
}

#[test]
fn record_abandoned_counts_if_the_server_ends_at_once() {
    let mut registry = Registry::default();
    lose(&mut registry, DEADLY, 1);
    registry.record_abandoned(attempt(DEADLY, "dropped"), START + 1_000);
    registry.record_server_end(&Name::from("dropped"), START + 1_050);
    assert_eq!(
        registry.verdict(DEADLY, START + 1_050),
        Verdict::Trial { servers: 2, alone_ms: 2_000 }
    );
    let mut registry = Registry::default();
    lose(&mut registry, DEADLY, 1);
    registry.record_abandoned(attempt(DEADLY, "dropped"), START + 1_000);
    registry.record_server_end(&Name::from("dropped"), START + 4_000);
    assert_eq!(registry.verdict(DEADLY, START + 4_000), Verdict::Run);
}

#[test]
fn record_loss_late_in_the_attempt_counts_half() {
    let mut registry = Registry::default();
    for number in 0..3 {
        let server = format!("server-{number}");
        let at = START + number * 1_000;
        registry.record_loss(Attempt { is_early: false, ..attempt(DEADLY, &server) }, at);
        registry.record_server_end(&Name::from(server.as_str()), at);
    }
    assert_eq!(registry.verdict(DEADLY, START + 2_000), Verdict::Run);
    registry.record_loss(attempt(DEADLY, "early"), START + 3_000);
    registry.record_server_end(&Name::from("early"), START + 3_000);
    assert_eq!(
        registry.verdict(DEADLY, START + 3_000),
        Verdict::Trial { servers: 2, alone_ms: 2_000 }
    );
}

/// Guards against many victims pushing the request that crashes servers out of a full registry.
#[test]
fn full_registry_keeps_held_suspects() {
    let mut registry = Registry::default();
    let last = lose(&mut registry, DEADLY, 3);
    for victim in 1_000..3_000 {
        registry.record_loss(attempt(Digest(victim), "shared"), last + 10_000);
        registry.record_server_end(&Name::from("shared"), last + 10_000);
    }
    assert!(matches!(registry.verdict(DEADLY, last + 10_000), Verdict::Hold(_)));
}

/// Guards against hosts that disagree: they decide alike in whatever order, and however often, they
/// receive the same reports.
#[test]
fn learn_in_any_order_decides_alike() {
    check(300, |losses: &Vec<(u8, u8, u16, bool, bool)>| {
        let reports: Vec<Suspect> = losses
            .iter()
            .map(|(digest, server, at, is_early, answered)| {
                let mut suspect = Suspect::new(Digest(u64::from(*digest % 3)));
                let at = START + u64::from(*at) * 10;
                match answered {
                    true => suspect.answered_at = Some(at),
                    false => suspect.crashes.push(Crash {
                        server: Name::from(format!("server-{server}-{at:?}")),
                        born: 0,
                        at,
                        is_early: *is_early,
                    }),
                }
                suspect
            })
            .collect();
        let now = START + 700_000;
        let (mut one, mut other) = (Registry::default(), Registry::default());
        for report in &reports {
            one.learn(report, Source::Peer, now);
        }
        for report in reports.iter().rev().chain(&reports) {
            other.learn(report, Source::Store, now);
        }
        for digest in 0..3 {
            let verdicts = [&one, &other].map(|registry| registry.verdict(Digest(digest), now));
            assert_eq!(verdicts[0], verdicts[1]);
        }
    });
}

const HOSTS: usize = 300;
const DOMAINS: usize = 6;
const SERVERS: u64 = 160;
const STEP_MS: u64 = 100;
/// Interval, in steps, of the heartbeats with which hosts tell each other their suspects.
const HEARTBEAT_STEPS: u64 = 50;
/// Time after the third server's end by which all connected hosts must know of it, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Delay until the list of backend servers shows a server's end, in milliseconds.
const LIST_DELAY_MS: u64 = 2_500;
/// One message in this many between two hosts is lost.
const LOSS_ONE_IN: u64 = 10;
/// Other requests in flight at a server when it ends.
const VICTIMS: usize = 8;

/// Many hosts, each with its own registry, and the messages between them.
struct Fleet {
    now: Millis,
    hosts: Vec<(Registry, Polls)>,
    rows: Vec<Vec<Suspect>>,
    /// Messages in flight: time of arrival, receiving host, content.
    messages: Vec<(Millis, usize, Suspect)>,
    ends: Vec<Millis>,
    trial: Option<Millis>,
    draws: u64,
    /// Innocent requests that were lost with a server.
    victims: Vec<Digest>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            now: START,
            hosts: (0..HOSTS).map(|_| <(Registry, Polls)>::default()).collect(),
            rows: vec![Vec::new(); HOSTS],
            messages: Vec::new(),
            ends: Vec::new(),
            trial: None,
            draws: seed,
            victims: Vec::new(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = policy::place::mix(self.draws.wrapping_add(0x9e37_79b9));
        (self.draws >> 16) as usize % below
    }

    /// Ends a server that runs a request of a host and other requests of other hosts.
    fn end_server(&mut self, host: usize, digest: Digest) {
        self.ends.push(self.now);
        let server = Name::from(format!("start-{}", self.ends.len()));
        let mut lost = vec![(host, digest)];
        for _ in 0..VICTIMS {
            let victim = Digest(1_000 + self.victims.len() as u64);
            self.victims.push(victim);
            lost.push((self.draw(HOSTS), victim));
        }
        for (host, digest) in lost {
            let (registry, polls) = &mut self.hosts[host];
            registry.record_loss(attempt(digest, &server), self.now);
            registry.record_server_end(&server, self.now);
            polls.restart(self.now);
        }
    }

    /// Sends the deadly request to a host, which makes attempts at servers while it may.
    fn send_deadly(&mut self, host: usize) {
        for _ in 0..3 {
            match self.hosts[host].0.verdict(DEADLY, self.now) {
                Verdict::Hold(_) => return,
                Verdict::Run => self.end_server(host, DEADLY),
                Verdict::Trial { alone_ms, .. } => {
                    let is_recent = |at: Millis| self.now.since(at) < alone_ms;
                    if self.trial.is_some_and(is_recent) {
                        return;
                    }
                    self.trial = Some(self.now);
                    self.end_server(host, DEADLY);
                }
            }
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        let is_listed = |end: &&Millis| now.since(**end).abs_diff(LIST_DELAY_MS) < STEP_MS / 2;
        if self.ends.iter().any(|end| is_listed(&end)) {
            self.hosts.iter_mut().for_each(|(_, polls)| polls.schedule(now));
        }
        for host in 0..HOSTS {
            self.share(host);
            // The first host of each failure domain reads for the others.
            if host < DOMAINS && self.hosts[host].1.is_due(now) {
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

    fn share(&mut self, host: usize) {
        let (registry, _) = &mut self.hosts[host];
        let mut updates = Vec::new();
        if (self.now.0 / STEP_MS + host as u64).is_multiple_of(HEARTBEAT_STEPS) {
            updates = registry.suspects(self.now);
        }
        if registry.has_unsent() {
            updates.extend(registry.take_for_peers(self.now));
            if let Some(row) = registry.take_store_row(self.now) {
                self.rows[host] = row;
            }
        }
        for suspect in updates {
            for peer in (host % DOMAINS..HOSTS).step_by(DOMAINS) {
                if self.draw(LOSS_ONE_IN as usize) > 0 {
                    self.messages.push((self.now + STEP_MS, peer, suspect.clone()));
                }
            }
        }
    }

    fn read(&mut self, host: usize) {
        let (registry, polls) = &mut self.hosts[host];
        let news = self
            .rows
            .iter()
            .flatten()
            .filter(|report| registry.learn(report, Source::Store, self.now));
        let is_news = news.count() > 0;
        polls.record_read(is_news, self.now);
    }

    /// Number of servers that ended later than all connected hosts had to know of the third.
    fn late_crashes(&self) -> usize {
        let Some(third) = self.ends.get(2) else { return 0 };
        self.ends.iter().filter(|end| end.since(*third) > CONTACT_MS).count()
    }

    /// Number of victims that some host holds.
    fn held_victims(&self) -> usize {
        let is_held = |victim: &&Digest| {
            let mut verdicts =
                self.hosts.iter().map(|(registry, _)| registry.verdict(**victim, self.now));
            verdicts.any(|verdict| matches!(verdict, Verdict::Hold(_)))
        };
        self.victims.iter().filter(is_held).count()
    }
}

/// Simulates fleets that get the deadly request at a random host every `every` steps.
fn simulate_deadly(steps: usize, every: usize) -> Vec<Fleet> {
    let play = |seed| {
        let mut fleet = Fleet::new(seed);
        for step in 0..steps {
            if step % every == 0 {
                let host = fleet.draw(HOSTS);
                fleet.send_deadly(host);
            }
            fleet.pass_time();
        }
        fleet
    };
    (0..4).map(play).collect()
}

#[test]
fn deadly_request_is_held_by_300_hosts() {
    for (seed, fleet) in simulate_deadly(1_000, 5).iter().enumerate() {
        assert!(fleet.late_crashes() <= 3, "seed {seed}: {} more servers", fleet.late_crashes());
        assert_eq!(fleet.held_victims(), 0, "seed {seed}");
    }
}

#[test]
fn deadly_request_that_comes_rarely_is_held_by_300_hosts() {
    for (seed, fleet) in simulate_deadly(2_000, 45).iter().enumerate() {
        assert!(fleet.late_crashes() <= 3, "seed {seed}: {} more servers", fleet.late_crashes());
    }
}

/// Guards against innocent requests being held because servers crash for other reasons.
#[test]
fn long_requests_under_many_crashes_are_not_held() {
    const REQUESTS: usize = 50;
    /// Time that one request takes, in steps.
    const STEPS: usize = 60;
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        let (mut servers, mut begun) = (vec![0; REQUESTS], vec![0; REQUESTS]);
        let (mut done, mut held) = (0, 0);
        let mut digests: Vec<u64> = (0..REQUESTS as u64).collect();
        for step in 0..600 {
            for request in 0..REQUESTS {
                if step - begun[request] >= STEPS {
                    let digest = Digest(digests[request]);
                    answer(&mut fleet.hosts[request].0, digest, fleet.now);
                    digests[request] += REQUESTS as u64;
                    (servers[request], begun[request]) = (fleet.draw(SERVERS as usize), step);
                    done += 1;
                }
            }
            // A server ends every half second.
            if step % 5 == 0 {
                let server = fleet.draw(SERVERS as usize);
                for request in (0..REQUESTS).filter(|request| servers[*request] == server) {
                    let is_early = step - begun[request] < 10;
                    let name = Name::from(format!("server-{server}-{step}"));
                    let (registry, _) = &mut fleet.hosts[request];
                    let attempt = Attempt { is_early, ..attempt(Digest(digests[request]), &name) };
                    registry.record_loss(attempt, fleet.now);
                    registry.record_server_end(&name, fleet.now);
                    let verdict = registry.verdict(Digest(digests[request]), fleet.now);
                    held += usize::from(matches!(verdict, Verdict::Hold(_)));
                }
                for request in 0..REQUESTS {
                    if servers[request] != server {
                        continue;
                    }
                    (servers[request], begun[request]) = (fleet.draw(SERVERS as usize), step);
                }
            }
            fleet.pass_time();
        }
        assert!(done > 300, "seed {seed}: servers end too often for requests to be answered");
        assert_eq!(held, 0, "seed {seed}");
    }
}
