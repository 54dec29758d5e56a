//! Refuses requests while the process accepts no new work at all.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;
use crate::state::State;

/// `Retry-After` while the process has no configuration.
const NOT_READY_RETRY_MS: u64 = 1_000;
/// `Retry-After` while no further bills can be kept safe.
const BILLS_FULL_RETRY_MS: u64 = 2_000;
/// `Retry-After` while the process has its maximum of requests in flight.
const OVERLOADED_RETRY_MS: u64 = 500;

/// Counts a request as in flight in this process until dropped.
pub struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts a request into the process.
///
/// # Errors
/// [`Code::NotReady`] without a configuration, [`Code::BillsFull`] while bills can't be kept safe,
/// [`Code::Overloaded`] if too many requests are in flight.
pub fn enter(state: &Arc<State>, snapshot: &Snapshot) -> Result<Slot, Refusal> {
    let before = state.in_flight.fetch_add(1, Ordering::Relaxed);
    let slot = Slot(Arc::clone(state));
    match () {
        () if !snapshot.is_ready() => Err(Refusal::not_run(Code::NotReady, "no configuration yet")
            .retry_after(NOT_READY_RETRY_MS)),
        () if snapshot.bills_full || state.bills.is_full() => {
            Err(Refusal::not_run(Code::BillsFull, "bills can't be stored safely at the moment")
                .retry_after(BILLS_FULL_RETRY_MS))
        }
        () if before >= state.settings.bounds.in_flight => {
            Err(Refusal::not_run(Code::Overloaded, "this host has too many requests in flight")
                .retry_after(OVERLOADED_RETRY_MS))
        }
        () => Ok(slot),
    }
}
