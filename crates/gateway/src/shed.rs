//! Closes new connections unread while this host is overloaded or has no room for more. See
//! [`policy::overload`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use policy::overload::{Overload, SAMPLE_INTERVAL};
use policy::time::Millis;
use tokio_util::task::TaskTracker;

use crate::state::State;

/// While connections are closed, one is accepted if none was for this long. Callers that meet a
/// host which reports ready and closes each of their connections could not find out that it has
/// recovered.
const ACCEPT_INTERVAL_MS: u64 = 250;

/// Decides which new connections are accepted.
#[derive(Debug)]
pub struct Shedder {
    /// Connections that are open.
    pub connections: TaskTracker,
    connections_max: usize,
    /// The fraction of new connections that is closed, as the bits of an `f64`.
    closed_share_bits: AtomicU64,
    /// When a connection was last accepted while others are closed, in milliseconds.
    accepted_at: AtomicU64,
}

impl Shedder {
    /// A shedder for a host that may have up to `connections_max` connections open.
    #[must_use]
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections: TaskTracker::new(),
            connections_max,
            closed_share_bits: AtomicU64::new(0.0_f64.to_bits()),
            accepted_at: AtomicU64::default(),
        }
    }

    /// Whether the host has as many connections as it may have. It does not report ready then.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.connections_max
    }

    /// Whether a new connection is accepted.
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
    /// Measures how late this process runs what is due, and adjusts the fraction of connections
    /// that is closed. Runs until the process ends.
    ///
    /// `standing_ms` is the delay from which on work comes in faster than it is done.
    pub async fn follow_delay(self: Arc<Self>, standing_ms: f64) {
        let mut overload = Overload::new(standing_ms);
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            let late_ms = due.elapsed().as_secs_f64() * 1_000.0;
            let has_turned = overload.record(late_ms);
            self.shed.closed_share_bits.store(overload.closed_share().to_bits(), Ordering::Relaxed);
            if has_turned {
                let closed = overload.closed_share();
                metrics::gauge!("gateway_connections_closed_part").set(closed);
                log::info!(target: "route", late_ms, closed, open = self.shed.connections.len();
                    "closing of new connections began or ended");
            }
        }
    }
}
