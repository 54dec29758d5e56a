//! Changes too long for one message, and whole lists, taken from other hosts in pieces.
//!
//! Those that were given them pass them on, so that one host's link is not filled by all of its
//! failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::Codec;

use super::Watch;
use crate::exchange::{self, Given};
use crate::store::{List, News, Store};

/// Longest time until a host is found that gives what is lacking, in milliseconds. Past it the store
/// is asked: work must not go to a leaving server for much longer than this.
const FIND_MS: u64 = 1_000;
/// Longest pause before a host that was busy, or one that it named, is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

impl<S: Store, C: Codec> Watch<S, C> {
    /// Takes changes behind a revision, at `least` up to another one and however long they are, or
    /// asks the store.
    pub(super) async fn take_long(
        self: &Arc<Self>,
        from: SocketAddr,
        list: List,
        after: u64,
        least: u64,
    ) {
        let until = clock::steady() + FIND_MS;
        let waits = || clock::steady() < until;
        let is_taken = self.take_from_others(from, list, after, least, waits).await;
        self.end_taking(list, is_taken);
    }

    /// What another host has was taken, or is to be had from the store.
    pub(super) fn end_taking(&self, list: List, is_taken: bool) {
        let follow = self.follow(list);
        follow.end_taking();
        if !is_taken {
            log::info!(target: "watch", list:? = list; "news not had from peers");
            follow.relay().force();
        }
        follow.wake();
    }

    /// Takes what this host lacks from another one, or from those that a busy one names; false if
    /// nobody gave it, at `least` up to a revision, while this host waits. One that a busy host has
    /// named may not have the newest change itself.
    pub(super) async fn take_from_others(
        &self,
        from: SocketAddr,
        list: List,
        after: u64,
        least: u64,
        waits: impl Fn() -> bool,
    ) -> bool {
        let mut sources = vec![from];
        while waits() && !sources.is_empty() {
            let source = sources[rand::random_range(..sources.len())];
            match self.ask_given(source, list, after).await {
                Given::News(news) if news.revision >= least => {
                    log::info!(target: "watch", list:? = list, from:% = source, after,
                        revision = news.revision, count = news.entries.len();
                        "news taken from a peer");
                    return self.take_given(source, list, &news).await;
                }
                Given::Busy(others) => {
                    let others = others.into_iter().filter(|other| Some(*other) != self.address);
                    sources.extend(others);
                    sources.sort_unstable();
                    sources.dedup();
                    tokio::time::sleep(BUSY_PAUSE.mul_f64(rand::random())).await;
                }
                Given::News(_) | Given::Nothing => sources.retain(|other| *other != source),
            }
        }
        false
    }

    /// What another host has to give; nothing if it can't be reached.
    async fn ask_given(&self, from: SocketAddr, list: List, after: u64) -> Given {
        let Some(own) = self.address else { return Given::Nothing };
        let given = exchange::ask_given(from, list, after, own).await;
        let outcome = match &given {
            Ok(Given::News(_)) => "answered",
            Ok(Given::Busy(_)) => "busy",
            Ok(Given::Nothing) => "nothing",
            Err(error) => error.label(),
        };
        metrics::counter!("node_relay_calls_total", "list" => list.name(), "outcome" => outcome)
            .increment(1);
        given.unwrap_or_else(|error| {
            log::info!(target: "watch", list:? = list, from:% = from, error:% = error;
                "news not given by a peer");
            Given::Nothing
        })
    }

    async fn take_given(&self, from: SocketAddr, list: List, news: &News) -> bool {
        let is_taken = self.take(list, news);
        if is_taken && news.is_whole && list == List::Operators {
            self.take_records(from).await;
        }
        is_taken
    }
}
