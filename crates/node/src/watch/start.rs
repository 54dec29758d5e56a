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

use super::{Tell, Watch};
use crate::exchange::{self, Given};
use crate::store::{Answer, List, News, Store};

/// Between two tellings that this host is reading all of a list. Several may be lost before the
/// others take it for gone.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Longest pause before a host that was busy, or one that it named, is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

impl<S: Store, C: Codec> Watch<S, C> {
    /// Reads all of a list, and tells the others meanwhile: those that start as well wait for it.
    pub(super) async fn read_whole(&self, list: List) -> Result<Answer, Error> {
        let mut answer = std::pin::pin!(self.store.read(list));
        loop {
            self.send_word(Tell::Reading(list));
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

    /// Takes all of a list from another host, or from one that this one names, until it has it or
    /// its turn has come to read it from the store. `changed` is the list's newest change that the
    /// other host told of, `fresh` when nothing newer was there.
    pub(super) async fn take_first(
        self: Arc<Self>,
        from: SocketAddr,
        list: List,
        changed: u64,
        fresh: Millis,
    ) {
        let follow = self.follow(list);
        let mut sources = vec![from];
        while !sources.is_empty() {
            let source = sources[rand::random_range(..sources.len())];
            follow.relay().taking(clock::steady());
            if !follow.relay().may_take(fresh, clock::steady()) {
                break;
            }
            match self.ask_whole(source, list).await {
                Given::Whole(news) if news.revision >= changed => {
                    self.take_whole(source, list, &news, fresh).await;
                    break;
                }
                Given::Busy(others) => {
                    let others = others.into_iter().filter(|other| Some(*other) != self.address);
                    sources.extend(others);
                    sources.sort_unstable();
                    sources.dedup();
                    tokio::time::sleep(BUSY_PAUSE.mul_f64(rand::random())).await;
                }
                Given::Whole(_) | Given::Nothing => sources.retain(|other| *other != source),
            }
        }
        follow.end_taking();
        if follow.revision().is_none() {
            log::info!(target: "watch", list:? = list, from:% = from; "list not had from a peer");
            follow.relay().force();
        }
        follow.wake();
    }

    /// All of a list from another host; nothing if it can't be had there.
    async fn ask_whole(&self, from: SocketAddr, list: List) -> Given {
        let Some(own) = self.address else { return Given::Nothing };
        let given = exchange::ask_whole(from, list, own).await;
        let outcome = match &given {
            Ok(Given::Whole(_)) => "answered",
            Ok(Given::Busy(_)) => "busy",
            Ok(Given::Nothing) => "nothing",
            Err(error) => error.label(),
        };
        metrics::counter!("node_relay_calls_total", "list" => list.name(), "outcome" => outcome)
            .increment(1);
        given.unwrap_or_else(|error| {
            log::info!(target: "watch", list:? = list, from:% = from, error:% = error;
                "list not given by a peer");
            Given::Nothing
        })
    }

    async fn take_whole(&self, from: SocketAddr, list: List, news: &News, fresh: Millis) {
        log::info!(target: "watch", list:? = list, from:% = from, revision = news.revision,
            count = news.entries.len(); "list taken from a peer");
        if !self.take(list, news) {
            return;
        }
        self.follow(list).relay().took(fresh);
        if list == List::Operators {
            self.take_records(from).await;
        }
    }
}
