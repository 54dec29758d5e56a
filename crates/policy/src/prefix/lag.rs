//! How late a host's messages arrive.

use crate::time::Millis;

/// Longest delay of a message that is believed. A greater difference means that the host has
/// restarted, so that its clock has begun anew.
const DELAY_MAX_MS: i64 = 10_000;
/// Time in which two clocks may drift apart by a millisecond.
const DRIFT_MS: u64 = 1_000;

/// The delay of messages from one host. Its clock shows another time than the receiver's; messages
/// arrive late by as much as the difference exceeds the least one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The least difference of the clocks, and when it was last adjusted.
    least: Option<(i64, Millis)>,
}

impl Lag {
    /// Records a message that was sent at `sent` by the host's clock. Returns its delay beyond the
    /// usual one, in milliseconds.
    pub fn record(&mut self, sent: Millis, received: Millis) -> u64 {
        let difference = (received.0 as i64).wrapping_sub(sent.0 as i64);
        let least = self.least.map(|(least, at)| {
            least.saturating_add((received.since(at) / DRIFT_MS) as i64).min(difference)
        });
        let least = least.filter(|least| difference.saturating_sub(*least) <= DELAY_MAX_MS);
        let is_moved = self.least.is_none_or(|(known, _)| least != Some(known));
        let least = least.unwrap_or(difference);
        if is_moved {
            self.least = Some((least, received));
        }
        difference.saturating_sub(least).unsigned_abs()
    }
}
