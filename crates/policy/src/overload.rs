//! Which new connections a host closes before it reads from them.
//!
//! The balancer may hand most new connections of a failure domain, or of all, to one host. The host
//! has the processor for a part of them only; read all the same, each waits behind all others, and none is
//! answered in time while other hosts idle. A connection that is closed unread costs its caller a
//! millisecond: it comes back at another host, whatever the kind of its request, and has not run.
//!
//! What tells is a standing delay: also the least delay of a while is long, so that work comes in
//! faster than it is done. One long task, or a host that stood still, shows in single ticks only.

use std::time::Duration;

use crate::domain;

/// Between two looks at the delay.
pub const TICK: Duration = Duration::from_millis(50);
/// Looks of which the least delay counts.
const WINDOW_TICKS: u32 = 4;
/// Added to the part that is closed, at least, for each window with so much delay.
const STEP: f64 = 0.1;
/// Part that is closed at most: what is read now shows whether it is still too much.
const CLOSED_MAX: f64 = 0.98;
/// What is left of it after a window without a standing delay. Connections that were kept away come
/// back bit by bit.
const DECAY: f64 = 0.9;
/// Below that none is closed.
const CLOSED_MIN: f64 = 0.02;
/// What a caller's connection takes of memory while it is idle, in bytes: buffers of both directions.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Part of memory that callers' connections may take.
const MEMORY_PART: u64 = 2;
/// Descriptors that are for files and the host's own connections.
const DESCRIPTORS_KEPT: u32 = 300;
/// Descriptors for each caller: its own connection and the one to the server that answers it.
const DESCRIPTORS_EACH: u32 = 2;

domain! {
    /// The part of new connections that is closed unread.
    #[derive(Copy)]
    pub struct Overload {
        /// Least delay of a window from which on work comes in faster than it is done, in milliseconds.
        standing_ms: f64,
        closed: f64,
        ticks: u32,
        least_ms: f64,
    }
}

impl Overload {
    /// None is closed yet; with the least delay of a window from which on work comes in faster than it is
    /// done, in milliseconds.
    #[must_use]
    pub fn new(standing_ms: f64) -> Self {
        Self { standing_ms, closed: 0.0, ticks: 0, least_ms: 0.0 }
    }

    /// A look came so late, in milliseconds; whether connections begin or cease to be closed.
    pub fn tick(&mut self, late_ms: f64) -> bool {
        self.least_ms = if self.ticks == 0 { late_ms } else { self.least_ms.min(late_ms) };
        self.ticks += 1;
        if self.ticks < WINDOW_TICKS {
            return false;
        }
        let before = self.closed;
        self.closed = match self.least_ms >= self.standing_ms {
            // What waits already takes so much longer than it should.
            true => (before + STEP).max(1.0 - self.standing_ms / self.least_ms).min(CLOSED_MAX),
            false if before * DECAY < CLOSED_MIN => 0.0,
            false => before * DECAY,
        };
        self.ticks = 0;
        (before == 0.0) != (self.closed == 0.0)
    }

    /// Part of new connections that is closed.
    #[must_use]
    pub fn closed(&self) -> f64 {
        self.closed
    }

    /// Whether a new connection is closed unread; `draw` is a uniform draw.
    #[must_use]
    pub fn closes(&self, draw: f64) -> bool {
        draw < self.closed
    }
}

/// Connections of callers that a host with so many descriptors and so much memory, in bytes, can have open
/// at once. One more would take from those that are being answered.
#[must_use]
pub fn connections_max(descriptors: Option<u32>, memory: Option<u64>) -> usize {
    let by_descriptors =
        descriptors.map(|all| all.saturating_sub(DESCRIPTORS_KEPT).max(1) / DESCRIPTORS_EACH);
    let by_memory = memory.map(|bytes| bytes / MEMORY_PART / CONNECTION_BYTES);
    let by_descriptors = by_descriptors.map_or(usize::MAX, |max| max as usize);
    let by_memory = by_memory.and_then(|max| usize::try_from(max).ok()).unwrap_or(usize::MAX);
    by_descriptors.min(by_memory).max(1)
}
