//! Which backend server of a pool takes a request.
//!
//! By prefix affinity while the preferred server is not much busier than the rest, so that its
//! cached prompt prefixes are used; else the less busy of two drawn ones. Reports come late, and
//! every entry host reads the same ones: a choice of the least reported server would send all
//! hosts to one. Two draws, a host's own count and the fading of old reports keep them apart.

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

/// After this age a report of others' load counts half, in milliseconds.
pub const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Preferred servers tried for a prefix before affinity is given up.
pub const AFFINITY_TRIES: usize = 2;
/// How much busier than the mean a preferred server may be.
pub const AFFINITY_FACTOR: f64 = 1.25;
/// Requests that a preferred server may have over the mean in any case.
pub const AFFINITY_SLACK: f64 = 2.0;
/// Servers drawn, of which the least busy is used.
const CHOICES: u64 = 2;
/// Draws tried before all servers are looked through.
const DRAWS_TRIED: u64 = 4;

domain! {
    /// What a backend server last said of itself.
    #[derive(Copy)]
    pub struct Report {
        /// Requests it worked on, of all entry hosts.
        pub in_flight: u32,
        /// Requests it can work on.
        pub slots: u32,
        /// When it said so.
        pub at: Millis,
    }

    /// A backend server as one entry host knows it.
    #[derive(Default)]
    pub struct Server {
        /// Its name.
        pub name: Name,
        /// Requests that this entry host has there.
        pub in_flight: u32,
        /// What it last said; none if nothing.
        pub report: Option<Report>,
        /// It is leaving: no new work.
        pub draining: bool,
        /// It was found ill; no new work until then.
        pub ill_until: Millis,
        /// Hash of the name, which affinity is worked out from.
        pub hash: u64,
    }
}

impl Server {
    /// One of which nothing but the name is known.
    #[must_use]
    pub fn new(name: impl Into<Name>) -> Self {
        let name = name.into();
        Self { hash: hash(name.as_bytes()), name, ..Self::default() }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn takes_work(&self, now: Millis) -> bool {
        !self.draining && self.ill_until <= now
    }

    /// Requests it is believed to work on: our own, and others' as far as the report is fresh.
    #[must_use]
    pub fn load(&self, now: Millis) -> f64 {
        let own = f64::from(self.in_flight);
        match self.report {
            None => own,
            Some(report) => {
                let others = (f64::from(report.in_flight) - own).max(0.0);
                own + others * freshness(now.since(report.at))
            }
        }
    }
}

/// Weight of a report of this age: 1 when new, 1/2 at the half-life, then ever less.
fn freshness(age_ms: u64) -> f64 {
    REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age_ms as f64)
}

/// The index of the server to use; none if no server takes work.
///
/// `affinity` is the hash of the prompt's prefix, `draw` a uniform draw.
#[must_use]
pub fn choose(servers: &[Server], affinity: Option<u64>, draw: u64, now: Millis) -> Option<usize> {
    choose_except(servers, None, affinity, draw, now)
}

/// Like [`choose`], but not `except`, where a first try failed, unless it is the only one.
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
        // Only the excepted one is left: better than nothing.
        except.filter(|&index| servers.get(index).is_some_and(|server| server.takes_work(now)))
    })
}

fn preferred(servers: &[Server], except: Option<usize>, prefix: u64, now: Millis) -> Option<usize> {
    let mut ranked = [(0_u64, usize::MAX); AFFINITY_TRIES];
    let mut sum = 0.0;
    let mut count = 0_u32;
    for (index, server) in servers.iter().enumerate() {
        if !server.takes_work(now) || except == Some(index) {
            continue;
        }
        sum += server.load(now);
        count += 1;
        rank(&mut ranked, (mix(server.hash ^ prefix), index));
    }
    let bound = sum / f64::from(count.max(1)) * AFFINITY_FACTOR + AFFINITY_SLACK;
    let usable = ranked.iter().filter(|(_, index)| *index != usize::MAX);
    usable.map(|(_, index)| *index).find(|&index| servers[index].load(now) < bound)
}

/// Keeps the highest ranks, highest first.
fn rank(ranked: &mut [(u64, usize); AFFINITY_TRIES], mut entry: (u64, usize)) {
    for place in ranked {
        if place.1 == usize::MAX || entry.0 > place.0 {
            std::mem::swap(place, &mut entry);
        }
    }
}

fn two_choices(servers: &[Server], except: Option<usize>, draw: u64, now: Millis) -> Option<usize> {
    let drawn = |choice: u64| drawn(servers, except, mix(draw.wrapping_add(choice << 32)), now);
    let load = |index: &usize| servers[*index].load(now);
    (0..CHOICES).filter_map(drawn).min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// A usable server by draw; looks through all from a drawn one if a few draws find none.
fn drawn(servers: &[Server], except: Option<usize>, draw: u64, now: Millis) -> Option<usize> {
    let count = servers.len();
    let usable = |&index: &usize| servers[index].takes_work(now) && except != Some(index);
    let at = |seed: u64| ((u128::from(seed) * count as u128) >> 64) as usize;
    if count == 0 {
        return None;
    }
    let tries = (0..DRAWS_TRIED).map(|attempt| at(mix(draw.wrapping_add(attempt))));
    let start = at(draw);
    let all = (0..count).map(|step| (start + step) % count);
    tries.chain(all).find(usable)
}

/// A hash of bytes that is the same on every host and in every release (FNV-1a, then mixed).
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Spreads a number's bits over all 64 (the finalizer of SplitMix64).
#[must_use]
pub fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
