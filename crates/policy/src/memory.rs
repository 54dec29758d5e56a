//! Backpressure by memory: who may read on while a host holds much for callers that read slowly.
//!
//! Thousands of callers may read a byte a second, or not at all. What was read for them stays in
//! the host's memory until they have taken it. Each of them holds little, but all together exceed
//! the memory of a small host, and the kernel then ends the process with every request in flight.
//!
//! The bound covers request bodies, whole answers and pieces of streams. From a part of the bound
//! on, the host reads nothing more for callers that have stopped taking. The rest of the bound is
//! thereby kept for callers that take what they get, and the last of it for those that hold little.
//! If the callers that have stopped fill that rest as well, those of them that hold most are
//! disconnected.

use crate::domain;
use crate::time::Millis;

/// Held part of the bound from which nothing more is read for stalled callers.
const SHORT_SHARE: f64 = 0.75;
/// Held part of the bound below which reading is as usual again.
const RELIEVED_SHARE: f64 = 0.625;
/// Held part of the bound up to which requests that hold much are read for. They would otherwise
/// fill the bound, and short answers and streams beside them would have to exceed it or wait.
const LARGE_SHARE: f64 = 0.8;
/// Held part of the bound from which stalled callers are disconnected.
const CUT_SHARE: f64 = 0.875;
/// A caller is stalled if its connection has accepted no byte for this long. A narrow link empties
/// a socket's buffer several times in this time.
const STALLED_MS: u64 = 500;
/// Least stall of a caller that is disconnected because memory is short.
const CUT_STALL_MS: u64 = 1_000;
/// Stall after which a caller is disconnected once its deadline has passed, also if memory is not
/// short.
const OVERDUE_STALL_MS: u64 = 5_000;
/// Interval between two steps of [`Governor`].
pub const STEP_INTERVAL_MS: u64 = 100;
/// A step that comes this much later than the one before it follows a pause of the process, in
/// which no caller could be served. It disconnects nobody.
const LATE_STEP_MS: u64 = 500;
/// Most bytes that a request may hold and still be read for beyond [`LARGE_SHARE`].
const SMALL_BYTES_MAX: u64 = 64 << 10;
/// Fewest bytes of that kind, however many requests share the bound. A short answer fits.
const SMALL_BYTES_MIN: u64 = 4 << 10;
/// Most bytes that a stream may hold and still be read for beyond [`LARGE_SHARE`]: the buffer of its
/// server's connection and some short events. More is read as soon as the caller has taken these.
const STREAM_BYTES_MAX: u64 = 12 << 10;
/// Part of the bound that all small holdings together may reach.
const SMALL_DIVISOR: u64 = 2;

/// Memory of a host whose settings do not tell it, in bytes.
const ASSUMED_BYTES: u64 = 256 << 20;
/// Parts of a host's memory, each as the number that the memory is divided by. Half of it is for
/// callers' connections, see [`crate::overload::connections_max`]. The rest is the process itself.
const HELD_DIVISOR: u64 = 4;
/// Part of what is held that answers may use while they are read whole.
const ANSWERS_DIVISOR: u64 = 8;
/// Part for answers of the store.
const STORE_DIVISOR: u64 = 16;
/// Part for what engines tell of their caches.
const ENGINES_DIVISOR: u64 = 32;

domain! {
    /// What a host may hold of what others send, in bytes. The sum of all parts leaves room for the
    /// process itself, whatever the settings.
    #[derive(Copy, Eq)]
    pub struct Shares {
        /// For all requests: their bodies, answers and pieces of streams.
        pub held: u64,
        /// Of that, for answers while they are read whole.
        pub answers: u64,
        /// For answers of the store while they are read.
        pub store: u64,
        /// For what engines tell of their caches while it is read.
        pub engines: u64,
    }

    /// What a host holds for one request.
    #[derive(Copy)]
    pub struct Holding {
        /// Id of the request at this host.
        pub id: u64,
        /// Bytes of its body and its answer that are in memory.
        pub bytes: u64,
        /// Since when the caller's connection has accepted no byte of what is to be written; `None`
        /// if it accepts them.
        pub blocked_since: Option<Millis>,
        /// When the caller stops waiting for the answer.
        pub deadline: Millis,
        /// Whether the answer is a stream that is being passed on. What is read of it leaves the
        /// host as fast as the caller takes it.
        pub is_stream: bool,
    }

    /// What a host holds for all requests.
    #[derive(Copy)]
    pub struct Load {
        /// Bytes that are held.
        pub held: u64,
        /// Bytes that may be held.
        pub bound: u64,
        /// Number of requests that hold something.
        pub holders: u64,
    }

    /// Why a caller is disconnected.
    #[derive(Copy, Eq)]
    pub enum CutCause {
        /// Memory is short, and the caller holds most of those that have stopped taking.
        Memory,
        /// The caller has stopped taking, and its deadline has passed.
        Overdue,
    }

    /// A caller to disconnect.
    #[derive(Copy, Eq)]
    pub struct Cut {
        /// Id of the request at this host.
        pub id: u64,
        /// Why its caller is disconnected.
        pub cause: CutCause,
    }

    /// Outcome of one step.
    #[derive(Default)]
    pub struct Step {
        /// Whether the host begins (`true`) or ends (`false`) to read less; `None` for no change.
        pub turned: Option<bool>,
        /// Callers to disconnect.
        pub cuts: Vec<Cut>,
    }

    /// Follows what a host holds, and decides whom it disconnects.
    #[derive(Copy, Default)]
    pub struct Governor {
        /// Whether the host reads less.
        is_short: bool,
        /// Time of the last step.
        last_step: Option<Millis>,
    }
}

impl Shares {
    /// The parts of a host's memory; `None` if its settings do not tell it.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let memory = memory.unwrap_or(ASSUMED_BYTES);
        Self {
            held: memory / HELD_DIVISOR,
            answers: memory / ANSWERS_DIVISOR,
            store: memory / STORE_DIVISOR,
            engines: memory / ENGINES_DIVISOR,
        }
    }
}

impl Holding {
    /// For how long the caller has accepted nothing, in milliseconds.
    fn stall_ms(&self, now: Millis) -> u64 {
        self.blocked_since.map_or(0, |since| now.since(since))
    }

    /// Whether the caller has stopped taking what it gets.
    #[must_use]
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.stall_ms(now) >= STALLED_MS
    }

    fn is_overdue(&self, now: Millis) -> bool {
        now > self.deadline && self.stall_ms(now) >= OVERDUE_STALL_MS
    }
}

impl Load {
    fn exceeds(&self, share: f64) -> bool {
        self.held as f64 >= share * self.bound as f64
    }

    /// Most bytes that a request may hold and still be read for beyond [`LARGE_SHARE`].
    fn small_bytes(&self) -> u64 {
        let fair = self.bound / SMALL_DIVISOR / self.holders.max(1);
        fair.clamp(SMALL_BYTES_MIN, SMALL_BYTES_MAX)
    }
}

/// Whether the host may read `next` more bytes for a request now. Not if the bytes that are
/// reserved for reads would exceed the bound.
#[must_use]
pub fn may_read(holding: &Holding, next: u64, load: &Load, now: Millis) -> bool {
    let bytes = holding.bytes.saturating_add(next);
    let load = Load { held: load.held.saturating_add(next), ..*load };
    match () {
        () if !load.exceeds(SHORT_SHARE) => true,
        () if holding.is_stalled(now) || load.held > load.bound => false,
        () if bytes <= load.small_bytes() => true,
        () if holding.blocked_since.is_some() => false,
        () if load.held as f64 <= LARGE_SHARE * load.bound as f64 => true,
        () => holding.is_stream && bytes <= STREAM_BYTES_MAX,
    }
}

impl Governor {
    /// Whether the host reads less.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Judges what the host holds. To be called every [`STEP_INTERVAL_MS`].
    pub fn step(&mut self, holdings: &[Holding], load: &Load, now: Millis) -> Step {
        let before = self.is_short;
        self.is_short = load.exceeds(if before { RELIEVED_SHARE } else { SHORT_SHARE });
        let turned = (before != self.is_short).then_some(self.is_short);
        let elapsed = self.last_step.replace(now).map_or(0, |last| now.since(last));
        let cuts = match elapsed > LATE_STEP_MS {
            true => Vec::new(),
            false => cuts(holdings, load, now),
        };
        Step { turned, cuts }
    }
}

/// The callers to disconnect: those that are overdue, then those that hold most until enough is
/// given back.
fn cuts(holdings: &[Holding], load: &Load, now: Millis) -> Vec<Cut> {
    let (overdue, others): (Vec<&Holding>, Vec<&Holding>) =
        holdings.iter().filter(|holding| holding.bytes > 0).partition(|one| one.is_overdue(now));
    let mut left = load.held.saturating_sub(overdue.iter().map(|one| one.bytes).sum());
    let mut cuts: Vec<Cut> =
        overdue.iter().map(|one| Cut { id: one.id, cause: CutCause::Overdue }).collect();
    if !(Load { held: left, ..*load }).exceeds(CUT_SHARE) {
        return cuts;
    }
    let mut stalled: Vec<&Holding> =
        others.into_iter().filter(|one| one.stall_ms(now) >= CUT_STALL_MS).collect();
    stalled.sort_by_key(|one| std::cmp::Reverse((one.bytes, one.stall_ms(now))));
    for one in stalled {
        if !(Load { held: left, ..*load }).exceeds(SHORT_SHARE) {
            break;
        }
        left = left.saturating_sub(one.bytes);
        cuts.push(Cut { id: one.id, cause: CutCause::Memory });
    }
    cuts
}
