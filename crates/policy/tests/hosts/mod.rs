//! A simulation of one failure domain's hosts and the store.

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, Relay, alone_ms};
use policy::time::Millis;

/// Bounds that let the store hold the calls of a host that reads alone for a long time.
pub const PATIENT: Bounds = Bounds { change_ms: 2_000, alone_ms: 3_500 };
/// Bounds by default.
pub fn bounds() -> Bounds {
    Bounds { change_ms: 2_000, alone_ms: alone_ms(CONTACT_MS) }
}

/// Length of one step of simulated time, in milliseconds.
pub const TICK_MS: u64 = 10;
/// Default time for which a host must have reached the store until changes must be in force on it,
/// in milliseconds.
pub const CONTACT_MS: u64 = 3_000;
/// Retry pause of a host alone after a failed call, in milliseconds.
pub const PAUSE_MS: u64 = 100;
/// Interval between two heartbeats of each host, in milliseconds.
pub const HEARTBEAT_MS: u64 = 5_000;

/// What happens to a host's calls of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Path {
    /// Calls are answered.
    Open,
    /// Calls, including those in flight, are never answered.
    Silent,
    /// Calls are refused at once.
    Refused,
}

pub struct Host {
    pub name: Name,
    pub relay: Relay,
    pub path: Path,
    /// When the path was last not open, or the host did not run; none if never.
    pub disturbed_at: Option<u64>,
    /// Until when the host does not run.
    pub frozen_until: u64,
    /// The store's revision that the host knows.
    pub revision: u64,
    /// The store call in flight.
    pub call: Option<Call>,
    /// Number of store calls made.
    pub calls: u64,
    /// How often the store seemed to have been away for long.
    pub outages: u64,
}

#[derive(Clone, Copy)]
pub struct Call {
    /// When it was made, and for how long the store may hold it, in milliseconds.
    pub made_at: u64,
    pub hold_ms: u64,
    /// When the call fails or is answered at the latest.
    pub ends_at: u64,
    pub is_failing: bool,
    /// The revision that the answer brings, once the answer has begun.
    pub revision: Option<u64>,
}

impl Call {
    /// Loses the answer. The host does not notice before the answer is overdue.
    fn lose(&mut self, overdue_ms: u64) {
        self.ends_at += if self.is_failing { 0 } else { overdue_ms };
        self.is_failing = true;
    }
}

pub struct Domain {
    pub bounds: Bounds,
    /// Time for which a host must have reached the store until changes must be in force on it, in
    /// milliseconds.
    pub contact_ms: u64,
    pub hosts: Vec<Host>,
    pub now: u64,
    /// The store's revision.
    pub revision: u64,
    /// When each revision was made.
    pub made_at: Vec<u64>,
    /// How long an answer that brings a change takes to be received, in milliseconds. An answer
    /// that takes any time is too long to be passed on.
    pub body_ms: u64,
    /// Every message whose number is a multiple of this is lost.
    pub lose_every: u64,
    /// Number of messages sent between hosts.
    pub messages: u64,
    /// A host that receives no announcements of reads.
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
                disturbed_at: None,
                frozen_until: 0,
                revision: 0,
                call: None,
                calls: 0,
                outages: 0,
            }
        };
        let hosts = (0..count).map(host).collect();
        let mut domain = Self {
            bounds,
            contact_ms: CONTACT_MS,
            hosts,
            now: 1,
            revision: 0,
            made_at: vec![0],
            body_ms: 0,
            lose_every: u64::MAX,
            messages: 0,
            deaf: None,
        };
        domain.send_heartbeats();
        domain
    }

    pub fn send_heartbeats(&mut self) {
        let names: Vec<Name> = self.hosts.iter().map(|host| host.name.clone()).collect();
        for host in &mut self.hosts {
            for name in names.iter().filter(|name| **name != host.name) {
                host.relay.record_peer(name, Millis(self.now));
            }
        }
    }

    /// Changes the list in the store.
    pub fn change(&mut self) {
        self.revision += 1;
        self.made_at.push(self.now);
    }

    pub fn set_path(&mut self, number: usize, path: Path) {
        let host = &mut self.hosts[number];
        host.path = path;
        if path == Path::Silent {
            host.lose_call();
        }
    }

    /// Makes the open connections of all hosts silent, while new ones work.
    pub fn silence_connections(&mut self) {
        for host in &mut self.hosts {
            host.disturbed_at = Some(self.now);
            host.lose_call();
        }
    }

    pub fn restart(&mut self, number: usize) {
        let (name, now) = (self.hosts[number].name.clone(), self.now);
        let host = &mut self.hosts[number];
        host.relay = Relay::new(self.bounds, &name, "list", Bootstrap::new(Millis(now)));
        (host.revision, host.call, host.disturbed_at) = (0, None, Some(now));
    }

    pub fn tick(&mut self) {
        self.now += TICK_MS;
        if (self.now - 1).is_multiple_of(HEARTBEAT_MS) {
            self.send_heartbeats();
        }
        for number in 0..self.hosts.len() {
            let (now, revision) = (self.now, self.revision);
            let host = &mut self.hosts[number];
            if host.path != Path::Open || host.frozen_until > now {
                host.disturbed_at = Some(now);
            }
            if host.frozen_until > now {
                continue;
            }
            match host.call {
                None => host.start_call(now),
                Some(call) => {
                    let is_news =
                        !call.is_failing && call.revision.is_none() && host.revision < revision;
                    if is_news && self.body_ms > 0 {
                        let ends_at = now + self.body_ms;
                        host.call = Some(Call {
                            ends_at,
                            is_failing: false,
                            revision: Some(revision),
                            ..call
                        });
                        self.announce_long_change(number);
                        continue;
                    }
                    if !is_news && now < call.ends_at {
                        continue;
                    }
                    host.call = None;
                    if call.is_failing {
                        let waited_ms = now - call.made_at;
                        host.relay.record_unanswered(waited_ms, call.hold_ms, Millis(now));
                        // Each host draws another number.
                        let draw = (number as f64 * 0.618 + now as f64 * 0.000_7).fract();
                        host.relay.record_failure(PAUSE_MS, draw, Millis(now));
                        continue;
                    }
                    host.revision = call.revision.unwrap_or(revision);
                    host.outages += u64::from(host.relay.end_outage(Millis(self.now)));
                    host.relay.record_read(Millis(now));
                    self.announce_read(number);
                }
            }
        }
    }

    /// Announces, if `from` reads on behalf of the others, that it is receiving a long answer.
    fn announce_long_change(&mut self, from: usize) {
        if !self.hosts[from].relay.reads_for_others(Millis(self.now)) {
            return;
        }
        let name = self.hosts[from].name.clone();
        for number in (0..self.hosts.len()).filter(|number| *number != from) {
            self.messages += 1;
            let host = &mut self.hosts[number];
            if !self.messages.is_multiple_of(self.lose_every) && host.frozen_until <= self.now {
                host.relay.record_long_change(&name, Millis(self.now));
            }
        }
    }

    /// Announces that `from` has read, with the changes if they are short.
    fn announce_read(&mut self, from: usize) {
        let (name, revision) = (self.hosts[from].name.clone(), self.hosts[from].revision);
        for number in (0..self.hosts.len()).filter(|number| *number != from) {
            self.messages += 1;
            let host = &mut self.hosts[number];
            let is_lost =
                self.messages.is_multiple_of(self.lose_every) || self.deaf == Some(number);
            if is_lost || host.frozen_until > self.now {
                continue;
            }
            host.outages += u64::from(host.relay.end_outage(Millis(self.now)));
            host.relay.record_peer_read(&name, Millis(self.now), Millis(self.now));
            match () {
                () if self.body_ms == 0 => host.revision = host.revision.max(revision),
                () if host.revision < revision
                    && host.call.is_none_or(|c| c.revision.is_none()) =>
                {
                    host.relay.force_read();
                }
                () => {}
            }
        }
    }

    /// Checks that each host that has reached the store for a while knows each change in time.
    pub fn check(&self) {
        for host in &self.hosts {
            let has_contact = host.disturbed_at.is_none_or(|at| self.now > at + self.contact_ms);
            let missed = self.made_at.get(host.revision as usize + 1);
            let is_late = missed.is_some_and(|made_at| self.now > made_at + self.bounds.change_ms);
            assert!(
                !(has_contact && is_late),
                "{} at {}: knows {}, next made at {missed:?}",
                host.name,
                self.now,
                host.revision
            );
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick();
            self.check();
        }
    }

    /// Number of store calls made by all hosts.
    pub fn calls(&self) -> u64 {
        self.hosts.iter().map(|host| host.calls).sum()
    }

    /// Returns the host whose turn to read comes last.
    pub fn last(&mut self) -> usize {
        let now = Millis(self.now);
        let turn = |host: &mut Host| match host.relay.action(now) {
            Action::Read { .. } => now,
            Action::Listen { until } => until,
        };
        let turns = self.hosts.iter_mut().map(turn).enumerate();
        turns.max_by_key(|(_, turn)| *turn).unwrap().0
    }

    /// Returns the host that reads on behalf of the others.
    pub fn reader(&self) -> usize {
        let reads = |host: &Host| host.relay.reads_for_others(Millis(self.now));
        self.hosts.iter().position(reads).unwrap()
    }
}

impl Host {
    /// Loses the answer to the call in flight.
    pub fn lose_call(&mut self) {
        let overdue_ms = self.relay.overdue_ms();
        if let Some(call) = &mut self.call {
            call.lose(overdue_ms);
        }
    }

    /// Starts a store call if it is this host's turn to read.
    fn start_call(&mut self, now: u64) {
        let Action::Read { hold_ms } = self.relay.action(Millis(now)) else { return };
        self.calls += 1;
        let overdue_ms = self.relay.overdue_ms();
        let (ends_at, is_failing) = match self.path {
            Path::Open => (now + hold_ms, false),
            Path::Silent => (now + hold_ms + overdue_ms, true),
            Path::Refused => (now, true),
        };
        self.call = Some(Call { made_at: now, hold_ms, ends_at, is_failing, revision: None });
    }
}
