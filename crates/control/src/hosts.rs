//! The platform's list of hosts, as new as this control could get it.
//!
//! A list is replaced only by one made later: reads of a lagging service can go backwards, and a
//! leaving backend server must not come back for it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use log::warn;
use policy::name::Name;
use policy::revision::Revision;
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use wire::host::{HostState, List, Role};

use crate::node::Node;
use crate::peers::Source;
use crate::store;

/// A list and the hash of its hosts.
#[derive(Default)]
pub struct Hosts {
    /// The list.
    pub list: List,
    /// Of the hosts alone, so that a new list that says the same is no news.
    pub hash: u64,
}

/// The controller.
pub struct Controller {
    node: Arc<Node>,
    hosts: watch::Sender<Arc<Hosts>>,
}

impl Controller {
    /// No list yet.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        let (hosts, _) = watch::channel(Arc::default());
        Self { node, hosts }
    }

    /// The list.
    #[must_use]
    pub fn hosts(&self) -> Arc<Hosts> {
        self.hosts.borrow().clone()
    }

    /// Wakes when hosts differ.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<Hosts>> {
        self.hosts.subscribe()
    }

    /// Reads the platform once.
    ///
    /// # Errors
    /// When it gives no answer; the list held stays.
    pub async fn poll(&self) -> Result<(), store::Error> {
        let list = self.node.store.hosts().await?;
        self.take(list);
        Ok(())
    }

    /// Takes a list if it was made later than the one held.
    pub fn take(&self, list: List) {
        let hash = hash(&list);
        let changed = self.hosts.send_if_modified(|now| {
            if list.revision <= now.list.revision {
                return false;
            }
            let changed = hash != now.hash;
            *now = Arc::new(Hosts { list, hash });
            changed
        });
        if changed {
            self.learn();
        }
    }

    fn learn(&self) {
        for host in self.hosts().list.hosts.iter().filter(|host| host.role == Role::Control) {
            match (host.state, host.address.parse::<SocketAddr>()) {
                (HostState::Gone, _) => self.node.peers.forget(&host.name),
                (_, Ok(address)) => {
                    self.node.peers.learn(
                        Source::HostList,
                        &host.name,
                        &host.failure_domain,
                        address,
                    );
                }
                (_, Err(error)) => warn!("hosts: {}: {error}", host.name),
            }
        }
    }

    /// Entry hosts that are not gone; at least 1, the asking one.
    #[must_use]
    pub fn entries(&self) -> u32 {
        let hosts = self.hosts();
        let entries = hosts
            .list
            .hosts
            .iter()
            .filter(|host| host.role == Role::Entry && host.state != HostState::Gone);
        u32::try_from(entries.count()).unwrap_or(u32::MAX).max(1)
    }

    /// Names of our own hosts that a generation must reach.
    #[must_use]
    pub fn ours(&self) -> Vec<Name> {
        let hosts = self.hosts();
        let ours = hosts.list.hosts.iter().filter(|host| {
            matches!(host.role, Role::Entry | Role::Control) && host.state == HostState::Live
        });
        ours.map(|host| host.name.clone()).collect()
    }

    /// Whether the list says anything of controls.
    #[must_use]
    pub fn lists_controls(&self) -> bool {
        self.hosts().list.hosts.iter().any(|host| host.role == Role::Control)
    }

    /// Names of live hosts that run entry.
    #[must_use]
    pub fn entry_hosts(&self) -> BTreeSet<Name> {
        let hosts = self.hosts();
        let entries = hosts
            .list
            .hosts
            .iter()
            .filter(|host| host.role == Role::Entry && host.state == HostState::Live);
        entries.map(|host| host.name.clone()).collect()
    }

    /// The store's revision that the list held is as of.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.hosts.borrow().list.revision
    }
}

fn hash(list: &List) -> u64 {
    let bytes = serde_json::to_vec(&list.hosts).unwrap_or_default();
    short_hash(&bytes)
}

/// The first 8 bytes of a SHA-256.
#[must_use]
pub fn short_hash(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest.iter().take(8).fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
}
