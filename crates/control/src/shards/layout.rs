//! Which failure domains keys are spread over: agreed once, through the platform.

use std::collections::BTreeSet;
use std::sync::Arc;

use coordination::home::{Home, Layout};
use wire::host::Role;

use crate::node::now;
use crate::shards::{CALL, Inner, REFRESH, TICK};
use crate::store::Error;

/// How often it is looked whether all known peers have been heard from, before starting without.
const MEET_TRIES: u32 = 20;

/// Settles the layout, starts the shards of the own failure domain, then keeps reading the table.
pub async fn run(inner: Arc<Inner>) {
    while inner.table.layout().is_none() {
        if let Err(error) = inner.settle().await {
            log::info!("shards: no layout yet: {error}");
            inner.ask_peers().await;
        }
        tokio::time::sleep(TICK / 5).await;
    }
    inner.meet_peers().await;
    let layout = inner.table.layout().unwrap_or_default();
    for shard in 0..layout.shards {
        let failure_domain = inner.node.failure_domain().clone();
        if layout.failure_domains.contains(&failure_domain) {
            inner.cell(&Home { failure_domain, shard });
        }
    }
    loop {
        // Rows change only through the platform, so in an outage what peers last read is as good.
        if inner.table.refresh().await.is_err() {
            inner.ask_peers().await;
        }
        tokio::time::sleep(REFRESH).await;
    }
}

impl Inner {
    /// Learns from peers what the platform can't be asked: who starts in an outage can then still
    /// lead claims to their homes.
    async fn ask_peers(&self) {
        for peer in self.node.peers.alive(now()) {
            let asked = peer.link.call(CALL, async |client, context| client.shards(context).await);
            if let Ok(known) = asked.await {
                self.table.learn_all(known);
            }
        }
    }

    /// Waits a moment for a peer to be heard from: who takes shards before that has no deputy.
    async fn meet_peers(&self) {
        for _ in 0..MEET_TRIES {
            if self.node.peers.alive(now()).len() == self.node.peers.len() {
                return;
            }
            tokio::time::sleep(TICK / 5).await;
        }
    }

    async fn settle(&self) -> Result<(), Error> {
        let list = self.node.store.hosts().await?;
        let mut failure_domains = BTreeSet::from([self.node.failure_domain().clone()]);
        failure_domains.extend(self.node.peers.all().into_iter().map(|peer| peer.failure_domain));
        let controls = list.hosts.into_iter().filter(|host| host.role == Role::Control);
        failure_domains.extend(controls.map(|host| host.failure_domain));
        let layout = Layout {
            failure_domains: failure_domains.into_iter().collect(),
            shards: self.node.settings.shards,
        };
        self.table.settle_layout(&layout).await?;
        self.table.refresh().await
    }
}
