//! Reads a list for the first time, and coordinates this with peers that start as well.

use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use wire::store::Error;

use super::{Notice, Watch};
use crate::peers::ListedHost;
use crate::store::{Answer, List, Store};

/// Interval at which peers are told that this host is reading a whole list. Several messages may be
/// lost before the peers take it for gone.
const READING_NOTICE_INTERVAL: Duration = Duration::from_millis(100);

impl<S: Store, C: Codec> Watch<S, C> {
    /// Reads a whole list, and tells the peers meanwhile so that those that start as well wait for
    /// it.
    pub(super) async fn read_whole(&self, list: List) -> Result<Answer, Error> {
        let mut answer = std::pin::pin!(self.store.read(list));
        loop {
            self.notify(Notice::WholeRead(list));
            if let Ok(answer) = tokio::time::timeout(READING_NOTICE_INTERVAL, &mut answer).await {
                return answer;
            }
        }
    }

    /// Adds the peers that are listed in the store.
    pub fn set_listed_peers(&self, listed: &[ListedHost]) {
        for follower in self.followers.iter() {
            let listed = listed.iter().map(|host| (&host.name, host.class));
            follower.relay().record_listed(listed, clock::steady());
            follower.wake();
        }
    }

    /// Lists of which this host has no copy yet.
    #[must_use]
    pub fn unread_lists(&self) -> Vec<List> {
        let lacks = |list: &List| self.follower(*list).revision().is_none();
        List::ALL.into_iter().filter(lacks).collect()
    }

    /// Records that a peer is reading a whole list.
    pub fn record_peer_reading(&self, peer: &Name, list: List) {
        self.follower(list).relay().record_peer_reading(peer, clock::steady());
    }
}
