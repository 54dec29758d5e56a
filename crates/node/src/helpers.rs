//! Finds hosts of other failure domains that take this host's requests when it reaches no backend
//! server.
//!
//! The store is asked only in that state. As long as a host serves by its own links, changes in
//! other failure domains don't concern it, and following them would cost calls that grow with the
//! number of hosts.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use futures::future::join_all;
use gateway::backend::Backend;
use gateway::{Codec, State};
use policy::name::Name;
use policy::sample;
use rand::seq::SliceRandom;
use wire::settings;

use crate::peers::find::{ListedHost, read_hosts};
use crate::store::Store;
use crate::watch::Watch;

/// Hosts of one failure domain that are probed in a round. Several, because rows of hosts that are
/// gone stay listed.
const PROBED_COUNT: usize = 8;
/// Pause between two rounds of probes: hosts that were cut off in the last round may serve again.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Searches for such hosts whenever this host needs them; runs until the process ends.
pub async fn find<S: Store, C: Codec>(settings: settings::Node, watch: Arc<Watch<S, C>>) {
    let state = &watch.state;
    let mut isolated = state.reach.watch();
    loop {
        tokio::select! {
            () = state.detour_hosts.wanted.notified() => {}
            Ok(_) = isolated.wait_for(|isolated| *isolated) => {}
        }
        let mut domains = settings.failure_domains.clone();
        domains.retain(|domain| *domain != settings.failure_domain);
        domains.shuffle(&mut rand::rng());
        for domain in &domains {
            if !state.detour_hosts.wants_far(clock::steady()) {
                break;
            }
            add_hosts(&watch, domain).await;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Probes a random sample of a failure domain's hosts and adds those that answer.
async fn add_hosts<S: Store, C: Codec>(watch: &Watch<S, C>, domain: &Name) {
    let found = match read_hosts(&*watch.store, domain).await {
        Ok(found) => found,
        Err(error) => {
            log::warn!(target: "peers", domain:% = domain, error:% = error;
                "hosts of another failure domain can't be read from the store");
            return;
        }
    };
    let indices = sample::draw(found.len(), PROBED_COUNT, rand::random());
    let added =
        join_all(indices.map(|index| probe_and_add(&watch.state, &found[index], domain))).await;
    let added = added.into_iter().filter(|added| *added).count();
    log::info!(target: "peers", domain:% = domain, listed = found.len(), added;
        "hosts of another failure domain found");
}

/// Adds a host if it accepts a connection. Returns whether it does.
async fn probe_and_add<C: Codec>(state: &State<C>, found: &ListedHost, domain: &Name) -> bool {
    let Some(address) = found.forward else { return false };
    let host = Backend::host(found.name.clone(), address, domain.clone(), false);
    let answers = host.accepts_connections().await;
    if answers {
        state.detour_hosts.add(&found.name, address, domain, false);
    }
    answers
}
