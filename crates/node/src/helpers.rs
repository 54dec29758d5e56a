//! Finds hosts of other failure domains that take requests of this one, when it reaches no backend server.
//!
//! The store is asked only then: what changes in other domains does not concern a host as long as it
//! serves by its own links, and to follow it would take calls that grow with the hosts.

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

use crate::peers::find::{Found, listed};
use crate::store::Store;
use crate::watch::Watch;

/// Hosts of one failure domain that are asked whether they are there; rows of some that are gone stay
/// listed.
const ASKED: usize = 8;
/// Between two rounds: hosts that were cut off when they were asked may serve again.
const ROUND_EVERY: Duration = Duration::from_secs(2);

/// Finds them until the process ends.
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
            add(&watch, domain).await;
        }
        tokio::time::sleep(ROUND_EVERY).await;
    }
}

/// Adds some hosts of a failure domain that answer.
async fn add<S: Store, C: Codec>(watch: &Watch<S, C>, domain: &Name) {
    let found = match listed(&*watch.store, domain).await {
        Ok(found) => found,
        Err(error) => {
            log::warn!(target: "peers", domain:% = domain, error:% = error; "hosts not found");
            return;
        }
    };
    let drawn = sample::draw(found.len(), ASKED, rand::random());
    let added = join_all(drawn.map(|index| try_add(&watch.state, &found[index], domain))).await;
    let added = added.into_iter().filter(|added| *added).count();
    log::info!(target: "peers", domain:% = domain, listed = found.len(), added;
        "hosts of another failure domain found");
}

/// Adds a host if it answers; whether it does.
async fn try_add<C: Codec>(state: &State<C>, found: &Found, domain: &Name) -> bool {
    let Some(address) = found.forward else { return false };
    let host = Backend::host(found.name.clone(), address, domain.clone(), false);
    let answers = host.accepts_connections().await;
    if answers {
        state.detour_hosts.add(&found.name, address, domain, false);
    }
    answers
}
