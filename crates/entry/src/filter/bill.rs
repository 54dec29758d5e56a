//! The bill of a request, submitted exactly once.

use std::sync::Arc;
use std::time::Instant;

use policy::name::Name;
use wire::bill::Bill;

use crate::clock;
use crate::state::State;

/// The pending bill of a request whose answer has begun. It is submitted exactly once.
///
/// If it is dropped without [`Billing::settle`], because the backend server broke off or the caller
/// went away, the answer is billed as not whole.
pub struct Billing {
    state: Arc<State>,
    bill: Option<Bill>,
}

impl Billing {
    /// Starts a bill; to be called when the first piece of an answer has arrived.
    #[must_use]
    pub fn new(state: Arc<State>, request: Name, account: Name, task: Name, version: Name) -> Self {
        let at = clock::now();
        let log = state.snapshot.load().control.clone();
        let bill = Bill { request, log, account, task, version, cost: 0.0, at, whole: false };
        Self { state, bill: Some(bill) }
    }

    /// Adds the cost of one call to a backend server, in the deployment's unit.
    pub fn add(&mut self, cost: f64) {
        if let Some(bill) = &mut self.bill {
            bill.cost += cost;
        }
    }

    /// Submits the bill of a whole answer, and waits until controls hold it. Returns false if the
    /// deadline passed first; the bill is still delivered in that case.
    pub async fn settle(mut self, deadline: Instant) -> bool {
        let Some(mut bill) = self.bill.take() else { return false };
        bill.whole = true;
        bill.at = clock::now();
        let held = self.state.bills.submit(bill);
        matches!(tokio::time::timeout_at(deadline.into(), held).await, Ok(Ok(())))
    }
}

impl Drop for Billing {
    fn drop(&mut self) {
        if let Some(mut bill) = self.bill.take() {
            bill.at = clock::now();
            // Nothing waits for this bill: the answer has already broken off for the caller.
            drop(self.state.bills.submit(bill));
        }
    }
}
