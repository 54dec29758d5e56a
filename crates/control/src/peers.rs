//! The other controls this one knows of, and a lasting connection to each.
//!
//! Nobody agrees on this list. Settings and the host list say where to look; an exchange of
//! gossip says which incarnation answers there and when it last did.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use policy::name::Name;
use policy::time::Millis;
use wire::peer::{Key, Link};

/// A control not heard from for so long is not asked first.
pub const QUIET_MS: u64 = 2_000;
/// Longest time that one exchange with a peer may take.
pub const CALL: Duration = Duration::from_secs(1);
/// A control known by gossip alone is forgotten after such a silence.
const FORGET_MS: u64 = 600_000;
/// Rounds of gossip that a member may be silent for.
const ROUNDS: u64 = 2;

/// Who said where a control is reached, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The control itself, in an exchange of gossip.
    Gossip,
    /// The platform's host list.
    HostList,
    /// This process's settings. A name never changes its host, so a written address stays.
    Settings,
}

/// One other control.
#[derive(Clone)]
pub struct Member {
    /// Its host's name.
    pub host: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its incarnation, once it has answered; empty before.
    pub incarnation: Name,
    /// The generation in force there, when last heard.
    pub generation: u64,
    /// When it last answered, or asked; 0 if never.
    pub heard: Millis,
    /// Who said so.
    pub source: Source,
    /// The way to it.
    pub link: Arc<Link>,
}

impl Member {
    fn alive(&self, now: Millis, quiet_ms: u64) -> bool {
        !self.incarnation.is_empty() && now.since(self.heard) <= quiet_ms
    }
}

/// All of them, by host name.
pub struct Peers {
    key: Key,
    own_host: Name,
    members: RwLock<BTreeMap<Name, Member>>,
    quiet_ms: AtomicU64,
}

impl Peers {
    /// None known yet.
    #[must_use]
    pub fn new(own_host: Name, key: Key) -> Self {
        Self { key, own_host, members: RwLock::default(), quiet_ms: AtomicU64::new(QUIET_MS) }
    }

    /// Takes in an address; one that a source at least as strong has changed replaces the
    /// connection.
    pub fn learn(&self, source: Source, host: &Name, failure_domain: &Name, address: SocketAddr) {
        if *host == self.own_host {
            return;
        }
        let mut members = self.write();
        match members.get_mut(host) {
            Some(member) if member.link.address() == address || member.source > source => {}
            _ => {
                let member = Member {
                    host: host.clone(),
                    failure_domain: failure_domain.clone(),
                    incarnation: Name::default(),
                    generation: 0,
                    heard: Millis(0),
                    source,
                    link: Arc::new(Link::new(address, self.key.clone())),
                };
                members.insert(host.clone(), member);
            }
        }
    }

    /// Forgets who is known by gossip alone and has been silent for long.
    pub fn expire(&self, now: Millis) {
        self.write().retain(|_, member| {
            member.source != Source::Gossip || now.since(member.heard) < FORGET_MS
        });
    }

    /// Forgets a host that is gone for good.
    pub fn forget(&self, host: &str) {
        self.write().remove(host);
    }

    /// Sets the interval at which one member is asked; all are alive that a few rounds reached.
    pub fn expect(&self, interval: Duration) {
        let interval = u64::try_from(interval.as_millis()).unwrap_or(u64::MAX);
        let round = interval.saturating_mul(self.len() as u64);
        self.quiet_ms.store(round.saturating_mul(ROUNDS).max(QUIET_MS), Ordering::Relaxed);
    }

    /// Notes that a host did not answer: it is not asked first until it is heard from again.
    pub fn missed(&self, host: &str) {
        if let Some(member) = self.write().get_mut(host) {
            member.heard = Millis(0);
        }
    }

    /// Number of members known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.read().len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.read().is_empty()
    }

    /// One member.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Member> {
        self.read().get(host).cloned()
    }

    /// Notes that a host's incarnation was heard from.
    pub fn heard(&self, host: &str, incarnation: &Name, generation: u64, now: Millis) {
        if let Some(member) = self.write().get_mut(host) {
            member.incarnation = incarnation.clone();
            member.generation = generation;
            member.heard = now;
        }
    }

    /// All known, by host name.
    #[must_use]
    pub fn all(&self) -> Vec<Member> {
        self.read().values().cloned().collect()
    }

    /// Those heard from lately.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<Member> {
        let quiet_ms = self.quiet_ms.load(Ordering::Relaxed);
        self.read().values().filter(|member| member.alive(now, quiet_ms)).cloned().collect()
    }

    /// Whether an incarnation was heard from lately.
    #[must_use]
    pub fn is_alive(&self, incarnation: &str, now: Millis) -> bool {
        let quiet_ms = self.quiet_ms.load(Ordering::Relaxed);
        self.by_incarnation(incarnation).is_some_and(|member| member.alive(now, quiet_ms))
    }

    /// The host that an incarnation runs on, if it was the last one heard there.
    #[must_use]
    pub fn by_incarnation(&self, incarnation: &str) -> Option<Member> {
        self.read().values().find(|member| &*member.incarnation == incarnation).cloned()
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, BTreeMap<Name, Member>> {
        self.members.read().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, BTreeMap<Name, Member>> {
        self.members.write().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
