//! Memory that a host holds for its requests: how it is counted, and how reading waits for it. See
//! [`policy::memory`].

use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::body::{Gate, Shortage};
use entry::clock;
use entry::progress::Progress;
use policy::memory::{self, Cut, CutCause, Governor, Holding, Load, STEP_INTERVAL_MS};
use policy::time::Millis;
use tokio::sync::Notify;

use crate::state::State;

/// How soon a read that waits for memory is judged again.
const WAIT: Duration = Duration::from_millis(50);
/// The same for a caller that has stopped taking. It is judged at once when it takes bytes again or
/// the shortage ends.
const STALLED_WAIT: Duration = Duration::from_secs(1);

/// The memory that a host holds for all requests, and its bound.
#[derive(Debug)]
pub struct HostMemory {
    held: AtomicU64,
    bound: u64,
    is_short: AtomicBool,
    next_id: AtomicU64,
    accounts: Mutex<HashMap<u64, Weak<Account>>>,
    /// Number of accounts. Reads that wait are judged often, and must not contend for the lock.
    holders: AtomicU64,
    /// Notified when a shortage ends.
    relieved: Notify,
}

/// The memory held for one request. It exists until all of that is given back.
#[derive(Debug)]
struct Account {
    id: u64,
    host: Arc<HostMemory>,
    progress: Arc<Progress>,
    bytes: AtomicU64,
    deadline: AtomicU64,
    is_stream: AtomicBool,
    /// Notified when a part of the memory is given back.
    released: Notify,
}

impl Drop for Account {
    fn drop(&mut self) {
        self.host.lock().remove(&self.id);
        self.host.holders.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request's right to hold memory. The default one counts nothing: it is for a request that is
/// only explained, and reads nothing.
#[derive(Clone, Debug, Default)]
pub struct Holder(Option<Arc<Account>>);

/// Bytes that are counted as held until this is dropped.
#[derive(Debug)]
pub struct Charge {
    holder: Holder,
    bytes: u64,
}

/// The deadline passed while a read waited for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expired;

/// Time for which the reads of one answer waited for memory. Its server is not slow meanwhile.
#[derive(Debug, Default)]
pub struct MemoryWait(Mutex<(Duration, Option<Instant>)>);

/// Bytes together with their charge.
struct Held {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HostMemory {
    /// A host that may hold `bound` bytes.
    #[must_use]
    pub fn new(bound: u64) -> Self {
        Self {
            held: AtomicU64::new(0),
            bound,
            is_short: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            accounts: Mutex::default(),
            holders: AtomicU64::new(0),
            relieved: Notify::new(),
        }
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Bytes that may be held.
    #[must_use]
    pub fn bytes_max(&self) -> u64 {
        self.bound
    }

    /// Whether the host reads less, because it holds much.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_short.load(Ordering::Relaxed)
    }

    /// Opens the account of a request that comes on a connection with this progress.
    #[must_use]
    pub fn open(self: &Arc<Self>, progress: Arc<Progress>) -> Holder {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let account = Arc::new(Account {
            id,
            host: Arc::clone(self),
            progress,
            bytes: AtomicU64::new(0),
            deadline: AtomicU64::new(u64::MAX),
            is_stream: AtomicBool::new(false),
            released: Notify::new(),
        });
        self.lock().insert(id, Arc::downgrade(&account));
        self.holders.fetch_add(1, Ordering::Relaxed);
        Holder(Some(account))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Weak<Account>>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        let holders = self.holders.load(Ordering::Relaxed);
        Load { held: self.held_bytes(), bound: self.bound, holders }
    }

    /// Judges what is held, disconnects callers and wakes reads that waited.
    pub fn step(&self, governor: &mut Governor, now: Millis) {
        // The last reference of an account takes the lock when it is dropped, so none may be
        // dropped under the lock.
        let accounts: Vec<Arc<Account>> = self.lock().values().filter_map(Weak::upgrade).collect();
        let holdings: Vec<Holding> = accounts.iter().map(|account| account.holding()).collect();
        let step = governor.step(&holdings, &self.load(), now);
        self.is_short.store(governor.is_short(), Ordering::Relaxed);
        if let Some(begins) = step.turned {
            log_turn(begins, &self.load());
        }
        if step.turned == Some(false) {
            self.relieved.notify_waiters();
        }
        self.disconnect(&accounts, &step.cuts);
        metrics::gauge!("gateway_held_bytes").set(self.held_bytes() as f64);
        metrics::gauge!("gateway_held_bytes_max").set(self.bound as f64);
    }

    fn disconnect(&self, accounts: &[Arc<Account>], cuts: &[Cut]) {
        for (cause, label) in [(CutCause::Memory, "memory"), (CutCause::Overdue, "overdue")] {
            let is_cut = |id| cuts.iter().any(|cut| cut.id == id && cut.cause == cause);
            let slow: Vec<_> = accounts.iter().filter(|account| is_cut(account.id)).collect();
            if slow.is_empty() {
                continue;
            }
            slow.iter().for_each(|account| account.progress.cut.cancel());
            let bytes: u64 = slow.iter().map(|account| account.holding().bytes).sum();
            let callers = slow.len() as u64;
            metrics::counter!("gateway_callers_cut_total", "why" => label).increment(callers);
            log::warn!(target: "route", callers, bytes, why = label, held = self.held_bytes(),
                bytes_max = self.bound; "callers that do not read were disconnected");
        }
    }
}

fn log_turn(begins: bool, load: &Load) {
    let Load { held, bound: bytes_max, holders } = *load;
    match begins {
        true => log::warn!(target: "route", held, bytes_max, requests = holders;
            "host reads less, its memory for requests is nearly used up"),
        false => log::info!(target: "route", held, bytes_max, requests = holders;
            "host reads as usual again"),
    }
}

impl Account {
    fn holding(&self) -> Holding {
        Holding {
            id: self.id,
            bytes: self.bytes.load(Ordering::Relaxed),
            blocked_since: self.progress.blocked_since(),
            deadline: Millis(self.deadline.load(Ordering::Relaxed)),
            is_stream: self.is_stream.load(Ordering::Relaxed),
        }
    }
}

impl Holder {
    /// Sets when the caller stops waiting. Reads wait for memory until then.
    pub fn set_deadline(&self, deadline: Instant) {
        let Some(account) = &self.0 else { return };
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        let deadline = clock::steady() + u64::try_from(left).unwrap_or(u64::MAX);
        account.deadline.store(deadline.0, Ordering::Relaxed);
    }

    /// Records that the answer is a stream, whose events are passed on as they come.
    pub fn begin_stream(&self) {
        if let Some(account) = &self.0 {
            account.is_stream.store(true, Ordering::Relaxed);
        }
    }

    /// Counts bytes as held until the charge is dropped.
    #[must_use]
    pub fn charge(&self, bytes: usize) -> Charge {
        let mut charge = Charge { holder: self.clone(), bytes: 0 };
        charge.resize(bytes);
        charge
    }
}

impl Account {
    /// Counts `next` more bytes, if they may be read now. The check and the count are one atomic
    /// step: reads that begin at the same time would otherwise exceed the bound together.
    fn try_reserve(&self, next: u64) -> bool {
        let (holding, load, now) = (self.holding(), self.host.load(), clock::steady());
        let add = |held| {
            let load = Load { held, ..load };
            memory::may_read(&holding, next, &load, now).then_some(held + next)
        };
        let is_added =
            self.host.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if is_added {
            self.bytes.fetch_add(next, Ordering::Relaxed);
        }
        is_added
    }

    /// Counts `next` more bytes as soon as they may be read.
    async fn reserve(&self, next: u64) -> Result<(), Expired> {
        loop {
            let mut resumed = pin!(self.progress.resumed.notified());
            let mut released = pin!(self.released.notified());
            let mut relieved = pin!(self.host.relieved.notified());
            // Registered before the check, so that a notice right after it is not lost.
            for notified in [&mut resumed, &mut released, &mut relieved] {
                notified.as_mut().enable();
            }
            if self.try_reserve(next) {
                return Ok(());
            }
            let (holding, now) = (self.holding(), clock::steady());
            if now > holding.deadline {
                return Err(Expired);
            }
            let wait = if holding.is_stalled(now) { STALLED_WAIT } else { WAIT };
            let left = Duration::from_millis(holding.deadline.since(now) + 1);
            tokio::select! {
                () = tokio::time::sleep(wait.min(left)) => {}
                () = resumed => {}
                () = released => {}
                () = relieved => {}
            }
        }
    }
}

impl Charge {
    /// Waits until `next` more bytes may be read than the `held` ones, and counts them already.
    /// Returns whether that took a wait.
    ///
    /// # Errors
    /// The deadline passed before.
    pub async fn reserve(&mut self, held: usize, next: usize) -> Result<bool, Expired> {
        let Some(account) = self.holder.0.clone() else { return Ok(false) };
        self.cover(held);
        let wanted = held.saturating_add(next) as u64;
        // What was reserved before and not used serves this read as well.
        let missing = wanted.saturating_sub(self.bytes);
        if missing == 0 {
            self.resize(wanted as usize);
            return Ok(false);
        }
        if account.try_reserve(missing) {
            self.bytes = wanted;
            return Ok(false);
        }
        metrics::counter!("gateway_reads_held_back_total").increment(1);
        self.resize(held);
        account.reserve(next as u64).await?;
        self.bytes = wanted;
        Ok(true)
    }

    /// Changes how many bytes are held.
    pub fn resize(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        if let Some(account) = &self.holder.0 {
            for count in [&account.bytes, &account.host.held] {
                match bytes.checked_sub(self.bytes) {
                    Some(more) => count.fetch_add(more, Ordering::Relaxed),
                    None => count.fetch_sub(self.bytes - bytes, Ordering::Relaxed),
                };
            }
            if bytes < self.bytes {
                account.released.notify_waiters();
            }
        }
        self.bytes = bytes;
    }

    /// Counts at least this many bytes, without a wait.
    pub fn cover(&mut self, bytes: usize) {
        if bytes as u64 > self.bytes {
            self.resize(bytes);
        }
    }

    /// Moves what is counted beyond `rest` to a piece that was read, until the piece's last
    /// reference is dropped.
    #[must_use]
    pub fn keep_piece(&mut self, rest: usize, piece: Bytes) -> Bytes {
        if self.holder.0.is_none() {
            return piece;
        }
        self.resize(rest + piece.len());
        self.bytes -= piece.len() as u64;
        let moved = Self { holder: self.holder.clone(), bytes: piece.len() as u64 };
        // A piece is a slice of the buffer that its connection was read into, and would keep that
        // whole buffer in memory.
        moved.hold(Bytes::copy_from_slice(&piece))
    }

    /// Counts bytes by their length until their last reference is dropped.
    #[must_use]
    pub fn keep(mut self, bytes: Bytes) -> Bytes {
        self.resize(bytes.len());
        self.hold(bytes)
    }

    /// Ties the charge to bytes, without a change: it lasts until their last reference is dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.holder.0.is_none() || bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _charge: self })
    }
}

impl MemoryWait {
    /// Counts the time that a reservation takes.
    pub async fn track<T>(&self, reservation: impl Future<Output = T>) -> T {
        self.lock().1 = Some(Instant::now());
        let reserved = reservation.await;
        let (total, since) = &mut *self.lock();
        *total += since.take().map_or(Duration::ZERO, |since| since.elapsed());
        reserved
    }

    /// The time so far, a wait that has not ended included.
    #[must_use]
    pub fn total(&self) -> Duration {
        let (total, since) = *self.lock();
        total + since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (Duration, Option<Instant>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl Gate for Charge {
    async fn wait(&mut self, held: usize, more: usize) -> Result<(), Shortage> {
        self.reserve(held, more).await.map(|_| ()).map_err(|Expired| Shortage::Expired)
    }

    fn finish(&mut self, held: usize) {
        self.resize(held);
    }
}

impl<C> State<C> {
    /// Follows the memory that is held for requests, until the process ends.
    pub async fn follow_memory(self: Arc<Self>) {
        let host = self.buffers.host();
        let mut governor = Governor::default();
        loop {
            tokio::time::sleep(Duration::from_millis(STEP_INTERVAL_MS)).await;
            host.step(&mut governor, clock::steady());
        }
    }
}
