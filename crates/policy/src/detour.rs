//! Through which other host a request is forwarded when its own host reaches no backend server.
//!
//! The critical case is that half of all hosts, or all hosts of a failure domain, lose their
//! servers at the same moment and look for others that still serve. If they all agreed on a few
//! hosts, or took the nearest, those would receive all the load. So the serving hosts of a domain
//! receive the requests of as many isolated hosts as they are themselves. The rest goes to other
//! failure domains, where each isolated host draws at random.

use crate::place::mix;
use crate::sample;

/// Number of candidates that an isolated host wants to know at least. One of them carries a
/// request; of the others, one may have been lost and one may be isolated as well.
pub const CANDIDATES_MIN: usize = 3;
/// Isolated hosts per serving host of the failure domain above which hosts of other domains are
/// looked for, which takes a store call for each host.
const ISOLATED_PER_SERVING_MAX: usize = 2;
/// Number of hosts drawn for one request, of which the least loaded is chosen.
const SAMPLE_COUNT: usize = 4;
/// Most other hosts through which one request is sent.
pub const DETOURS_MAX: u32 = 3;

/// Attempts that a host makes for a request forwarded to it.
///
/// If the host's answer is lost, the number of attempts that it made is unknown, and all that it
/// might have made count. With more than one, a lost answer would cost the caller's request more
/// attempts than were made.
pub const FORWARDED_ATTEMPTS: u32 = 1;

/// Number of requests in flight at a host; none if it is unknown.
pub type Load = Option<f64>;

/// Number of hosts of this failure domain, by whether they reach backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// Other hosts that reach backend servers.
    pub serving: usize,
    /// Hosts that reach none, this one included.
    pub isolated: usize,
}

/// Returns the number of attempts of a request after it was forwarded to a host that might make
/// `forwarded` attempts; `before` were made earlier. `reported` is the total that the host reports.
/// Without a report, all attempts that it might have made count.
#[must_use]
pub fn count_attempts(before: u32, forwarded: u32, reported: Option<u32>) -> u32 {
    reported.unwrap_or(before + forwarded).max(before)
}

/// The host to which a request is forwarded, by its index among the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// A host of this failure domain.
    SameDomain(usize),
    /// A host of another failure domain.
    OtherDomain(usize),
}

impl Domain {
    /// Share of the isolated hosts' requests that goes to hosts of this failure domain.
    fn same_domain_share(&self) -> f64 {
        (self.serving as f64 / self.isolated.max(1) as f64).min(1.0)
    }

    /// Whether an isolated host that knows `known` hosts of other failure domains should look for
    /// more.
    #[must_use]
    pub fn needs_other_domains(&self, known: usize) -> bool {
        let is_few = self.serving * ISOLATED_PER_SERVING_MAX < self.isolated
            || self.serving < CANDIDATES_MIN;
        is_few && known < CANDIDATES_MIN
    }

    /// Chooses the host to which a request is forwarded, by a draw from `seed`. `same` and `other`
    /// are the loads of the candidates in this failure domain and in others. If the drawn group is
    /// empty, the other one is used; none if both are empty.
    #[must_use]
    pub fn choose(&self, same: &[Load], other: &[Load], seed: u64) -> Option<Choice> {
        let draw = sample::uniform(mix(seed ^ 2));
        let same = || least_loaded(same, seed).map(Choice::SameDomain);
        let other = || least_loaded(other, seed).map(Choice::OtherDomain);
        match draw < self.same_domain_share() {
            true => same().or_else(other),
            false => other().or_else(same),
        }
    }
}

/// Returns the least loaded of a few hosts drawn at random. An unknown load counts as the mean of
/// the known ones.
fn least_loaded(loads: &[Load], seed: u64) -> Option<usize> {
    let (sum, known) =
        loads.iter().flatten().fold((0.0, 0.0), |(sum, known), load| (sum + load, known + 1.0));
    let load = |index: &usize| loads[*index].unwrap_or(sum / f64::max(known, 1.0));
    let drawn = sample::draw(loads.len(), SAMPLE_COUNT, seed);
    drawn.min_by(|one, other| load(one).total_cmp(&load(other)))
}
