//! How a host that starts comes by the lists: from the store, or from another host of its failure
//! domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use policy::time::Millis;
use wire::store::Error;

use super::{Notice, Watch};
use crate::store::{Answer, List, Store};

/// Between two tellings that this host is reading all of a list. Several may be lost before the
/// others take it for gone.
const TELL_EVERY: Duration = Duration::from_millis(100);

impl<S: Store, C: Codec> Watch<S, C> {
    /// Reads all of a list, and tells the others meanwhile: those that start as well wait for it.
    pub(super) async fn read_whole(&self, list: List) -> Result<Answer, Error> {
        let mut answer = std::pin::pin!(self.store.read(list));
        loop {
            self.notify(Notice::WholeRead(list));
            if let Ok(answer) = tokio::time::timeout(TELL_EVERY, &mut answer).await {
                return answer;
            }
        }
    }

    /// These other hosts of the failure domain are listed.
    pub fn found(&self, listed: &[Name]) {
        for follow in self.follows.iter() {
            follow.relay().found(listed.iter(), clock::steady());
            follow.wake();
        }
    }

    /// Lists of which this host knows nothing yet.
    #[must_use]
    pub fn lacking(&self) -> Vec<List> {
        let lacks = |list: &List| self.follow(*list).revision().is_none();
        List::ALL.into_iter().filter(lacks).collect()
    }

    /// Another host is reading all of a list.
    pub fn peer_reads(&self, peer: &Name, list: List) {
        self.follow(list).relay().reading(peer, clock::steady());
    }

    /// Takes all of a list from another host, until it is had or this host's turn has come to read
    /// it from the store. `changed` is the list's newest change that the other host announced,
    /// `fresh` when nothing newer was there.
    pub(super) async fn take_first(
        self: Arc<Self>,
        from: SocketAddr,
        list: List,
        changed: u64,
        fresh: Millis,
    ) {
        let relay = || self.follow(list).relay();
        let waits = || {
            relay().taking(clock::steady());
            relay().may_take(fresh, clock::steady())
        };
        let is_taken = self.take_from_others(from, list, 0, changed, waits).await;
        if is_taken {
            relay().took(fresh);
        }
        self.end_taking(list, is_taken);
    }
}
