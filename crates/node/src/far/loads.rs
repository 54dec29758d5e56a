//! Announces the loads of a failure domain's engines to hosts of other ones.

use entry::clock;
use gateway::State;
use gateway::far_loads::FarLoads;
use policy::name::Name;
use policy::place::hash;
use policy::report::far::fanout;
use rand::seq::IndexedRandom;

use super::{Hosts, Notices};
use crate::peers::message::Entry;

/// Sends the loads to random hosts of each failure domain.
pub(super) fn send<C>(
    state: &State<C>,
    (host, domain): (&Name, &Name),
    to: &[&Hosts],
    notices: &Notices,
) {
    if to.is_empty() {
        return;
    }
    let now = clock::steady();
    let (means, reports) = state.near_loads(now);
    for hosts in to {
        let fanout = fanout(hosts.addresses.len(), to.len());
        let loads = FarLoads {
            is_direct: true,
            domain: domain.clone(),
            from: hash(host.as_bytes()),
            at: now,
            means: means.clone(),
            engines: reports.iter().take(fanout.engines).copied().collect(),
        };
        for address in hosts.addresses.choose_multiple(&mut rand::rng(), fanout.receivers) {
            match notices.try_send((*address, Entry::FarLoads(loads.clone()))) {
                Ok(()) => metrics::counter!("node_far_loads_sent_total").increment(1),
                Err(_) => metrics::counter!("node_cache_notices_unsent_total").increment(1),
            }
        }
    }
}
