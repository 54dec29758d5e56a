//! How a host that starts reads a list of the store, and what others are sent meanwhile.

use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use wire::store::Error;

use super::{Notice, Watch};
use crate::peers::ListedHost;
use crate::store::{Answer, List, Store};

/// Between two tellings that this host is reading all of a list. Several may be lost before the
/// others take it for gone.
const READING_NOTICE_INTERVAL: Duration = Duration::from_millis(100);

impl<S: Store, C: Codec> Watch<S, C> {
    /// Reads all of a list, and tells the others meanwhile: those that start as well wait for it.
    pub(super) async fn read_whole(&self, list: List) -> Result<Answer, Error> {
        let mut answer = std::pin::pin!(self.store.read(list));
        loop {
            self.notify(Notice::WholeRead(list));
            if let Ok(answer) = tokio::time::timeout(READING_NOTICE_INTERVAL, &mut answer).await {
                return answer;
            }
        }
    }

    /// These other hosts of the failure domain are listed.
    pub fn set_listed_peers(&self, listed: &[ListedHost]) {
        for follower in self.followers.iter() {
            let listed = listed.iter().map(|host| (&host.name, host.class));
            follower.relay().found(listed, clock::steady());
            follower.wake();
        }
    }

    /// Lists of which this host knows nothing yet.
    #[must_use]
    pub fn unread_lists(&self) -> Vec<List> {
        let lacks = |list: &List| self.follower(*list).revision().is_none();
        List::ALL.into_iter().filter(lacks).collect()
    }

    /// Another host is reading all of a list.
    pub fn record_peer_reading(&self, peer: &Name, list: List) {
        self.follower(list).relay().reading(peer, clock::steady());
    }
}
