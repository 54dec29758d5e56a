//! The other hosts of the failure domain, and where they listen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::name::Name;
use policy::pulse;
use policy::time::Millis;

/// Hosts remembered at most, which bounds memory only.
const HOSTS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    /// When it was last heard of, or found listed.
    last_seen: Millis,
    /// Its strength.
    class: u8,
}

/// By name.
#[derive(Default)]
pub struct Directory(Mutex<HashMap<Name, Peer>>);

impl Directory {
    /// A host of a strength was heard of, or found listed; whether it was not known before.
    pub fn record(&self, name: &Name, address: SocketAddr, class: u8, now: Millis) -> bool {
        let mut hosts = self.lock();
        let has_room = hosts.len() < HOSTS_MAX;
        let peer = Peer { address, last_seen: now, class };
        match hosts.get_mut(name) {
            Some(existing) => {
                *existing = peer;
                false
            }
            None if has_room => hosts.insert(name.clone(), peer).is_none(),
            None => false,
        }
    }

    /// Forgets those that were not heard of for long.
    pub fn evict_silent(&self, now: Millis) {
        let mut hosts = self.lock();
        let forget_ms = pulse::forget_ms(hosts.len());
        hosts.retain(|_, peer| now.since(peer.last_seen) < forget_ms);
    }

    /// Where a host listens.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.lock().get(name).map(|peer| peer.address)
    }

    /// Between two signs of life to all of them.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(pulse::every_ms(self.lock().len()))
    }

    /// How many are known, also of those that may be gone.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Where all of them listen.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|peer| peer.address).collect()
    }

    /// Those that were heard of, or found, lately, each with its strength.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<(Name, u8)> {
        let hosts = self.lock();
        let gone_ms = pulse::gone_ms(hosts.len());
        let alive = hosts.iter().filter(|(_, peer)| now.since(peer.last_seen) < gone_ms);
        alive.map(|(name, peer)| (name.clone(), peer.class)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Peer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
