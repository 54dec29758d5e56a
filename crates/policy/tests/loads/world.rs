//! Hosts that place streams on engines, and what they announce to each other of the engines' loads.

use policy::engine::{self, Costs, Demand, DomainLoad, Engine, spill};
use policy::place::mix;
use policy::report::{Announcements, Report, Scope, is_news};
use policy::time::Millis;

/// Hosts and engines of each failure domain.
pub const HOSTS: usize = 26;
pub const ENGINES: usize = 30;
pub const SLOTS: u32 = 16;
pub const DURATION_MS: u64 = 60_000;
/// Time until the answer's head, which holds the engine's report.
const HEAD_MS: u64 = 100;
/// Hosts that one announcement goes to.
const RECEIVERS: usize = 12;

/// How announcements travel.
#[derive(Clone, Copy, Debug)]
pub struct Messages {
    pub delay_ms: u64,
    pub lost_share: f64,
}

/// Announcements to the hosts of other failure domains.
#[derive(Clone, Copy, Debug)]
pub struct FarMessages {
    pub interval_ms: u64,
    pub messages: Messages,
    /// When they end, in milliseconds.
    pub until: u64,
}

/// The load per slot that a failure domain's callers bring at a time, in milliseconds.
pub type Load = fn(usize, u64) -> f64;

/// The settings and the load of a run.
#[derive(Clone, Copy)]
pub struct Run {
    pub domains: usize,
    pub messages: Option<Messages>,
    pub far: Option<FarMessages>,
    /// Cost of another failure domain, in milliseconds.
    pub far_ms: f64,
    /// Mean length of the streams, in milliseconds.
    pub stream_ms: f64,
    pub load: Load,
    pub seed: u64,
}

/// What became of the requests of one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: f64,
    /// Sent to an engine whose slots are all taken.
    pub at_full: f64,
    /// Sent to another failure domain.
    pub far: f64,
}

impl Outcome {
    pub fn share_at_full(&self) -> f64 {
        self.at_full / self.sent
    }

    pub fn share_far(&self) -> f64 {
        self.far / self.sent
    }

    /// What became of these and other requests.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            at_full: self.at_full + other.at_full,
            far: self.far + other.far,
        }
    }
}

/// What one host knows of one engine.
#[derive(Clone, Copy, Default)]
struct View {
    own: u32,
    reported: u32,
    own_then: u32,
    reported_at: Millis,
    announcements: Announcements,
}

#[derive(Clone)]
struct Host {
    views: Vec<View>,
    /// The mean load that each failure domain announced, and when.
    domains: Vec<(f64, Millis)>,
}

#[derive(Clone)]
enum Event {
    Head { host: usize, engine: usize },
    End { host: usize, engine: usize },
    Heard { host: usize, engine: usize, report: Report, at: Millis },
    HeardFar { host: usize, domain: usize, per_slot: f64, at: Millis },
}

struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn index(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

struct World {
    run: Run,
    draws: Draws,
    hosts: Vec<Host>,
    running: Vec<u32>,
    due: Vec<Vec<Event>>,
}

/// Plays a run. `observe` is given the time, the mean load per slot of each failure domain and what
/// became of its requests, once in 100 ms. Returns what became of the requests of each failure domain.
pub fn play(run: Run, mut observe: impl FnMut(u64, &[f64], &[Outcome])) -> Vec<Outcome> {
    let engines = run.domains * ENGINES;
    let host =
        Host { views: vec![View::default(); engines], domains: vec![<_>::default(); run.domains] };
    let mut world = World {
        draws: Draws(run.seed),
        hosts: vec![host; run.domains * HOSTS],
        running: vec![0; engines],
        due: vec![Vec::new(); DURATION_MS as usize],
        run,
    };
    let mut outcomes = vec![Outcome::default(); run.domains];
    for now in 1..DURATION_MS {
        for event in std::mem::take(&mut world.due[now as usize]) {
            world.take(event, now);
        }
        let announced = run.far.filter(|far| now < far.until && now % far.interval_ms == 0);
        if let Some(far) = announced {
            (0..run.domains).for_each(|domain| world.announce(domain, far.messages, now));
        }
        for (domain, outcome) in outcomes.iter_mut().enumerate() {
            let slots = f64::from(SLOTS) * ENGINES as f64;
            if world.draws.next() < (run.load)(domain, now) * slots / run.stream_ms {
                world.send(domain, outcome, now);
            }
        }
        if now % 100 == 0 {
            let means = world.running.chunks(ENGINES).map(|domain| {
                f64::from(domain.iter().sum::<u32>()) / f64::from(SLOTS) / ENGINES as f64
            });
            observe(now, &means.collect::<Vec<_>>(), &outcomes);
        }
    }
    outcomes
}

impl World {
    fn schedule(&mut self, at: u64, event: Event) {
        if let Some(due) = self.due.get_mut(at as usize) {
            due.push(event);
        }
    }

    fn send(&mut self, domain: usize, outcome: &mut Outcome, now: u64) {
        let host = domain * HOSTS + self.draws.index(HOSTS);
        let engine = self.place(host, now);
        outcome.sent += 1.0;
        outcome.at_full += f64::from(u8::from(self.running[engine] >= SLOTS));
        outcome.far += f64::from(u8::from(engine / ENGINES != domain));
        self.running[engine] += 1;
        self.hosts[host].views[engine].own += 1;
        let length_ms = -self.draws.next().max(1e-9).ln() * self.run.stream_ms;
        self.schedule(now + HEAD_MS, Event::Head { host, engine });
        self.schedule(now + HEAD_MS + length_ms as u64, Event::End { host, engine });
    }

    /// The engines as a host knows them.
    fn engines(&mut self, host: usize, now: u64) -> Vec<Engine> {
        let known = &self.hosts[host];
        let engines = known.views.iter().enumerate().map(|(index, view)| {
            let (per_slot, at) = known.domains[index / ENGINES];
            let age_ms = engine::age_ms(at, Millis(now));
            let age_ms = age_ms.filter(|age_ms| *age_ms < spill::DOMAIN_LOAD_LIFETIME_MS);
            Engine {
                own: view.own,
                reported: view.reported,
                own_then: view.own_then,
                report_age_ms: engine::age_ms(view.reported_at, Millis(now)),
                domain_load: age_ms.map(|age_ms| DomainLoad { per_slot, age_ms }),
                slots: SLOTS,
                near: index / ENGINES == host / HOSTS,
                ..Engine::default()
            }
        });
        let mut engines: Vec<Engine> = engines.collect();
        if self.run.messages.is_some() {
            engine::use_announced_loads(&mut engines, (self.draws.next() * 1e18) as u64);
        }
        engines
    }

    fn place(&mut self, host: usize, now: u64) -> usize {
        let engines = self.engines(host, now);
        let demand = Demand {
            prompt: 800.0,
            shared: 0.0,
            tokens_per_ms: 56.6,
            service_ms: self.run.stream_ms,
            far_ms: self.run.far_ms,
            failure_ms: 2_000.0,
        };
        let costs =
            Costs { spills: true, evens_domains: self.run.far.is_some(), ..Costs::default() };
        let draw = (self.draws.next() * u64::MAX as f64) as u64;
        engine::place(&engines, &demand, &costs, draw).unwrap().index
    }

    /// Announces what the first host of a failure domain knows to the hosts of the others.
    fn announce(&mut self, domain: usize, messages: Messages, now: u64) {
        let engines = self.engines(domain * HOSTS, now);
        let per_slot = spill::near_per_slot(&engines);
        for host in (0..self.hosts.len()).filter(|host| host / HOSTS != domain) {
            if self.draws.next() < messages.lost_share {
                continue;
            }
            let at = Millis(now);
            let due = now + messages.delay_ms;
            self.schedule(due, Event::HeardFar { host, domain, per_slot, at });
            for engine in domain * ENGINES..(domain + 1) * ENGINES {
                let View { reported, reported_at: at, .. } =
                    self.hosts[domain * HOSTS].views[engine];
                let report = Report { requests: reported, slots: SLOTS, percent: 100 };
                if at > Millis(0) {
                    self.schedule(due, Event::Heard { host, engine, report, at });
                }
            }
        }
    }

    fn take(&mut self, event: Event, now: u64) {
        match event {
            Event::End { host, engine } => {
                self.running[engine] -= 1;
                self.hosts[host].views[engine].own -= 1;
            }
            Event::Heard { host, engine, report, at } => {
                let view = &mut self.hosts[host].views[engine];
                view.announcements.record_known(report, at);
                if is_news(at, view.reported_at, Scope::Changes, Millis(now)) {
                    (view.reported, view.own_then, view.reported_at) =
                        (report.requests, view.own, at);
                }
            }
            Event::HeardFar { host, domain, per_slot, at } => {
                self.hosts[host].domains[domain] = (per_slot, at);
            }
            Event::Head { host, engine } => self.hear_head(host, engine, now),
        }
    }

    fn hear_head(&mut self, host: usize, engine: usize, now: u64) {
        let report = Report { requests: self.running[engine], slots: SLOTS, percent: 100 };
        let view = &mut self.hosts[host].views[engine];
        (view.reported, view.own_then) = (report.requests, view.own);
        view.reported_at = Millis(now);
        let Some(Messages { delay_ms, lost_share }) = self.run.messages else { return };
        if !view.announcements.is_due(report, Scope::Changes, Millis(now)) {
            return;
        }
        view.announcements.record_known(report, Millis(now));
        for _ in 0..RECEIVERS {
            let peer = host / HOSTS * HOSTS + self.draws.index(HOSTS);
            if self.draws.next() >= lost_share {
                let heard = Event::Heard { host: peer, engine, report, at: Millis(now) };
                self.schedule(now + delay_ms, heard);
            }
        }
    }
}
