//! Closes new connections unread while this host can't keep up, or has no room for more; see
//! [`policy::overload`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use policy::overload::{Overload, SAMPLE_INTERVAL};
use policy::time::Millis;
use tokio_util::task::TaskTracker;

use crate::state::State;

/// One connection is taken after so long in any case, in milliseconds: callers that meet a host which says
/// that it is ready, and closes each of them, would not find out that it is well again.
const TAKEN_EACH_MS: u64 = 250;

/// What new connections are taken by.
#[derive(Debug)]
pub struct Shed {
    /// Connections that are open.
    pub connections: TaskTracker,
    connections_max: usize,
    /// The bits of the part that is closed.
    closed: AtomicU64,
    /// When one was last taken while some are closed, in milliseconds.
    taken_at: AtomicU64,
}

impl Shed {
    /// With so many connections at most.
    #[must_use]
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections: TaskTracker::new(),
            connections_max,
            closed: AtomicU64::new(0.0_f64.to_bits()),
            taken_at: AtomicU64::default(),
        }
    }

    /// Whether there is no room for one more; then the host is not ready for new ones.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.connections_max
    }

    /// Whether a new connection is taken.
    #[must_use]
    pub fn takes(&self, now: Millis) -> bool {
        let closed = f64::from_bits(self.closed.load(Ordering::Relaxed));
        if closed == 0.0 || self.is_full() {
            return !self.is_full();
        }
        let taken_at = Millis(self.taken_at.load(Ordering::Relaxed));
        let takes = now.since(taken_at) >= TAKEN_EACH_MS || rand::random::<f64>() >= closed;
        if takes {
            self.taken_at.store(now.0, Ordering::Relaxed);
        }
        takes
    }
}

impl<C> State<C> {
    /// Follows how late this process comes to what is due, until the process ends.
    pub async fn follow_delay(self: Arc<Self>, standing_ms: f64) {
        let mut overload = Overload::new(standing_ms);
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            let late_ms = due.elapsed().as_secs_f64() * 1_000.0;
            let has_turned = overload.record(late_ms);
            self.shed.closed.store(overload.closed_share().to_bits(), Ordering::Relaxed);
            if has_turned {
                let closed = overload.closed_share();
                metrics::gauge!("gateway_connections_closed_part").set(closed);
                log::info!(target: "route", late_ms, closed, open = self.shed.connections.len();
                    "new connections closed unread or no longer");
            }
        }
    }
}
