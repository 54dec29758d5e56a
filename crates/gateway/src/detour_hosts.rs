//! Other hosts that a request may go through while its own host reaches no backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::clock;
use policy::detour::{Choice, Domain, Load};
use policy::name::Name;
use policy::time::Millis;
use tokio::sync::Notify;

use crate::backend::Backend;

/// Hosts that pass on requests for this one, by name.
#[derive(Default)]
pub struct DetourHosts {
    hosts: Mutex<HashMap<Name, Arc<Backend>>>,
    /// The number of other hosts of this failure domain, including those that are cut off.
    neighbours: AtomicUsize,
    /// Notified when requests need more such hosts than are known.
    pub wanted: Notify,
}

impl DetourHosts {
    /// Adds a host that takes requests at an address.
    pub fn add(&self, name: &Name, address: SocketAddr, failure_domain: &Name, is_near: bool) {
        let mut hosts = self.lock();
        match hosts.get(name) {
            // The host is alive, whatever it failed before.
            Some(known) if known.server.address == address => {
                known.server.record_success(clock::steady());
            }
            _ => {
                let host = Backend::host(name.clone(), address, failure_domain.clone(), is_near);
                hosts.insert(name.clone(), Arc::new(host));
            }
        }
    }

    /// Removes a host that no longer passes requests on.
    pub fn remove(&self, name: &Name) {
        self.lock().remove(name);
    }

    /// Removes the hosts of this failure domain for which `is_there` is false.
    pub fn retain_near(&self, is_there: impl Fn(&Name) -> bool) {
        self.lock().retain(|name, host| !host.is_near || is_there(name));
    }

    /// Sets the number of other hosts of this failure domain, including those that are cut off.
    pub fn set_neighbours(&self, count: usize) {
        self.neighbours.store(count, Ordering::Relaxed);
    }

    /// Whether hosts of other failure domains must be found.
    #[must_use]
    pub fn wants_far(&self, now: Millis) -> bool {
        let hosts = self.lock();
        let usable = hosts.values().filter(|host| !host.is_near && host.server.accepts_work(now));
        self.domain(&hosts).needs_other_domains(usable.count())
    }

    /// Whether a host that is not in `tried` takes requests.
    #[must_use]
    pub fn has_untried(&self, tried: &[Name], now: Millis) -> bool {
        self.lock().values().any(|host| is_untried(host, tried, now))
    }

    /// Chooses the host that a request goes through, among those that are not in `tried`. The seed
    /// draws it.
    #[must_use]
    pub fn choose(&self, tried: &[Name], seed: u64, now: Millis) -> Option<Arc<Backend>> {
        let hosts = self.lock();
        let untried = hosts.values().filter(|host| is_untried(host, tried, now));
        let (mut near, mut far): (Vec<_>, Vec<_>) = untried.partition(|host| host.is_near);
        near.sort_unstable_by_key(|host| host.id_hash);
        far.sort_unstable_by_key(|host| host.id_hash);
        let loads = |hosts: &[&Arc<Backend>]| -> Vec<Load> {
            hosts.iter().map(|host| host.recent_requests(now)).collect()
        };
        match self.domain(&hosts).choose(&loads(&near), &loads(&far), seed)? {
            Choice::SameDomain(index) => Some(Arc::clone(near[index])),
            Choice::OtherDomain(index) => Some(Arc::clone(far[index])),
        }
    }

    fn domain(&self, hosts: &HashMap<Name, Arc<Backend>>) -> Domain {
        let serving = hosts.values().filter(|host| host.is_near).count();
        let neighbours = self.neighbours.load(Ordering::Relaxed);
        Domain { serving, isolated: 1 + neighbours.saturating_sub(serving) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Arc<Backend>>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_untried(host: &Backend, tried: &[Name], now: Millis) -> bool {
    !tried.contains(&host.id) && host.server.accepts_work(now)
}
