//! Announces to hosts of other failure domains which shared parts of prompts engines have cached, and
//! the loads of the engines.
//!
//! For each other failure domain one host sends the announcements: the first in the order of hosts
//! for that domain's name, among those that it believes to be alive. It receives all notices that the
//! hosts of its own failure domain send each other. It sends to random hosts of the other one, which
//! pass on what they get. Two hosts that announce, or none for a while, cost only messages, prefills
//! and less even loads.

mod loads;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::{Codec, State};
use policy::name::Name;
use policy::place::hash;
use policy::prefix::far::{FarPart, parts_max, parts_per_second_max};
use policy::report::far::INTERVAL_MS;
use policy::time::Millis;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::task::AbortOnDropHandle;
use wire::settings;
use wire::store::Error;

use crate::peers::find::{ListedHost, read_hosts};
use crate::peers::message::{Entry, FarNotice};
use crate::store::Store;
use crate::watch::Watch;

/// Interval of messages about loads to other failure domains. Those about cached parts are sent at
/// every second time.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(INTERVAL_MS);
/// Time for which a host must come first in the order before it reads the other hosts and announces.
/// A host that starts does not yet know the others of its failure domain, and would read the store in
/// vain.
const SETTLE_MS: u64 = 3_000;
/// Shortest and longest time until the hosts of another failure domain are read again from the store;
/// it doubles with each read. Hosts that start together are listed one after another.
const READ_INTERVAL_MS: u64 = 5_000;
const READ_INTERVAL_MAX_MS: u64 = 80_000;

/// Queue of messages to hosts of other failure domains.
pub type Notices = mpsc::Sender<(SocketAddr, Entry)>;

/// The hosts of another failure domain.
struct Hosts {
    addresses: Vec<SocketAddr>,
    reads: u32,
    next_read_at: Millis,
    /// The call of the store that has not been answered yet.
    reading: Option<AbortOnDropHandle<Result<Vec<ListedHost>, Error>>>,
}

/// Sends announcements to other failure domains while the settings ask for it, until the process ends.
pub async fn announce<S: Store, C: Codec>(
    settings: settings::Node,
    watch: Arc<Watch<S, C>>,
    notices: Notices,
) {
    let mut domains = settings.failure_domains.clone();
    domains.retain(|domain| *domain != settings.failure_domain);
    let mut known: HashMap<Name, Hosts> = HashMap::new();
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut announces_loads, mut ticks) = (false, 0_u64);
    loop {
        interval.tick().await;
        ticks += 1;
        let scope = Scope::of(&watch);
        let Scope { mut parts, loads } = scope;
        let is_between = ticks % 2 == 0;
        if is_between && !loads {
            continue;
        }
        let assigned = if parts || loads { assigned(&watch, &domains) } else { Vec::new() };
        parts &= !assigned.is_empty();
        set_announces_far(&watch.state, parts);
        if announces_loads != (loads && !assigned.is_empty()) {
            announces_loads = !announces_loads;
            log::info!(target: "loads", announces = announces_loads, domains = assigned.len();
                "this host begins or stops to announce loads to other failure domains");
        }
        known.retain(|domain, _| assigned.contains(&domain));
        for domain in assigned {
            let unread = || Hosts {
                addresses: Vec::new(),
                reads: 0,
                next_read_at: clock::steady() + SETTLE_MS,
                reading: None,
            };
            let hosts = known.entry(domain.clone()).or_insert_with(unread);
            refresh(&watch, domain, hosts, scope).await;
        }
        let hosts = known.values().filter(|hosts| !hosts.addresses.is_empty());
        let hosts: Vec<&Hosts> = hosts.collect();
        if announces_loads {
            let own = (&settings.name, &settings.failure_domain);
            loads::send(&watch.state, own, &hosts, &notices);
        }
        if !parts || is_between {
            continue;
        }
        let max = hosts.iter().map(|hosts| parts_per_second_max(hosts.addresses.len())).min();
        let Some(max) = max else { continue };
        let parts = watch.state.prefixes.take_outgoing((max / hosts.len()).max(1));
        metrics::counter!("node_far_parts_sent_total").increment(parts.len() as u64);
        hosts.iter().for_each(|hosts| send(&notices, &hosts.addresses, &parts));
    }
}

fn set_announces_far<C: Codec>(state: &State<C>, announces_far: bool) {
    let near = || {
        let snapshot = state.snapshot.load();
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        backends.filter(|backend| backend.is_near).map(|backend| backend.start).collect()
    };
    state.prefixes.set_announces_far(announces_far, near, clock::steady());
}

/// What the settings ask hosts to announce to other failure domains.
#[derive(Clone, Copy)]
struct Scope {
    parts: bool,
    loads: bool,
}

impl Scope {
    fn of<S: Store, C: Codec>(watch: &Watch<S, C>) -> Self {
        let placement = **watch.state.placement.load();
        let parts = placement.far && placement.fetch && watch.state.prefixes.is_on();
        Self { parts, loads: placement.loads && placement.far_loads }
    }
}

/// The failure domains to which this host has to announce.
fn assigned<'a, S: Store, C: Codec>(watch: &Watch<S, C>, domains: &'a [Name]) -> Vec<&'a Name> {
    let peers = watch.state.peers.load();
    let Some(peers) = peers.as_ref().as_ref() else { return Vec::new() };
    let is_first = |domain: &&Name| peers.count_before(hash(domain.as_bytes())) == 0;
    domains.iter().filter(is_first).collect()
}

/// Reads the hosts of a failure domain if it is time to. What was known stays if the store does not
/// answer. Loads are announced meanwhile: they lose their use within seconds.
async fn refresh<S: Store, C: Codec>(
    watch: &Arc<Watch<S, C>>,
    domain: &Name,
    hosts: &mut Hosts,
    scope: Scope,
) {
    let now = clock::steady();
    if hosts.reading.is_none() && now >= hosts.next_read_at {
        hosts.next_read_at = now + READ_INTERVAL_MS;
        let (store, domain) = (Arc::clone(&watch.store), domain.clone());
        let read = tokio::spawn(async move { read_hosts(&*store, &domain).await });
        hosts.reading = Some(AbortOnDropHandle::new(read));
    }
    // Without loads there is nothing to send meanwhile.
    let may_take = |reading: &mut AbortOnDropHandle<_>| !scope.loads || reading.is_finished();
    let Some(reading) = hosts.reading.take_if(may_take) else { return };
    let Ok(read) = reading.await else { return };
    match read {
        Ok(found) => {
            let told = if scope.parts { "cached parts" } else { "loads" };
            log::info!(target: "caches", domain:% = domain, listed = found.len();
                "hosts of another failure domain are told of {told}");
            hosts.addresses = found.into_iter().map(|host| host.address).collect();
            let is_empty = hosts.addresses.is_empty();
            hosts.reads = if is_empty { 0 } else { hosts.reads.saturating_add(1) };
            let doubled = READ_INTERVAL_MS << hosts.reads.min(8);
            hosts.next_read_at = now + doubled.min(READ_INTERVAL_MAX_MS);
        }
        Err(error) => log::warn!(target: "caches", domain:% = domain, error:% = error;
            "hosts of another failure domain can't be read from the store"),
    }
}

/// Sends parts in messages that random hosts can pass on within their bound.
fn send(notices: &Notices, addresses: &[SocketAddr], parts: &[FarPart]) {
    for parts in parts.chunks(parts_max(addresses.len())) {
        let Some(to) = addresses.choose(&mut rand::rng()) else { return };
        let notice = Entry::Far(FarNotice { is_direct: true, parts: parts.to_vec() });
        if notices.try_send((*to, notice)).is_err() {
            metrics::counter!("node_cache_notices_unsent_total").increment(1);
        }
    }
}
