//! The peers in the failure domain, and the addresses at which they listen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::heartbeat;
use policy::name::Name;
use policy::prefix::Lag;
use policy::time::Millis;

/// Most peers that are remembered. The limit only bounds memory.
const HOSTS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    /// When the peer last sent a message or was found listed in the store.
    last_seen: Millis,
    /// Strength class of the peer's machine.
    class: u8,
    /// How late the peer's messages arrive.
    lag: Lag,
}

/// The known peers, by name.
#[derive(Default)]
pub struct Directory(Mutex<HashMap<Name, Peer>>);

impl Directory {
    /// Records that a peer sent a message or was found listed. Returns whether it was unknown
    /// before.
    pub fn record(&self, name: &Name, address: SocketAddr, class: u8, now: Millis) -> bool {
        let mut hosts = self.lock();
        let has_room = hosts.len() < HOSTS_MAX;
        let peer = Peer { address, last_seen: now, class, lag: Lag::default() };
        match hosts.get_mut(name) {
            Some(existing) => {
                *existing = Peer { lag: existing.lag, ..peer };
                false
            }
            None if has_room => hosts.insert(name.clone(), peer).is_none(),
            None => false,
        }
    }

    /// Records a message that a peer sent at `sent` by its clock. Returns by how much it came later
    /// than the peer's messages usually do, in milliseconds; 0 from an unknown peer.
    pub fn record_delay(&self, name: &Name, sent: Millis, now: Millis) -> u64 {
        self.lock().get_mut(name).map_or(0, |peer| peer.lag.record(sent, now))
    }

    /// Evicts peers that have been silent for so long that their addresses are no longer worth
    /// keeping.
    pub fn evict_silent(&self, now: Millis) {
        let mut hosts = self.lock();
        let forget_ms = heartbeat::forget_ms(hosts.len());
        hosts.retain(|_, peer| now.since(peer.last_seen) < forget_ms);
    }

    /// The address at which a peer listens; `None` if it is not known.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.lock().get(name).map(|peer| peer.address)
    }

    /// Interval between two heartbeats that this host sends to all peers. It grows with their
    /// number.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(heartbeat::interval_ms(self.lock().len()))
    }

    /// Number of known peers, including those that may be gone.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Addresses of all known peers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|peer| peer.address).collect()
    }

    /// Names and strength classes of the peers that sent a message or were found listed recently.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<(Name, u8)> {
        let hosts = self.lock();
        let gone_ms = heartbeat::timeout_ms(hosts.len());
        let alive = hosts.iter().filter(|(_, peer)| now.since(peer.last_seen) < gone_ms);
        alive.map(|(name, peer)| (name.clone(), peer.class)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Peer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
