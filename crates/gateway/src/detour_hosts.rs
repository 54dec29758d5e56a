//! Other hosts that a request may go by when its own host reaches no backend server.

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

/// Hosts that pass on requests of others, by name.
#[derive(Default)]
pub struct DetourHosts {
    hosts: Mutex<HashMap<Name, Arc<Backend>>>,
    /// Other hosts of this failure domain, those that are cut off among them.
    neighbours: AtomicUsize,
    /// Wakes whoever finds more of them.
    pub wanted: Notify,
}

impl DetourHosts {
    /// A host passes requests on that come to an address.
    pub fn add(&self, name: &Name, address: SocketAddr, failure_domain: &Name, is_near: bool) {
        let mut hosts = self.lock();
        match hosts.get(name) {
            // Whatever it failed before, it lives.
            Some(known) if known.server.address == address => {
                known.server.note_success(clock::steady());
            }
            _ => {
                let host = Backend::host(name.clone(), address, failure_domain.clone(), is_near);
                hosts.insert(name.clone(), Arc::new(host));
            }
        }
    }

    /// A host passes on nothing now.
    pub fn remove(&self, name: &Name) {
        self.lock().remove(name);
    }

    /// Forgets the hosts of this failure domain that are not among these.
    pub fn retain_near(&self, is_there: impl Fn(&Name) -> bool) {
        self.lock().retain(|name, host| !host.is_near || is_there(name));
    }

    /// This failure domain has so many other hosts, those that are cut off among them.
    pub fn set_neighbours(&self, count: usize) {
        self.neighbours.store(count, Ordering::Relaxed);
    }

    /// Whether hosts of other failure domains are to be found.
    #[must_use]
    pub fn wants_far(&self, now: Millis) -> bool {
        let hosts = self.lock();
        let usable = hosts.values().filter(|host| !host.is_near && host.server.takes_work(now));
        self.domain(&hosts).wants_far(usable.count())
    }

    /// Whether one takes requests that is not among those tried.
    #[must_use]
    pub fn has_untried(&self, tried: &[Name], now: Millis) -> bool {
        self.lock().values().any(|host| is_untried(host, tried, now))
    }

    /// The host that a request goes by which was not sent by those tried; a seed draws it.
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
            Choice::Near(index) => Some(Arc::clone(near[index])),
            Choice::Far(index) => Some(Arc::clone(far[index])),
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
    !tried.contains(&host.id) && host.server.takes_work(now)
}
