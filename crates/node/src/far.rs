//! Announces to hosts of other failure domains which shared parts of prompts engines have cached.
//!
//! For each other failure domain one host sends the announcements: the first in the order of hosts
//! for that domain's name, among those that it believes to be alive. It receives all notices that the
//! hosts of its own failure domain send each other. It sends to random hosts of the other one, which
//! pass on what they get. Two hosts that announce, or none for a while, cost only messages and
//! prefills.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::{Codec, State};
use policy::name::Name;
use policy::place::hash;
use policy::prefix::far::{FarPart, parts_max, parts_per_second_max};
use policy::time::Millis;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use wire::settings;

use crate::peers::find::read_hosts;
use crate::peers::message::FarNotice;
use crate::store::Store;
use crate::watch::Watch;

/// Interval of messages to other failure domains.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a host must come first in the order before it reads the other hosts and announces.
/// A host that starts does not yet know the others of its failure domain, and would read the store in
/// vain.
const SETTLE_MS: u64 = 3_000;
/// Shortest and longest time until the hosts of another failure domain are read again from the store;
/// it doubles with each read. Hosts that start together are listed one after another.
const READ_INTERVAL_MS: u64 = 5_000;
const READ_INTERVAL_MAX_MS: u64 = 80_000;

/// The hosts of another failure domain.
struct Hosts {
    addresses: Vec<SocketAddr>,
    reads: u32,
    next_read_at: Millis,
}

/// Sends announcements to other failure domains while the settings ask for it, until the process ends.
pub async fn announce<S: Store, C: Codec>(
    settings: settings::Node,
    watch: Arc<Watch<S, C>>,
    notices: mpsc::Sender<(SocketAddr, FarNotice)>,
) {
    let mut domains = settings.failure_domains.clone();
    domains.retain(|domain| *domain != settings.failure_domain);
    let mut known: HashMap<Name, Hosts> = HashMap::new();
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let assigned = assigned(&watch, &domains);
        set_announces_far(&watch.state, !assigned.is_empty());
        known.retain(|domain, _| assigned.contains(&domain));
        for domain in assigned {
            let unread = || Hosts {
                addresses: Vec::new(),
                reads: 0,
                next_read_at: clock::steady() + SETTLE_MS,
            };
            refresh(&watch, domain, known.entry(domain.clone()).or_insert_with(unread)).await;
        }
        let hosts = known.values().filter(|hosts| !hosts.addresses.is_empty());
        let hosts: Vec<&Hosts> = hosts.collect();
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

/// The failure domains to which this host has to announce.
fn assigned<'a, S: Store, C: Codec>(watch: &Watch<S, C>, domains: &'a [Name]) -> Vec<&'a Name> {
    let placement = **watch.state.placement.load();
    let peers = watch.state.peers.load();
    let is_on = placement.far && placement.fetch && watch.state.prefixes.is_on();
    let Some(peers) = peers.as_ref().as_ref().filter(|_| is_on) else { return Vec::new() };
    let is_first = |domain: &&Name| peers.count_before(hash(domain.as_bytes())) == 0;
    domains.iter().filter(is_first).collect()
}

/// Reads the hosts of a failure domain if it is time to. What was known stays if the store does not
/// answer.
async fn refresh<S: Store, C: Codec>(watch: &Watch<S, C>, domain: &Name, hosts: &mut Hosts) {
    let now = clock::steady();
    if now < hosts.next_read_at {
        return;
    }
    hosts.next_read_at = now + READ_INTERVAL_MS;
    match read_hosts(&*watch.store, domain).await {
        Ok(found) => {
            log::info!(target: "caches", domain:% = domain, listed = found.len();
                "hosts of another failure domain are told of cached parts");
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
fn send(
    notices: &mpsc::Sender<(SocketAddr, FarNotice)>,
    addresses: &[SocketAddr],
    parts: &[FarPart],
) {
    for parts in parts.chunks(parts_max(addresses.len())) {
        let Some(to) = addresses.choose(&mut rand::rng()) else { return };
        let notice = FarNotice { is_direct: true, parts: parts.to_vec() };
        if notices.try_send((*to, notice)).is_err() {
            metrics::counter!("node_cache_notices_unsent_total").increment(1);
        }
    }
}
