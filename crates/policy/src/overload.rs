//! Load shedding: which new connections an overloaded host closes without reading from them.
//!
//! The load balancer may send most new connections of a failure domain, or of all of them, to one
//! host, whose processor can serve only some of them. If the host reads all the same, each request
//! waits behind all others and none is answered in time, while other hosts are idle. Closing a
//! connection unread costs its caller a millisecond: the caller reconnects to another host, and
//! since its request has not run, any kind of request can be sent again.
//!
//! The signal is a standing delay: even the minimum delay over a window is high, so work arrives
//! faster than it is done. A single long task, or a host that was suspended, raises single samples
//! only.

use std::time::Duration;

use crate::domain;

/// Interval between two samples of the delay.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of samples in a window, whose minimum delay is compared.
const WINDOW_SAMPLES: u32 = 4;
/// Minimum increase of the closed share after a window with a standing delay.
const CLOSED_SHARE_STEP: f64 = 0.1;
/// Maximum closed share: the connections still read show whether the host remains overloaded.
const CLOSED_SHARE_MAX: f64 = 0.98;
/// Factor on the closed share after each window without a standing delay, so that the connections
/// that were closed return gradually.
const CLOSED_SHARE_DECAY: f64 = 0.9;
/// Closed share below which no connection is closed any more.
const CLOSED_SHARE_MIN: f64 = 0.02;
/// Memory of one idle caller's connection, in bytes: the buffers of both directions.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Divisor of the host's memory that gives the memory available to callers' connections.
const MEMORY_DIVISOR: u64 = 2;
/// File descriptors reserved for files and the host's own connections.
const DESCRIPTORS_RESERVED: u32 = 300;
/// File descriptors per caller: the caller's connection and the one to the backend server that
/// answers.
const DESCRIPTORS_PER_CALLER: u32 = 2;

domain! {
    /// Overload detector that sets the share of new connections to close unread.
    #[derive(Copy)]
    pub struct Overload {
        /// Minimum delay of a window from which the host counts as overloaded, in milliseconds.
        standing_ms: f64,
        /// Share of new connections to close, 0 to 1.
        closed: f64,
        /// Samples in the current window.
        ticks: u32,
        /// Minimum delay in the current window, in milliseconds.
        least_ms: f64,
    }
}

impl Overload {
    /// Creates a detector that closes nothing yet. `standing_ms` is the minimum delay of a window
    /// from which work arrives faster than it is done, in milliseconds.
    #[must_use]
    pub fn new(standing_ms: f64) -> Self {
        Self { standing_ms, closed: 0.0, ticks: 0, least_ms: 0.0 }
    }

    /// Records the delay of one sample, in milliseconds. Returns whether closing begins or ends.
    pub fn record(&mut self, delay_ms: f64) -> bool {
        self.least_ms = if self.ticks == 0 { delay_ms } else { self.least_ms.min(delay_ms) };
        self.ticks += 1;
        if self.ticks < WINDOW_SAMPLES {
            return false;
        }
        let before = self.closed;
        self.closed = match self.least_ms >= self.standing_ms {
            // Close the share by which the delay exceeds the standing delay.
            true => (before + CLOSED_SHARE_STEP)
                .max(1.0 - self.standing_ms / self.least_ms)
                .min(CLOSED_SHARE_MAX),
            false if before * CLOSED_SHARE_DECAY < CLOSED_SHARE_MIN => 0.0,
            false => before * CLOSED_SHARE_DECAY,
        };
        self.ticks = 0;
        (before == 0.0) != (self.closed == 0.0)
    }

    /// Share of new connections to close unread, 0 to 1.
    #[must_use]
    pub fn closed_share(&self) -> f64 {
        self.closed
    }

    /// Whether to close a new connection unread; `draw` is a uniform draw from 0 to 1.
    #[must_use]
    pub fn should_close(&self, draw: f64) -> bool {
        draw < self.closed
    }
}

/// Maximum number of callers' connections that a host can keep open at once. A further connection
/// would take resources from those being answered.
///
/// `descriptors` is the limit of file descriptors and `memory` the host's memory in bytes; `None`
/// means no limit.
#[must_use]
pub fn connections_max(descriptors: Option<u32>, memory: Option<u64>) -> usize {
    let by_descriptors = descriptors
        .map(|limit| limit.saturating_sub(DESCRIPTORS_RESERVED).max(1) / DESCRIPTORS_PER_CALLER);
    let by_memory = memory.map(|bytes| bytes / MEMORY_DIVISOR / CONNECTION_BYTES);
    let by_descriptors = by_descriptors.map_or(usize::MAX, |max| max as usize);
    let by_memory = by_memory.and_then(|max| usize::try_from(max).ok()).unwrap_or(usize::MAX);
    by_descriptors.min(by_memory).max(1)
}
