//! The other hosts of the failure domain, and where they listen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::heartbeat;
use policy::name::Name;
use policy::time::Millis;

/// Hosts remembered at most, which bounds memory only.
const HOSTS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Known {
    address: SocketAddr,
    /// When it was last heard of, or found listed.
    heard: Millis,
    /// Its strength.
    class: u8,
}

/// By name.
#[derive(Default)]
pub struct Directory(Mutex<HashMap<Name, Known>>);

impl Directory {
    /// A host of a strength was heard of, or found listed; whether it was not known before.
    pub fn note(&self, name: &Name, address: SocketAddr, class: u8, now: Millis) -> bool {
        let mut hosts = self.lock();
        let has_room = hosts.len() < HOSTS_MAX;
        let known = Known { address, heard: now, class };
        match hosts.get_mut(name) {
            Some(held) => {
                *held = known;
                false
            }
            None if has_room => hosts.insert(name.clone(), known).is_none(),
            None => false,
        }
    }

    /// Forgets those that were not heard of for long.
    pub fn forget(&self, now: Millis) {
        let mut hosts = self.lock();
        let forget_ms = heartbeat::forget_ms(hosts.len());
        hosts.retain(|_, known| now.since(known.heard) < forget_ms);
    }

    /// Where a host listens.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.lock().get(name).map(|known| known.address)
    }

    /// Between two signs of life to all of them.
    #[must_use]
    pub fn pulse(&self) -> Duration {
        Duration::from_millis(heartbeat::interval_ms(self.lock().len()))
    }

    /// How many are known, also of those that may be gone.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Where all of them listen.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|known| known.address).collect()
    }

    /// Those that were heard of, or found, lately, each with its strength.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<(Name, u8)> {
        let hosts = self.lock();
        let gone_ms = heartbeat::timeout_ms(hosts.len());
        let alive = hosts.iter().filter(|(_, known)| now.since(known.heard) < gone_ms);
        alive.map(|(name, known)| (name.clone(), known.class)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
