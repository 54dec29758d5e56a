//! How often requests may be sent again, kept by each host alone.
//!
//! All hosts together may send a service so many repeats in any window: a share of the requests
//! for it, and a few more. A host that keeps to the share of its own requests, and to its part of
//! the few more, keeps the sum within the bound without asking anybody, also while it is cut off.

use crate::domain;
use crate::time::Millis;

/// Counting cells of one window; a cell is as exact as the window's edge is kept.
const CELLS: usize = 20;
/// Part of the allowed share that is used. What one host counts as sent, a backend server may
/// count a moment later, in the next window.
const SAFETY: f64 = 0.85;

/// Repeats kept for failures: so many, but no more than that part of those allowed. When many
/// servers are lost at once a host has several streams that go on elsewhere together. A host with few
/// requests, or one that has just started, has few repeats; were a fixed number kept, it would pass
/// on every poor answer of a small model.
const KEPT_MAX: f64 = 10.0;
const KEPT_PART: f64 = 0.25;
/// Repeats beyond the share that one host may send at most, however many all may: more would all be sent by
/// one host in a moment.
const SPARE_MAX: f64 = 2.0;
/// Failure domains that a deployment is taken to have which names none, and hosts that a domain is taken to
/// have by one that has not found the others.
const DOMAINS_UNKNOWN: usize = 16;
const HOSTS_UNKNOWN: usize = 256;

domain! {
    /// What all hosts together may do.
    #[derive(Copy)]
    pub struct Allowance {
        /// Repeats for each request.
        pub share: f64,
        /// Repeats beyond that, of this host.
        pub spare: f64,
        /// Length of the window, in milliseconds.
        pub window_ms: u64,
    }

    /// What this host sent one service lately.
    #[derive(Default)]
    pub struct Window {
        cells: Vec<Cell>,
    }

    /// Counts of a part of the window.
    #[derive(Copy, Default)]
    struct Cell {
        number: u64,
        requests: u32,
        repeats: u32,
    }
}

/// Repeats beyond the share of its requests that one host may send, where all hosts together may send
/// `slack`. `hosts` are those of its failure domain, itself among them.
///
/// Each failure domain has an equal part, which its hosts share. So the sum keeps to the bound however
/// many hosts there are and wherever they stand, and no host has to know of those of other domains.
#[must_use]
pub fn spare(slack: f64, domains: Option<usize>, hosts: Option<usize>) -> f64 {
    let domains = domains.unwrap_or(DOMAINS_UNKNOWN).max(1) as f64;
    let hosts = hosts.unwrap_or(HOSTS_UNKNOWN).max(1) as f64;
    (slack / domains / hosts).min(SPARE_MAX)
}

impl Default for Allowance {
    /// One repeat for five requests; no spare ones.
    fn default() -> Self {
        Self { share: 0.2, spare: 0.0, window_ms: 10_000 }
    }
}

impl Window {
    /// A request came in for the service.
    pub fn request(&mut self, allowance: &Allowance, now: Millis) {
        self.cell(allowance, now).requests += 1;
    }

    /// Takes one repeat if it is allowed.
    pub fn take(&mut self, allowance: &Allowance, now: Millis) -> bool {
        self.take_beside(0, allowance, now)
    }

    /// Takes one repeat for a request whose caller has nothing of its answer yet, beside so many
    /// streams under way.
    ///
    /// Such a request can be refused and come back; a stream that breaks off has failed, and all that
    /// was done for it is lost. Where full servers turn new requests away, each uses up two repeats for
    /// nothing, and streams whose server is lost would find none. So for each stream one is kept.
    pub fn take_beside(&mut self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        let may_take = self.has_beside(streams, allowance, now);
        self.cell(allowance, now).repeats += u32::from(may_take);
        may_take
    }

    /// Takes one repeat for a better answer beside so many streams under way, if one is left that is not
    /// needed to put a failure right: some are kept for those.
    ///
    /// It is taken before the answer that there is gets dropped: were it looked for afterwards, another
    /// request might have it, and the caller would get neither answer.
    pub fn take_spare(&mut self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        self.has_spare(allowance, now) && self.take_beside(streams, allowance, now)
    }

    /// Whether [`Self::take_spare`] would take one now.
    #[must_use]
    pub fn has_spare_beside(&self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        self.has_spare(allowance, now) && self.has_beside(streams, allowance, now)
    }

    fn has_beside(&self, streams: usize, allowance: &Allowance, now: Millis) -> bool {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        let kept = (streams as f64).min(allowed * KEPT_PART);
        allowed - made >= 1.0 + kept
    }

    /// Repeats that are left now.
    #[must_use]
    pub fn left(&self, allowance: &Allowance, now: Millis) -> f64 {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        allowed - made
    }

    /// Whether a repeat is left that is not needed to put a failure right: some are kept for those.
    #[must_use]
    pub fn has_spare(&self, allowance: &Allowance, now: Millis) -> bool {
        let (allowed, made) = self.allowed_and_made(allowance, now);
        allowed - made >= KEPT_MAX.min(allowed * KEPT_PART).max(1.0)
    }

    /// Repeats allowed in the window that ends now, and those made in it.
    fn allowed_and_made(&self, allowance: &Allowance, now: Millis) -> (f64, f64) {
        let oldest = number(allowance, now).saturating_sub(CELLS as u64);
        let recent = self.cells.iter().filter(|cell| cell.number >= oldest);
        let (requests, repeats) =
            recent.fold((0, 0), |sum, cell| (sum.0 + cell.requests, sum.1 + cell.repeats));
        let allowed = f64::from(requests) * allowance.share * SAFETY + allowance.spare;
        (allowed, f64::from(repeats))
    }

    fn cell(&mut self, allowance: &Allowance, now: Millis) -> &mut Cell {
        let number = number(allowance, now);
        self.cells.resize(CELLS + 1, Cell::default());
        let cell = &mut self.cells[(number % (CELLS as u64 + 1)) as usize];
        if cell.number != number {
            *cell = Cell { number, ..Cell::default() };
        }
        cell
    }
}

fn number(allowance: &Allowance, now: Millis) -> u64 {
    // From 1, so that a cell never used is not taken for one in use.
    1 + now.0 / (allowance.window_ms / CELLS as u64).max(1)
}
