//! Queues bills and sends them in batches to a control, until controls hold them: two, or only one
//! if that is all a control can get.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use wire::bill::{Bill, BillAnswer};

use crate::state::State;

/// Limit on the bills in one call.
const BATCH_MAX: usize = 512;
/// Number of sender tasks, each with one call in flight. More than one, so that a slow call does
/// not delay the answers that ended after its batch was sent.
const SENDERS_COUNT: usize = 4;
/// Limit on the time in which all controls together are asked to hold a batch, before a pause.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay before a batch is sent again after no control accepted it.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of unconfirmed bills from which new requests are rejected.
const PENDING_MAX: usize = 20_000;

/// A bill that controls have not confirmed yet, and the channel that reports the confirmation.
struct Pending {
    bill: Bill,
    confirmation: oneshot::Sender<()>,
}

/// Bills that controls have not confirmed yet.
#[derive(Default)]
pub struct Bills {
    queue: Mutex<Vec<Pending>>,
    added: Notify,
    /// Number of bills in the queue or in a batch that is being sent.
    pending: AtomicUsize,
    /// Whether the last call failed to get its bills held by any control.
    is_unsafe: AtomicBool,
}

impl Bills {
    /// Queues a bill; the returned receiver is notified when controls hold the bill.
    ///
    /// The bill stays queued even if the receiver is dropped: a caller that disconnects while it
    /// waits is still billed, once.
    pub fn submit(&self, bill: Bill) -> oneshot::Receiver<()> {
        let (confirmation, receiver) = oneshot::channel();
        self.pending.fetch_add(1, Ordering::Relaxed);
        self.lock().push(Pending { bill, confirmation });
        self.added.notify_one();
        receiver
    }

    /// Number of bills that controls have not confirmed yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    /// Whether new requests must be rejected: the last call found no control that holds its bills,
    /// or this process has `PENDING_MAX` unconfirmed bills.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_unsafe.load(Ordering::Relaxed) || self.pending() >= PENDING_MAX
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Pending>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_batch(&self) -> Vec<Pending> {
        let mut queue = self.lock();
        let count = queue.len().min(BATCH_MAX);
        queue.drain(..count).collect()
    }

    async fn next_batch(&self) -> Vec<Pending> {
        loop {
            let batch = self.take_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }
}

/// Starts the sender tasks. They run until the process ends, so that a shutdown can wait until all
/// bills are confirmed.
pub fn start(state: &Arc<State>) {
    for _ in 0..SENDERS_COUNT {
        tokio::spawn(run_sender(Arc::clone(state)));
    }
}

async fn run_sender(state: Arc<State>) {
    loop {
        let batch = state.bills.next_batch().await;
        // The queue may hold more than one batch: wake another sender for the rest.
        state.bills.added.notify_one();
        send_batch(&state, batch).await;
    }
}

/// Sends one batch again and again until controls hold it.
///
/// Controls tell bills apart by request id, so a batch whose answer was lost can be sent again,
/// also to another control, and each bill still counts once.
async fn send_batch(state: &State, batch: Vec<Pending>) {
    let bills: Vec<Bill> = batch.iter().map(|pending| pending.bill.clone()).collect();
    loop {
        let call = |client: wire::rpc::ControlClient, context| {
            let bills = bills.clone();
            async move { client.bill(context, bills).await }
        };
        let held = state.controls.ask(CALL_TIMEOUT, call).await;
        // While no control holds bills, no answer can end: reject new requests (`is_full`).
        let is_safe = matches!(held, Ok(BillAnswer::Twice | BillAnswer::Once));
        state.bills.is_unsafe.store(!is_safe, Ordering::Relaxed);
        match held {
            Ok(BillAnswer::Twice) => break,
            Ok(BillAnswer::Once) => {
                metrics::counter!("entry_bills_held_once_total").increment(bills.len() as u64);
                break;
            }
            Ok(BillAnswer::Full) => log::warn!("bills: controls hold the maximum; retrying"),
            Err(error) => log::warn!(
                "bills: no control accepted a batch of {}: {error}; retrying",
                bills.len()
            ),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    state.bills.pending.fetch_sub(batch.len(), Ordering::Relaxed);
    for pending in batch {
        // The waiting task may have been dropped; controls hold the bill in any case.
        let _ = pending.confirmation.send(());
    }
}
