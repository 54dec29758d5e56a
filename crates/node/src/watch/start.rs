//! How a host that starts reads a list of the store, and what others are sent meanwhile.

use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use wire::store::Error;

use super::{Notice, Watch};
use crate::peers::Found;
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
    pub fn found(&self, listed: &[Found]) {
        for follow in self.follows.iter() {
            let listed = listed.iter().map(|host| (&host.name, host.class));
            follow.relay().record_listed(listed, clock::steady());
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
        self.follow(list).relay().record_peer_reading(peer, clock::steady());
    }
}
