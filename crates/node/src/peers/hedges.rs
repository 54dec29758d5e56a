//! Reports on late requests and hedges, sent to random hosts of the failure domain.

use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::hedge::Pace;
use rand::seq::SliceRandom;

use super::Peers;
use super::message::Entry;
use crate::store::Store;

/// Interval of checks whether a report is due. A report names backend servers that were fast a moment
/// ago, which is of use for less than a second.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of a message around a report, with the headers of its datagram.
const MESSAGE_BYTES: usize = 140;

impl<S: Store, C: Codec> Peers<S, C> {
    /// Sends the reports that are due. Each is a message of its own: a host of an earlier version,
    /// which can't read it, loses nothing else.
    pub(super) async fn send_hedge_reports(&self, pace: &mut Pace) {
        let mut addresses = self.addresses();
        while pace.may_send(clock::steady()) {
            let Some(report) = self.state.next_hedge_report() else { return };
            let bytes = serde_json::to_vec(&report).map_or(0, |bytes| bytes.len());
            addresses.shuffle(&mut rand::rng());
            let receivers = pace.take(bytes + MESSAGE_BYTES, addresses.len());
            if receivers > 0 {
                metrics::counter!("node_hedge_reports_sent_total").increment(receivers as u64);
                self.send(addresses[..receivers].to_vec(), vec![Entry::Hedges(report)]).await;
            }
        }
    }
}
