//! Spreads shards over the live controls of their failure domain, one small step at a time.

use std::sync::Arc;

use coordination::home::rank;
use policy::name::Name;
use policy::time::Millis;
use wire::host::List;

use crate::node::{host_of, now};
use crate::shards::Inner;
use crate::shards::cell::Cell;

/// A better owner must be the same for so many ticks, lest shards move with each missed message.
const STABLE_TICKS: u32 = 6;

/// How old the host list may be.
const HOSTS_MS: u64 = 1_000;

/// Who was the best owner lately.
#[derive(Default)]
pub struct Balance {
    best: Name,
    ticks: u32,
}

impl Inner {
    /// Live controls of a shard's failure domain, the best owner first.
    pub fn ideal(&self, cell: &Cell) -> Vec<Name> {
        let mut members = vec![(self.node.host().clone(), self.node.incarnation.clone())];
        if cell.home.failure_domain != *self.node.failure_domain() {
            members.clear();
        }
        let alive = self.node.peers.alive(now());
        let near = alive.into_iter().filter(|p| p.failure_domain == cell.home.failure_domain);
        members.extend(near.map(|peer| (peer.host, peer.incarnation)));
        let hosts: Vec<_> = members.iter().map(|(host, _)| host.clone()).collect();
        let ranked = rank(&cell.home.row_key(), &hosts);
        let found = ranked.iter().filter_map(|host| members.iter().find(|(h, _)| h == host));
        found.map(|(_, incarnation)| incarnation.clone()).collect()
    }

    /// As owner: a dead or distant deputy is replaced; a better owner becomes deputy, then owner.
    pub async fn balance(&self, cell: &Cell, balance: &mut Balance) {
        let Some(deputy) = cell.lock().owner().map(|owner| owner.deputy.clone()) else { return };
        let ideal = self.ideal(cell);
        let me = &self.node.incarnation;
        let best = ideal.first().unwrap_or(me).clone();
        balance.ticks = if balance.best == best { balance.ticks + 1 } else { 0 };
        balance.best = best.clone();
        let near = ideal.iter().find(|name| *name != me);
        // What can be improved can wait; in an outage each try would hold up the claims.
        if self.table.failed_lately() {
            return;
        }
        let others = self.candidates(cell, &deputy);
        match near {
            _ if !deputy.is_empty() && !self.is_alive(&deputy) => {
                self.replace_deputy(cell, others, true).await;
            }
            Some(near) if !ideal.contains(&deputy) => {
                self.replace_deputy(cell, vec![near.clone()], false).await;
            }
            None if deputy.is_empty() && !others.is_empty() => {
                self.replace_deputy(cell, others, false).await;
            }
            _ if best == *me || balance.ticks < STABLE_TICKS => {}
            _ if best == deputy => self.hand_over(cell).await,
            _ => _ = self.replace_deputy(cell, vec![best], false).await,
        }
    }

    /// Whether an incarnation is gone for good: its host is, or runs another one.
    pub async fn is_gone(&self, incarnation: &str) -> bool {
        let host = host_of(incarnation);
        if *incarnation == *self.node.incarnation {
            return false;
        }
        if host == *self.node.host() {
            return true;
        }
        let peer = self.node.peers.get(&host);
        let other = |peer: &crate::peers::Member| {
            !peer.incarnation.is_empty() && *peer.incarnation != *incarnation
        };
        peer.is_some_and(|peer| other(&peer)) || self.is_listed_gone(&host).await
    }

    /// The host list, read at most once in a while for all shards together.
    async fn hosts(&self) -> Option<Arc<List>> {
        let mut hosts = self.hosts.lock().await;
        if hosts.0 == Millis(0) || now().since(hosts.0) > HOSTS_MS {
            let list = self.node.store.hosts().await.ok();
            *hosts = (now(), list.map(Arc::new));
        }
        hosts.1.clone()
    }

    /// A host that has left the list is long gone, provided that the list has controls at all.
    async fn is_listed_gone(&self, host: &Name) -> bool {
        let Some(list) = self.hosts().await else { return false };
        match list.hosts.iter().find(|line| line.name == *host) {
            Some(line) => line.state == wire::host::HostState::Gone,
            None => list.hosts.iter().any(|line| line.name == *self.node.host()),
        }
    }
}
