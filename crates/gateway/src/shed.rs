//! Closes new connections unread while this host can't keep up, or has no room for more; see
//! [`policy::overload`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use policy::overload::{Overload, TICK};
use policy::time::Millis;
use tokio_util::task::TaskTracker;

use crate::state::State;

/// One connection is taken after so long in any case, in milliseconds: callers that meet a host which says
/// that it is ready, and closes each of them, would not find out that it is well again.
const ACCEPT_INTERVAL_MS: u64 = 250;

/// What new connections are taken by.
#[derive(Debug)]
pub struct Shedder {
    /// Connections that are open.
    pub connections: TaskTracker,
    connections_max: usize,
    /// The bits of the part that is closed.
    closed_share_bits: AtomicU64,
    /// When one was last taken while some are closed, in milliseconds.
    accepted_at: AtomicU64,
}

impl Shedder {
    /// With so many connections at most.
    #[must_use]
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections: TaskTracker::new(),
            connections_max,
            closed_share_bits: AtomicU64::new(0.0_f64.to_bits()),
            accepted_at: AtomicU64::default(),
        }
    }

    /// Whether there is no room for one more; then the host is not ready for new ones.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.connections_max
    }

    /// Whether a new connection is taken.
    #[must_use]
    pub fn accepts(&self, now: Millis) -> bool {
        let closed = f64::from_bits(self.closed_share_bits.load(Ordering::Relaxed));
        if closed == 0.0 || self.is_full() {
            return !self.is_full();
        }
        let accepted_at = Millis(self.accepted_at.load(Ordering::Relaxed));
        let accepts =
            now.since(accepted_at) >= ACCEPT_INTERVAL_MS || rand::random::<f64>() >= closed;
        if accepts {
            self.accepted_at.store(now.0, Ordering::Relaxed);
        }
        accepts
    }
}

impl<C> State<C> {
    /// Follows how late this process comes to what is due, until the process ends.
    pub async fn follow_delay(self: Arc<Self>, standing_ms: f64) {
        let mut overload = Overload::new(standing_ms);
        loop {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due.into()).await;
            let late_ms = due.elapsed().as_secs_f64() * 1_000.0;
            let has_turned = overload.tick(late_ms);
            self.shed.closed_share_bits.store(overload.closed().to_bits(), Ordering::Relaxed);
            if has_turned {
                let closed = overload.closed();
                metrics::gauge!("gateway_connections_closed_part").set(closed);
                log::info!(target: "route", late_ms, closed, open = self.shed.connections.len();
                    "new connections closed unread or no longer");
            }
        }
    }
}
