//! Bills on their way to two controls, many in one call.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use wire::bill::{Bill, BillAnswer};

use crate::state::State;

/// Bills sent in one call at most.
const BATCH: usize = 512;
/// Calls under way at a time. More than one, so that a slow call does not hold up the answers
/// that ended after it.
const CALLS: usize = 4;
/// Longest wait for controls in one round.
const ROUND: Duration = Duration::from_millis(2500);
/// Pause after a round in which no control held the bills.
const PAUSE: Duration = Duration::from_millis(200);
/// Bills kept here at most before new work is refused.
const PENDING_MAX: usize = 20_000;

/// A bill that no control has yet, and who waits for it.
struct Pending {
    bill: Bill,
    held: oneshot::Sender<()>,
}

/// Bills not yet held by controls.
#[derive(Default)]
pub struct Bills {
    queue: Mutex<Vec<Pending>>,
    added: Notify,
    /// Queued or on their way.
    pending: AtomicUsize,
    /// No control held the last bills.
    unsafe_now: AtomicBool,
}

impl Bills {
    /// Takes a bill on; the receiver is notified when controls hold it.
    ///
    /// The bill is kept until then whatever becomes of the receiver: a caller that goes away
    /// while it waits is billed all the same, once.
    pub fn submit(&self, bill: Bill) -> oneshot::Receiver<()> {
        let (held, waits) = oneshot::channel();
        self.pending.fetch_add(1, Ordering::Relaxed);
        self.lock().push(Pending { bill, held });
        self.added.notify_one();
        waits
    }

    /// Bills that no control holds yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    /// Whether new work must be refused: no control holds bills, or this process has too many.
    #[must_use]
    pub fn full(&self) -> bool {
        self.unsafe_now.load(Ordering::Relaxed) || self.pending() >= PENDING_MAX
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Pending>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Vec<Pending> {
        let mut queue = self.lock();
        let count = queue.len().min(BATCH);
        queue.drain(..count).collect()
    }

    async fn next(&self) -> Vec<Pending> {
        loop {
            let batch = self.take();
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }
}

/// Starts the senders; they run until the process ends, so that a shutdown can wait for them.
pub fn start(state: &Arc<State>) {
    for _ in 0..CALLS {
        tokio::spawn(send_all(Arc::clone(state)));
    }
}

async fn send_all(state: Arc<State>) {
    loop {
        let batch = state.bills.next().await;
        // Another sender may go on with what this batch left over.
        state.bills.added.notify_one();
        send(&state, batch).await;
    }
}

/// Sends one batch until controls hold it.
///
/// Bills are distinguished by request id, so a batch whose answer was lost is sent again, also to
/// another control, and still counts once.
async fn send(state: &State, batch: Vec<Pending>) {
    let bills: Vec<Bill> = batch.iter().map(|pending| pending.bill.clone()).collect();
    loop {
        let call = |client: wire::rpc::ControlClient, context| {
            let bills = bills.clone();
            async move { client.bill(context, bills).await }
        };
        let held = state.controls.ask(ROUND, call).await;
        // Without a control that holds bills no answer could end, so no more work is begun.
        let safe = matches!(held, Ok(BillAnswer::Twice | BillAnswer::Once));
        state.bills.unsafe_now.store(!safe, Ordering::Relaxed);
        match held {
            Ok(BillAnswer::Twice) => break,
            Ok(BillAnswer::Once) => {
                metrics::counter!("entry_bills_held_once_total").increment(bills.len() as u64);
                break;
            }
            Ok(BillAnswer::Full) => log::warn!("bills: controls are at their bound"),
            Err(error) => log::warn!("bills: no control holds {}: {error}", bills.len()),
        }
        tokio::time::sleep(PAUSE).await;
    }
    state.bills.pending.fetch_sub(batch.len(), Ordering::Relaxed);
    for pending in batch {
        // Whoever waited may be gone; the bill is held all the same.
        let _ = pending.held.send(());
    }
}
