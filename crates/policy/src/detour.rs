//! By way of which other host a request goes whose own host reaches no backend server.
//!
//! The load this answers: half of all hosts, or all of a failure domain, lose their servers in the same
//! moment, and each of them looks for others that serve. Were they to agree on some, or to take the
//! nearest, those would get all of it. So the neighbours that serve get as many hosts' requests as they
//! are themselves, and the rest goes to other failure domains, where each host draws for itself.

use crate::place::mix;
use crate::sample;

/// Hosts that a host wants to know beside the one that it takes: one may have been lost, and one be cut
/// off as well.
pub const WANTED_MIN: usize = 3;
/// Hosts that are cut off for each neighbour that serves, from which on those of other domains are looked
/// for. It takes a call of the store for each host.
const NEIGHBOURS_MAX: usize = 2;
/// Hosts that are compared for one request.
const DRAWN: usize = 4;
/// Other hosts that one request is sent by, at most.
pub const TRIES_MAX: u32 = 3;

/// Tries that a host makes of a request that another one passes on to it.
///
/// What it made is not known where its answer is lost, and then all that it might have made count. Of more
/// than one, a lost answer would cost the caller's request more tries than were made.
pub const LENT: u32 = 1;

/// Requests under way at a host, if that is known.
pub type Load = Option<f64>;

/// Hosts of this failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// Others that serve.
    pub serving: usize,
    /// Those that are cut off, this one among them.
    pub isolated: usize,
}

/// Tries of a request that went by a host which might make so many, after so many before: as that host
/// reports, or all that it might have made.
#[must_use]
pub fn spent(before: u32, lent: u32, reported: Option<u32>) -> u32 {
    reported.unwrap_or(before + lent).max(before)
}

/// A host that a request goes by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// One of this failure domain, by its index.
    Near(usize),
    /// One of another.
    Far(usize),
}

impl Domain {
    /// Part of the requests that goes to its own hosts.
    fn near_part(&self) -> f64 {
        (self.serving as f64 / self.isolated.max(1) as f64).min(1.0)
    }

    /// Whether a host is to find some of other domains, where it knows so many.
    #[must_use]
    pub fn wants_far(&self, known: usize) -> bool {
        let is_few = self.serving * NEIGHBOURS_MAX < self.isolated || self.serving < WANTED_MIN;
        is_few && known < WANTED_MIN
    }

    /// Which host a request goes by, of those with these loads, some of them unknown; a seed draws it. One
    /// of the other kind if there is none.
    #[must_use]
    pub fn choose(&self, near: &[Load], far: &[Load], seed: u64) -> Option<Choice> {
        let draw = (mix(seed ^ 2) >> 11) as f64 / (1_u64 << 53) as f64;
        let near = || least_loaded(near, seed).map(Choice::Near);
        let far = || least_loaded(far, seed).map(Choice::Far);
        match draw < self.near_part() {
            true => near().or_else(far),
            false => far().or_else(near),
        }
    }
}

/// The least loaded of some that are drawn; an unknown load is taken for what the others have.
fn least_loaded(loads: &[Load], seed: u64) -> Option<usize> {
    let (sum, known) =
        loads.iter().flatten().fold((0.0, 0.0), |(sum, known), load| (sum + load, known + 1.0));
    let load = |index: &usize| loads[*index].unwrap_or(sum / f64::max(known, 1.0));
    let drawn = sample::draw(loads.len(), DRAWN, seed);
    drawn.min_by(|one, other| load(one).total_cmp(&load(other)))
}
