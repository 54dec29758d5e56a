//! Closes new connections unread while this host can't keep up; see [`policy::overload`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use policy::overload::{Overload, TICK};

use crate::state::State;

/// What new connections are taken by.
#[derive(Debug)]
pub struct Shed {
    /// The bits of the part that is closed.
    closed: AtomicU64,
    connections_max: usize,
}

impl Shed {
    /// With so many connections of callers at most.
    #[must_use]
    pub fn new(connections_max: usize) -> Self {
        Self { closed: AtomicU64::new(0.0_f64.to_bits()), connections_max }
    }

    /// Whether a new connection is taken beside so many.
    #[must_use]
    pub fn takes(&self, open: usize) -> bool {
        let closed = f64::from_bits(self.closed.load(Ordering::Relaxed));
        open < self.connections_max && (closed == 0.0 || rand::random::<f64>() >= closed)
    }
}

impl<C> State<C> {
    /// Follows how late this process comes to what is due, until the process ends.
    pub async fn follow_delay(self: Arc<Self>) {
        let mut overload = Overload::default();
        loop {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due.into()).await;
            let late_ms = due.elapsed().as_secs_f64() * 1_000.0;
            let has_turned = overload.tick(late_ms);
            self.shed.closed.store(overload.closed().to_bits(), Ordering::Relaxed);
            if has_turned {
                let closed = overload.closed();
                metrics::gauge!("gateway_connections_closed_part").set(closed);
                log::info!(target: "route", late_ms, closed; "new connections closed unread or no longer");
            }
        }
    }
}
