//! Requests that end the servers that run them, and their victims.

use fuzz::check;
use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{
    Answer, Attempt, Crash, Digest, Fingerprint, Polls, Registry, Suspect, Verdict,
};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);

fn run(digest: Digest, server: &str) -> Attempt {
    let request = Fingerprint::from_request(digest);
    Attempt { request, server: Name::from(server), born: 0, is_early: true }
}

fn answered(book: &mut Registry, digest: Digest, now: Millis) {
    book.record_answer(&Fingerprint::from_request(digest), Answer::Whole, now);
}

/// It is lost with so many servers, one a second.
fn lose(book: &mut Registry, digest: Digest, servers: u64) -> Millis {
    for number in 0..servers {
        let now = START + number * 1_000;
        let server = format!("server-{number}");
        book.record_loss(run(digest, &server), now);
        book.record_server_end(&Name::from(server.as_str()), now + 2);
    }
    START + servers.saturating_sub(1) * 1_000
}

#[test]
fn verdict_follows_the_servers_that_ended() {
    let mut book = Registry::default();
    let last = lose(&mut book, DEADLY, 1);
    assert_eq!(book.verdict(DEADLY, last), Verdict::Run);
    let last = lose(&mut book, DEADLY, 2);
    assert_eq!(book.verdict(DEADLY, last), Verdict::Trial { servers: 2, alone_ms: 2_000 });
    let last = lose(&mut book, DEADLY, 3);
    assert_eq!(book.verdict(DEADLY, last), Verdict::Hold(60_000));
    assert_eq!(
        book.verdict(DEADLY, last + 60_000),
        Verdict::Trial { servers: 3, alone_ms: 60_000 }
    );
}

#[test]
fn verdict_leaves_three_tries_after_the_third_server() {
    let mut book = Registry::default();
    let mut now = lose(&mut book, DEADLY, 3);
    let day_ends = now + 20 * 3_600_000;
    let mut tries = 0;
    while now < day_ends {
        match book.verdict(DEADLY, now) {
            Verdict::Hold(ms) => now = now + ms,
            Verdict::Run => panic!("sent again as if nothing had happened"),
            Verdict::Trial { .. } => {
                tries += 1;
                let server = format!("late-{tries}");
                book.record_loss(run(DEADLY, &server), now);
                book.record_server_end(&Name::from(server.as_str()), now);
            }
        }
    }
    assert_eq!(tries, 3);
}

#[test]
fn answer_clears_what_was_lost_before() {
    let mut book = Registry::default();
    let last = lose(&mut book, DEADLY, 2);
    answered(&mut book, DEADLY, last + 10);
    assert_eq!(book.verdict(DEADLY, last + 10), Verdict::Run);
    // Another host tells of a loss that is older than the answer.
    let crash = Crash { server: Name::from("elsewhere"), born: 0, at: last, is_early: true };
    let told = Suspect { crashes: vec![crash], ..Suspect::new(DEADLY) };
    assert!(!book.learn(&told, Source::Peer, last + 20));
    assert_eq!(book.verdict(DEADLY, last + 20), Verdict::Run);
}

/// Guards against requests that come all the time being held after an outage of many servers.
#[test]
fn request_answered_a_moment_ago_is_no_suspect() {
    let mut book = Registry::default();
    answered(&mut book, DEADLY, START - 5_000);
    let last = lose(&mut book, DEADLY, 4);
    assert_eq!(book.verdict(DEADLY, last), Verdict::Run);
    assert!(book.take_store_row(last + 2_000).is_none());
    assert!(book.take_for_peers(last + 2_000).is_empty());
}

#[test]
fn broken_connection_alone_speaks_against_nothing() {
    let mut book = Registry::default();
    for number in 0..5 {
        book.record_loss(run(DEADLY, &format!("server-{number}")), START);
    }
    assert_eq!(book.verdict(DEADLY, START + 100), Verdict::Run);
}

#[test]
fn run_given_up_counts_if_its_server_ends_at_once() {
    let mut book = Registry::default();
    lose(&mut book, DEADLY, 1);
    book.record_abandoned(run(DEADLY, "dropped"), START + 1_000);
    book.record_server_end(&Name::from("dropped"), START + 1_050);
    assert_eq!(book.verdict(DEADLY, START + 1_050), Verdict::Trial { servers: 2, alone_ms: 2_000 });
    let mut book = Registry::default();
    lose(&mut book, DEADLY, 1);
    book.record_abandoned(run(DEADLY, "dropped"), START + 1_000);
    book.record_server_end(&Name::from("dropped"), START + 4_000);
    assert_eq!(book.verdict(DEADLY, START + 4_000), Verdict::Run);
}

#[test]
fn late_ends_count_half() {
    let mut book = Registry::default();
    for number in 0..3 {
        let server = format!("server-{number}");
        let at = START + number * 1_000;
        book.record_loss(Attempt { is_early: false, ..run(DEADLY, &server) }, at);
        book.record_server_end(&Name::from(server.as_str()), at);
    }
    assert_eq!(book.verdict(DEADLY, START + 2_000), Verdict::Run);
    book.record_loss(run(DEADLY, "early"), START + 3_000);
    book.record_server_end(&Name::from("early"), START + 3_000);
    assert_eq!(book.verdict(DEADLY, START + 3_000), Verdict::Trial { servers: 2, alone_ms: 2_000 });
}

/// Guards against many victims pushing the request that ends servers out of a full table.
#[test]
fn full_table_keeps_what_is_held() {
    let mut book = Registry::default();
    let last = lose(&mut book, DEADLY, 3);
    for victim in 1_000..3_000 {
        book.record_loss(run(Digest(victim), "shared"), last + 10_000);
        book.record_server_end(&Name::from("shared"), last + 10_000);
    }
    assert!(matches!(book.verdict(DEADLY, last + 10_000), Verdict::Hold(_)));
}

/// Guards against hosts that part: whatever they hear first, and however often, they decide alike.
#[test]
fn told_in_any_order_decides_alike() {
    check(300, |losses: &Vec<(u8, u8, u16, bool, bool)>| {
        let told: Vec<Suspect> = losses
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
        for told in &told {
            one.learn(told, Source::Peer, now);
        }
        for told in told.iter().rev().chain(&told) {
            other.learn(told, Source::Store, now);
        }
        for digest in 0..3 {
            let verdicts = [&one, &other].map(|book| book.verdict(Digest(digest), now));
            assert_eq!(verdicts[0], verdicts[1]);
        }
    });
}

const HOSTS: usize = 300;
const DOMAINS: usize = 6;
const SERVERS: u64 = 160;
const STEP_MS: u64 = 100;
/// Hosts tell each other what is held whenever they give a sign of life, so often in steps.
const SIGN_STEPS: u64 = 50;
/// Hosts in touch know of the third server's end by then.
const CONTACT_MS: u64 = 3_000;
/// A list of servers says so late that one has ended.
const LISTED_MS: u64 = 2_500;
/// One message of so many between two hosts is lost.
const LOST_PART: u64 = 10;
/// Requests under way at a server when it ends.
const VICTIMS: usize = 8;

/// Many hosts, each with its own book, and what passes between them.
struct Fleet {
    now: Millis,
    hosts: Vec<(Registry, Polls)>,
    rows: Vec<Vec<Suspect>>,
    /// Told to a host, and when it comes.
    messages: Vec<(Millis, usize, Suspect)>,
    ends: Vec<Millis>,
    trial: Option<Millis>,
    draws: u64,
    /// Each came to its end at some host, and may come again.
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

    /// A server ends under a request at a host, and under others at other hosts.
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
            let (book, polls) = &mut self.hosts[host];
            book.record_loss(run(digest, &server), self.now);
            book.record_server_end(&server, self.now);
            polls.restart(self.now);
        }
    }

    /// The deadly request comes to a host, which tries it at servers while it may.
    fn strike(&mut self, host: usize) {
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
        let listed = |end: &&Millis| now.since(**end).abs_diff(LISTED_MS) < STEP_MS / 2;
        if self.ends.iter().any(|end| listed(&end)) {
            self.hosts.iter_mut().for_each(|(_, polls)| polls.schedule(now));
        }
        for host in 0..HOSTS {
            self.tell(host);
            // The first host of each domain reads for the others.
            if host < DOMAINS && self.hosts[host].1.is_due(now) {
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
            if let Some(row) = book.take_store_row(self.now) {
                self.rows[host] = row;
            }
        }
        for suspect in told {
            for peer in (host % DOMAINS..HOSTS).step_by(DOMAINS) {
                if self.draw(LOST_PART as usize) > 0 {
                    self.messages.push((self.now + STEP_MS, peer, suspect.clone()));
                }
            }
        }
    }

    fn read(&mut self, host: usize) {
        let (book, polls) = &mut self.hosts[host];
        let news =
            self.rows.iter().flatten().filter(|told| book.learn(told, Source::Store, self.now));
        let is_news = news.count() > 0;
        polls.record_read(is_news, self.now);
    }

    /// Servers that ended later than all hosts in touch were to know of the third.
    fn retries(&self) -> usize {
        let Some(third) = self.ends.get(2) else { return 0 };
        self.ends.iter().filter(|end| end.since(*third) > CONTACT_MS).count()
    }

    /// Victims that some host would not send.
    fn held_victims(&self) -> usize {
        let is_held = |victim: &&Digest| {
            let mut verdicts = self.hosts.iter().map(|(book, _)| book.verdict(**victim, self.now));
            verdicts.any(|verdict| matches!(verdict, Verdict::Hold(_)))
        };
        self.victims.iter().filter(is_held).count()
    }
}

/// It comes to another host each time, so often in steps; the fleets at the end.
fn struck(steps: usize, every: usize) -> Vec<Fleet> {
    let play = |seed| {
        let mut fleet = Fleet::new(seed);
        for step in 0..steps {
            if step % every == 0 {
                let host = fleet.draw(HOSTS);
                fleet.strike(host);
            }
            fleet.pass_time();
        }
        fleet
    };
    (0..4).map(play).collect()
}

#[test]
fn deadly_request_is_held_by_300_hosts() {
    for (seed, fleet) in struck(1_000, 5).iter().enumerate() {
        assert!(fleet.retries() <= 3, "seed {seed}: {} servers more", fleet.retries());
        assert_eq!(fleet.held_victims(), 0, "seed {seed}");
    }
}

#[test]
fn deadly_request_that_comes_rarely_is_held_by_300_hosts() {
    for (seed, fleet) in struck(2_000, 45).iter().enumerate() {
        assert!(fleet.retries() <= 3, "seed {seed}: {} servers more", fleet.retries());
    }
}

/// Guards against innocent requests being turned away because servers fall for other reasons.
#[test]
fn long_requests_under_many_ends_are_not_held() {
    const REQUESTS: usize = 50;
    /// Time that one takes, in steps.
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
                    answered(&mut fleet.hosts[request].0, digest, fleet.now);
                    digests[request] += REQUESTS as u64;
                    (servers[request], begun[request]) = (fleet.draw(SERVERS as usize), step);
                    done += 1;
                }
            }
            // A server ends every half a second.
            if step % 5 == 0 {
                let server = fleet.draw(SERVERS as usize);
                for request in (0..REQUESTS).filter(|request| servers[*request] == server) {
                    let is_early = step - begun[request] < 10;
                    let name = Name::from(format!("server-{server}-{step}"));
                    let (book, _) = &mut fleet.hosts[request];
                    let run = Attempt { is_early, ..run(Digest(digests[request]), &name) };
                    book.record_loss(run, fleet.now);
                    book.record_server_end(&name, fleet.now);
                    let verdict = book.verdict(Digest(digests[request]), fleet.now);
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
        assert!(done > 300, "seed {seed}: the servers ended too often to see anything");
        assert_eq!(held, 0, "seed {seed}");
    }
}
