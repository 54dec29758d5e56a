//! Whether the process takes new work at all.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;
use crate::state::State;

const NOT_READY_RETRY_MS: u64 = 1_000;
const BILLS_RETRY_MS: u64 = 2_000;
const BUSY_RETRY_MS: u64 = 500;

/// A request under way; counted until dropped.
pub struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Takes a request on.
///
/// # Errors
/// When there is no configuration, bills can't be kept safe, or too many are under way.
pub fn enter(state: &Arc<State>, snapshot: &Snapshot) -> Result<Slot, Refusal> {
    let before = state.in_flight.fetch_add(1, Ordering::Relaxed);
    let slot = Slot(Arc::clone(state));
    match () {
        () if !snapshot.is_ready() => Err(Refusal::not_run(Code::NotReady, "no configuration yet")
            .retry_after(NOT_READY_RETRY_MS)),
        () if snapshot.bills_full || state.bills.is_full() => {
            Err(Refusal::not_run(Code::BillsFull, "bills can't be kept safe at the moment")
                .retry_after(BILLS_RETRY_MS))
        }
        () if before >= state.settings.bounds.in_flight => {
            Err(Refusal::not_run(Code::Overloaded, "this host has too many requests under way")
                .retry_after(BUSY_RETRY_MS))
        }
        () => Ok(slot),
    }
}
