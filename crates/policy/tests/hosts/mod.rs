//! Hosts of one failure domain and the store, in simulated time.

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, Relay, alone_ms};
use policy::time::Millis;

/// Bounds of a host that may let its calls be held back for long.
pub const PATIENT: Bounds = Bounds { change_ms: 2_000, alone_ms: 3_500 };
/// The usual bounds.
pub fn bounds() -> Bounds {
    Bounds { change_ms: 2_000, alone_ms: alone_ms(TOUCH_MS) }
}

/// One step of simulated time, in milliseconds.
pub const TICK: u64 = 10;
/// What the client of the store waits beyond what a call is held back, in milliseconds.
pub const ANSWER_MS: u64 = 700;
/// What a host must have been in reach of the store to be bound, in milliseconds.
pub const TOUCH_MS: u64 = 3_000;
/// Pause of a host alone after a call that failed, in milliseconds.
pub const PAUSE_MS: u64 = 100;
/// Between two signs of life of each host, in milliseconds.
pub const GREET_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Path {
    Open,
    /// Calls, also those under way, are never answered.
    Silent,
    /// Calls are refused at once.
    Refused,
}

pub struct Host {
    pub name: Name,
    pub relay: Relay,
    pub path: Path,
    /// When its path was last not open, or it did not run.
    pub troubled: Option<u64>,
    pub frozen_until: u64,
    /// The store's revision that it knows.
    pub revision: u64,
    /// The call under way: when it is answered at the latest, or fails.
    pub call: Option<Call>,
    pub calls: u64,
}

#[derive(Clone, Copy)]
pub struct Call {
    pub ends: u64,
    pub fails: bool,
    /// Its answer has begun; the revision that it will bring.
    pub brings: Option<u64>,
}

impl Call {
    /// Its answer will not come. Nothing tells the host so before the answer is overdue.
    fn is_lost(&mut self) {
        self.ends += if self.fails { 0 } else { ANSWER_MS };
        self.fails = true;
    }
}

pub struct Domain {
    pub bounds: Bounds,
    /// What a host must have been in reach of the store to be bound, in milliseconds.
    pub touch_ms: u64,
    pub hosts: Vec<Host>,
    pub now: u64,
    pub revision: u64,
    /// When each revision was made.
    pub made: Vec<u64>,
    /// How long the answer takes that brings a change; if it takes any time, it is too long to be
    /// passed on.
    pub body_ms: u64,
    /// Words are lost when this divides their number.
    pub lose_every: u64,
    pub words: u64,
    /// A host that hears of nobody's reading.
    pub deaf: Option<usize>,
}

impl Domain {
    pub fn new(count: usize) -> Self {
        Self::within(bounds(), count)
    }

    pub fn within(bounds: Bounds, count: usize) -> Self {
        let host = |number| {
            let name = Name::from(format!("host-{number}"));
            Host {
                relay: Relay::new(bounds, &name, "list", Bootstrap::new(Millis(1))),
                name,
                path: Path::Open,
                troubled: None,
                frozen_until: 0,
                revision: 0,
                call: None,
                calls: 0,
            }
        };
        let hosts = (0..count).map(host).collect();
        let mut domain = Self {
            bounds,
            touch_ms: TOUCH_MS,
            hosts,
            now: 1,
            revision: 0,
            made: vec![0],
            body_ms: 0,
            lose_every: u64::MAX,
            words: 0,
            deaf: None,
        };
        domain.greet();
        domain
    }

    pub fn greet(&mut self) {
        let names: Vec<Name> = self.hosts.iter().map(|host| host.name.clone()).collect();
        for host in &mut self.hosts {
            for name in names.iter().filter(|name| **name != host.name) {
                host.relay.record_peer(name, Millis(self.now));
            }
        }
    }

    pub fn change(&mut self) {
        self.revision += 1;
        self.made.push(self.now);
    }

    pub fn set_path(&mut self, number: usize, path: Path) {
        let host = &mut self.hosts[number];
        host.path = path;
        if let (Path::Silent, Some(call)) = (path, &mut host.call) {
            call.is_lost();
        }
    }

    /// Connections of all hosts go silent; new ones work.
    pub fn silence_connections(&mut self) {
        for host in &mut self.hosts {
            host.troubled = Some(self.now);
            if let Some(call) = &mut host.call {
                call.is_lost();
            }
        }
    }

    pub fn restart(&mut self, number: usize) {
        let (name, now) = (self.hosts[number].name.clone(), self.now);
        let host = &mut self.hosts[number];
        host.relay = Relay::new(self.bounds, &name, "list", Bootstrap::new(Millis(now)));
        (host.revision, host.call, host.troubled) = (0, None, Some(now));
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        if (self.now - 1).is_multiple_of(GREET_MS) {
            self.greet();
        }
        for number in 0..self.hosts.len() {
            let (now, revision) = (self.now, self.revision);
            let host = &mut self.hosts[number];
            if host.path != Path::Open || host.frozen_until > now {
                host.troubled = Some(now);
            }
            if host.frozen_until > now {
                continue;
            }
            match host.call {
                None => host.ask(now),
                Some(call) => {
                    let is_news = !call.fails && call.brings.is_none() && host.revision < revision;
                    if is_news && self.body_ms > 0 {
                        let ends = now + self.body_ms;
                        host.call = Some(Call { ends, fails: false, brings: Some(revision) });
                        self.announce(number);
                        continue;
                    }
                    if !is_news && now < call.ends {
                        continue;
                    }
                    host.call = None;
                    if call.fails {
                        // Hosts draw differently.
                        let draw = (number as f64 * 0.618 + now as f64 * 0.000_7).fract();
                        host.relay.record_failure(PAUSE_MS, draw, Millis(now));
                        continue;
                    }
                    host.revision = call.brings.unwrap_or(revision);
                    host.relay.record_read(Millis(now));
                    self.tell(number);
                }
            }
        }
    }

    /// The host that reads for the others tells them that a long answer comes.
    fn announce(&mut self, from: usize) {
        if !self.hosts[from].relay.reads_for_others(Millis(self.now)) {
            return;
        }
        let name = self.hosts[from].name.clone();
        for number in (0..self.hosts.len()).filter(|number| *number != from) {
            self.words += 1;
            let host = &mut self.hosts[number];
            if !self.words.is_multiple_of(self.lose_every) && host.frozen_until <= self.now {
                host.relay.record_long_change(&name, Millis(self.now));
            }
        }
    }

    fn tell(&mut self, from: usize) {
        let (name, revision) = (self.hosts[from].name.clone(), self.hosts[from].revision);
        for number in (0..self.hosts.len()).filter(|number| *number != from) {
            self.words += 1;
            let host = &mut self.hosts[number];
            let is_lost = self.words.is_multiple_of(self.lose_every) || self.deaf == Some(number);
            if is_lost || host.frozen_until > self.now {
                continue;
            }
            host.relay.record_peer_read(&name, Millis(self.now), Millis(self.now));
            match () {
                () if self.body_ms == 0 => host.revision = host.revision.max(revision),
                () if host.revision < revision && host.call.is_none_or(|c| c.brings.is_none()) => {
                    host.relay.force_read();
                }
                () => {}
            }
        }
    }

    /// A host that has reached the store for a while knows each change in time.
    pub fn check(&self) {
        for host in &self.hosts {
            let in_touch = host.troubled.is_none_or(|at| self.now > at + self.touch_ms);
            let missed = self.made.get(host.revision as usize + 1);
            let late = missed.is_some_and(|made| self.now > made + self.bounds.change_ms);
            assert!(
                !(in_touch && late),
                "{} at {}: knows {}, made at {missed:?}",
                host.name,
                self.now,
                host.revision
            );
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
            self.check();
        }
    }

    pub fn calls(&self) -> u64 {
        self.hosts.iter().map(|host| host.calls).sum()
    }

    /// The host whose turn to read comes last.
    pub fn last(&mut self) -> usize {
        let now = Millis(self.now);
        let turn = |host: &mut Host| match host.relay.action(now) {
            Action::Read { .. } => now,
            Action::Listen { until } => until,
        };
        let turns = self.hosts.iter_mut().map(turn).enumerate();
        turns.max_by_key(|(_, turn)| *turn).unwrap().0
    }

    /// The host that reads for the others.
    pub fn reader(&self) -> usize {
        let reads = |host: &Host| host.relay.reads_for_others(Millis(self.now));
        self.hosts.iter().position(reads).unwrap()
    }
}

impl Host {
    fn ask(&mut self, now: u64) {
        let Action::Read { hold_ms } = self.relay.action(Millis(now)) else { return };
        self.calls += 1;
        self.call = Some(match self.path {
            Path::Open => Call { ends: now + hold_ms, fails: false, brings: None },
            Path::Silent => Call { ends: now + hold_ms + ANSWER_MS, fails: true, brings: None },
            Path::Refused => Call { ends: now, fails: true, brings: None },
        });
    }
}
