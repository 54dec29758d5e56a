//! Placement: chooses the backend server of a pool for a request.
//!
//! A request goes to the server that its prompt prefix prefers, whose prefix cache it can use,
//! while that server isn't much busier than the others; otherwise to the less busy of two servers
//! drawn at random. Load reports arrive late and all entry hosts read the same ones, so choosing
//! the server with the least reported load would send all hosts to one server. The random draws,
//! each host's count of its own requests and the lower weight of old reports prevent that.

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

/// Age at which a report of other hosts' load counts half, in milliseconds.
pub const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Number of preferred servers per prefix. If all of them are too busy, affinity is ignored.
pub const AFFINITY_SERVERS: usize = 2;
/// Factor on the mean load that, with [`AFFINITY_SLACK`] added, bounds the load of a preferred
/// server.
pub const AFFINITY_FACTOR: f64 = 1.25;
/// Requests that a preferred server may have in addition to [`AFFINITY_FACTOR`] times the mean
/// load.
pub const AFFINITY_SLACK: f64 = 2.0;
/// Number of servers drawn at random, of which the least busy is used.
const CHOICES: u64 = 2;
/// Maximum number of draws for an available server before all servers are scanned.
const DRAWS_MAX: u64 = 4;

domain! {
    /// A backend server's report of its own load.
    #[derive(Copy)]
    pub struct Report {
        /// Requests in flight at the server, sent by all entry hosts together.
        pub in_flight: u32,
        /// Requests that the server can work on at once.
        pub slots: u32,
        /// Time of the report.
        pub at: Millis,
    }

    /// State of a backend server as one entry host knows it.
    #[derive(Default)]
    pub struct Server {
        /// Name of the backend server.
        pub name: Name,
        /// This entry host's requests in flight at the server.
        pub in_flight: u32,
        /// Last load report; `None` before the first.
        pub report: Option<Report>,
        /// Whether the server is shutting down and accepts no new work.
        pub draining: bool,
        /// Time until which the server is considered unhealthy and gets no new work.
        pub ill_until: Millis,
        /// Hash of the name, from which affinity is computed.
        pub hash: u64,
    }
}

impl Server {
    /// Creates a server without requests or a report, available for work.
    #[must_use]
    pub fn new(name: impl Into<Name>) -> Self {
        let name = name.into();
        Self { hash: hash(name.as_bytes()), name, ..Self::default() }
    }

    /// Whether the server is available for new work.
    #[must_use]
    pub fn takes_work(&self, now: Millis) -> bool {
        !self.draining && self.ill_until <= now
    }

    /// Estimated requests in flight at the server: this host's own, plus those of other hosts
    /// weighted by the age of the report.
    #[must_use]
    pub fn load(&self, now: Millis) -> f64 {
        let own = f64::from(self.in_flight);
        match self.report {
            None => own,
            Some(report) => {
                let others = (f64::from(report.in_flight) - own).max(0.0);
                own + others * report_weight(now.since(report.at))
            }
        }
    }
}

/// Weight of a load report by its age: 1 when new, 1/2 at [`REPORT_HALF_LIFE_MS`], approaching 0.
fn report_weight(age_ms: u64) -> f64 {
    REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age_ms as f64)
}

/// Returns the index of the server to use, or `None` if no server is available.
///
/// `affinity` is the hash of the prompt's prefix, `draw` a uniform random number.
#[must_use]
pub fn choose(servers: &[Server], affinity: Option<u64>, draw: u64, now: Millis) -> Option<usize> {
    choose_except(servers, None, affinity, draw, now)
}

/// Like [`choose`], but avoids the server `except`, where a first attempt failed, unless it is the
/// only one available.
#[must_use]
pub fn choose_except(
    servers: &[Server],
    except: Option<usize>,
    affinity: Option<u64>,
    draw: u64,
    now: Millis,
) -> Option<usize> {
    let preferred = affinity.and_then(|prefix| preferred(servers, except, prefix, now));
    preferred.or_else(|| two_choices(servers, except, draw, now)).or_else(|| {
        // The excepted server is the only one available, which is better than none.
        except.filter(|&index| servers.get(index).is_some_and(|server| server.takes_work(now)))
    })
}

fn preferred(servers: &[Server], except: Option<usize>, prefix: u64, now: Millis) -> Option<usize> {
    let mut highest = [(0_u64, usize::MAX); AFFINITY_SERVERS];
    let mut sum = 0.0;
    let mut count = 0_u32;
    for (index, server) in servers.iter().enumerate() {
        if !server.takes_work(now) || except == Some(index) {
            continue;
        }
        sum += server.load(now);
        count += 1;
        insert_ranked(&mut highest, (mix(server.hash ^ prefix), index));
    }
    let bound = sum / f64::from(count.max(1)) * AFFINITY_FACTOR + AFFINITY_SLACK;
    let ranked = highest.iter().filter(|(_, index)| *index != usize::MAX);
    ranked.map(|(_, index)| *index).find(|&index| servers[index].load(now) < bound)
}

/// Inserts an entry into the list of highest hashes, highest first, dropping the lowest.
fn insert_ranked(highest: &mut [(u64, usize); AFFINITY_SERVERS], mut entry: (u64, usize)) {
    for slot in highest {
        if slot.1 == usize::MAX || entry.0 > slot.0 {
            std::mem::swap(slot, &mut entry);
        }
    }
}

fn two_choices(servers: &[Server], except: Option<usize>, draw: u64, now: Millis) -> Option<usize> {
    let drawn =
        |choice: u64| draw_available(servers, except, mix(draw.wrapping_add(choice << 32)), now);
    let load = |index: &usize| servers[*index].load(now);
    (0..CHOICES).filter_map(drawn).min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// Draws an available server. If a few draws find none, scans all servers from a drawn one on.
fn draw_available(
    servers: &[Server],
    except: Option<usize>,
    draw: u64,
    now: Millis,
) -> Option<usize> {
    let count = servers.len();
    let is_available = |&index: &usize| servers[index].takes_work(now) && except != Some(index);
    let at = |seed: u64| ((u128::from(seed) * count as u128) >> 64) as usize;
    if count == 0 {
        return None;
    }
    let draws = (0..DRAWS_MAX).map(|attempt| at(mix(draw.wrapping_add(attempt))));
    let start = at(draw);
    let all = (0..count).map(|step| (start + step) % count);
    draws.chain(all).find(is_available)
}

/// Hashes bytes with FNV-1a and [`mix`]. The result is the same on every host and in every release.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Mixes a number so that each input bit affects all 64 output bits (the finalizer of SplitMix64).
#[must_use]
pub fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
