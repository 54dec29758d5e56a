//! Times of another machine's clock on this host's clock.
//!
//! Both clocks only go forward, and nothing is known of their difference but what messages show: a
//! message that was sent at one time of the other clock has arrived by a time of this one. The
//! message with the shortest delay gives the closest bound, so a host that was without processor
//! time, and reads its messages late, still knows when they were sent.

use crate::time::Millis;

/// For how long a message's delay is used, at least, in milliseconds. Two clocks drift apart by a
/// few milliseconds in that time.
const WINDOW_MS: u64 = 60_000;

/// What this host knows of another machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    /// The least difference in this window and in the one before.
    least: [Option<i64>; 2],
    window_began_at: Millis,
}

impl RemoteClock {
    /// Records a message that was sent when the other clock showed `remote_ms`, and had been
    /// received at `now`.
    pub fn record(&mut self, remote_ms: u64, now: Millis) {
        if now.since(self.window_began_at) >= WINDOW_MS {
            self.least = [None, self.least[0]];
            self.window_began_at = now;
        }
        let difference = to_signed(now.0) - to_signed(remote_ms);
        let least = self.least[0].map_or(difference, |least| least.min(difference));
        self.least[0] = Some(least);
    }

    /// The time on this host's clock at which the other clock showed `remote_ms`, at the latest;
    /// none before the first message.
    #[must_use]
    pub fn local(&self, remote_ms: u64) -> Option<Millis> {
        let least = self.least.iter().flatten().min()?;
        Some(Millis(u64::try_from(to_signed(remote_ms) + least).unwrap_or_default()))
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
