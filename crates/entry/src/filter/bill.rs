//! The one bill of a request.

use std::sync::Arc;
use std::time::Instant;

use policy::name::Name;
use wire::bill::Bill;

use crate::clock;
use crate::state::State;

/// A request whose answer has begun: it is billed once, whatever happens from here on.
///
/// Dropped without [`Billing::settle`] (the backend server broke off, the caller went away), it
/// bills the answer as not whole.
pub struct Billing {
    state: Arc<State>,
    bill: Option<Bill>,
}

impl Billing {
    /// When the first piece of an answer is there.
    #[must_use]
    pub fn new(state: Arc<State>, request: Name, account: Name, task: Name, version: Name) -> Self {
        let at = clock::now();
        let log = state.snapshot.load().control.clone();
        let bill = Bill { request, log, account, task, version, cost: 0.0, at, whole: false };
        Self { state, bill: Some(bill) }
    }

    /// Adds the cost of one call.
    pub fn add(&mut self, cost: f64) {
        if let Some(bill) = &mut self.bill {
            bill.cost += cost;
        }
    }

    /// Bills a whole answer; true once controls hold the bill, false if the deadline passed
    /// first. The bill is on its way in either case.
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
            // Nobody waits for it: the caller has seen the answer break.
            drop(self.state.bills.submit(bill));
        }
    }
}
