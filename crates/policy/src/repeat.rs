//! How often requests may be sent again, counted by each host on its own.
//!
//! In any window, all hosts together may send a service a limited number of repeats: a share of the
//! requests for that service plus a fixed allowance. A host that stays within that share of its own
//! requests, and within its part of the fixed allowance, keeps the sum within the limit without
//! asking other hosts, even while it is cut off.

use crate::domain;
use crate::time::Millis;

/// Number of counting cells in one window. The window's edge is exact to the length of one cell.
const CELL_COUNT: usize = 20;
/// Fraction of the allowed share that a host uses. A repeat that the host counts as sent may be
/// counted by the backend server a moment later, in the next window.
const USED_FRACTION: f64 = 0.85;

/// Most repeats that are reserved for failures. When many servers are lost at once, a host has
/// several streams that continue elsewhere at the same time.
const RESERVED_MAX: f64 = 10.0;
/// Most repeats that are reserved for failures or for streams, as a fraction of the allowed ones. A
/// host with few requests, or one that has just started, has few repeats; if a fixed number of them
/// were reserved, it would pass on every poor answer of a small model.
const RESERVED_FRACTION: f64 = 0.25;
/// Most repeats beyond the share that one host may send, whatever all hosts together may send. A
/// host might send more than that within a moment.
const SPARE_PER_HOST_MAX: f64 = 2.0;
/// Number of failure domains assumed for a deployment that names none.
const DEFAULT_DOMAIN_COUNT: usize = 16;
/// Number of hosts that a host assumes in its failure domain while it has not found the others.
const DEFAULT_HOST_COUNT: usize = 256;

domain! {
    /// How many repeats one host may send to a service.
    #[derive(Copy)]
    pub struct Allowance {
        /// Repeats allowed per request.
        pub share: f64,
        /// Repeats that this host may send in a window beyond its share.
        pub spare: f64,
        /// Length of the window, in milliseconds.
        pub window_ms: u64,
    }

    /// Requests and repeats of one host for one service in the last window.
    #[derive(Default)]
    pub struct Window {
        cells: Vec<Cell>,
    }

    /// Counts of one cell of the window.
    #[derive(Copy, Default)]
    struct Cell {
        number: u64,
        requests: u32,
        repeats: u32,
    }
}

/// Repeats beyond the share of its requests that one host may send, where all hosts together may
/// send `slack`. `hosts` counts the hosts of its failure domain including itself.
///
/// Each failure domain has an equal part, which its hosts share. The sum thus stays within the
/// limit however many hosts there are and wherever they stand, and no host needs to know those of
/// other domains.
#[must_use]
pub fn spare_per_host(slack: f64, domains: Option<usize>, hosts: Option<usize>) -> f64 {
    let domains = domains.unwrap_or(DEFAULT_DOMAIN_COUNT).max(1) as f64;
    let hosts = hosts.unwrap_or(DEFAULT_HOST_COUNT).max(1) as f64;
    (slack / domains / hosts).min(SPARE_PER_HOST_MAX)
}

impl Default for Allowance {
    /// One repeat per five requests and none beyond that.
    fn default() -> Self {
        Self { share: 0.2, spare: 0.0, window_ms: 10_000 }
    }
}

impl Window {
    /// Counts a request that came in for the service.
    pub fn record_request(&mut self, allowance: &Allowance, now: Millis) {
        self.cell(allowance, now).requests += 1;
    }

    /// Takes one repeat and returns true, if one is allowed.
    pub fn take(&mut self, allowance: &Allowance, now: Millis) -> bool {
        self.take_reserving(0, allowance, now)
    }

    /// Takes one repeat, if one is allowed, for a request whose caller has received nothing of an
    /// answer yet, and reserves one for each of `streams` streams in flight.
    ///
    /// Such a request can be refused and sent again by its caller. A stream that breaks off has
    /// failed, and all work done for it is lost. Where overloaded servers reject new requests, each
    /// request uses up two repeats for nothing, and streams whose server is lost would find none
    /// left.
    pub fn take_reserving(&mut self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        let may_take = self.has_reserving(streams, allowance, now);
        self.cell(allowance, now).repeats += u32::from(may_take);
        may_take
    }

    /// Takes one repeat to get a better answer from a larger model, if one is left beyond those
    /// reserved for failures and for `streams` streams in flight.
    ///
    /// Take it before dropping the answer at hand. Otherwise another request might take the last
    /// repeat, and the caller would get neither answer.
    pub fn take_extra(&mut self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        self.exceeds_reserve(allowance, now) && self.take_reserving(streams, allowance, now)
    }

    /// Whether [`Self::take_extra`] would take a repeat now.
    #[must_use]
    pub fn would_take_extra(&self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        self.exceeds_reserve(allowance, now) && self.has_reserving(streams, allowance, now)
    }

    fn has_reserving(&self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        let reserved = (streams as f64).min(allowed * RESERVED_FRACTION);
        allowed - made >= 1.0 + reserved
    }

    /// Number of repeats left now. It may be negative, because requests leave the window before the
    /// repeats that they allowed.
    #[must_use]
    pub fn remaining(&self, allowance: &Allowance, now: Millis) -> f64 {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        allowed - made
    }

    /// Whether more repeats are left than those reserved to recover from failures.
    #[must_use]
    pub fn exceeds_reserve(&self, allowance: &Allowance, now: Millis) -> bool {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        allowed - made >= RESERVED_MAX.min(allowed * RESERVED_FRACTION).max(1.0)
    }

    /// Repeats allowed in the window that ends now, and repeats made in it.
    fn allowed_and_made(&self, allowance: &Allowance, now: Millis) -> (f64, f64) {
        let (requests, repeats) = self.counts(allowance, now);
        let allowed = f64::from(requests) * allowance.share * USED_FRACTION + allowance.spare;
        (allowed, f64::from(repeats))
    }

    /// Requests and repeats in the window that ends now.
    #[must_use]
    pub fn counts(&self, allowance: &Allowance, now: Millis) -> (u32, u32) {
        let oldest = cell_number(allowance, now).saturating_sub(CELL_COUNT as u64);
        let recent = self.cells.iter().filter(|cell| cell.number >= oldest);
        recent.fold((0, 0), |sum, cell| (sum.0 + cell.requests, sum.1 + cell.repeats))
    }

    /// Counts a repeat that another limit has allowed.
    pub fn record_repeat(&mut self, allowance: &Allowance, now: Millis) {
        self.cell(allowance, now).repeats += 1;
    }

    fn cell(&mut self, allowance: &Allowance, now: Millis) -> &mut Cell {
        let number = cell_number(allowance, now);
        self.cells.resize(CELL_COUNT + 1, Cell::default());
        let cell = &mut self.cells[(number % (CELL_COUNT as u64 + 1)) as usize];
        if cell.number != number {
            *cell = Cell { number, ..Cell::default() };
        }
        cell
    }
}

/// Number of the cell that counts at `now`, which grows with time.
fn cell_number(allowance: &Allowance, now: Millis) -> u64 {
    // Starts at 1, so that an unused cell, which has number 0, does not match.
    1 + now.0 / (allowance.window_ms / CELL_COUNT as u64).max(1)
}
