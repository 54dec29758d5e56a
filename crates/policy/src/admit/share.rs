//! Each account's share of a service over all hosts together.
//!
//! Load: one account sends many times its usual load to three hundred hosts. Each host has one or
//! two requests waiting, so a fair queue on each host alone can't keep the account from taking the
//! servers. Hosts tell each other the work that accounts offer. Each host estimates from that what
//! all hosts get, and marks the part of an account's requests that is beyond its fair share. No
//! host counts for the others, and what an account leaves of its share is available to others at
//! once.

use std::collections::BTreeMap;

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

/// Weight of a new request's work in the exponential moving average.
const REQUEST_WEIGHT: f64 = 0.1;
/// Time over which offered work is averaged, in milliseconds.
const AVERAGE_MS: f64 = 1_000.0;
/// How long another host's report counts, in milliseconds: some reports may be lost.
const HEARD_MS: u64 = 3_000;
/// How long computed shares are used, in milliseconds.
const SHARES_MS: u64 = 100;
/// Most accounts in one report, those with the most work.
const REPORTED_MAX: usize = 16;
/// Most bytes of a report, and bytes of each account beside its name.
const REPORT_BYTES_MAX: usize = 1_000;
const ACCOUNT_BYTES: usize = 36;
/// Most accounts that a host remembers. Requests of further ones count as within their share.
const ACCOUNTS_MAX: usize = 4_096;
/// Most other hosts that a host remembers. They stand for all, and more would make the shares dear
/// to compute.
const HOSTS_MAX: usize = 64;
/// Least time over which a rate is estimated, in milliseconds.
const WINDOW_MIN_MS: f64 = 100.0;
/// Time in which the weight of another host's report falls to a third, in milliseconds. An account's
/// load can rise many times within a second.
const REPORT_DECAY_MS: f64 = 1_500.0;
/// Most work that a report is believed to name, in slots.
const SLOTS_MAX: f64 = 1e6;

domain! {
    /// Work that an account offers at one host.
    pub struct Offered {
        /// The account.
        pub account: Name,
        /// The slots that the work would keep in use.
        pub slots: f64,
    }
}

/// Work offered, as a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    ms: f64,
    at: Millis,
}

impl Work {
    fn slots(&self, now: Millis) -> f64 {
        self.ms * (-(now.since(self.at) as f64) / AVERAGE_MS).exp() / AVERAGE_MS
    }

    /// The same if work has been recorded only since a moment ago.
    fn slots_since(&self, since: Millis, now: Millis) -> f64 {
        let window = (now.since(since) as f64).max(WINDOW_MIN_MS);
        self.slots(now) / (1.0 - (-window / AVERAGE_MS).exp())
    }

    fn add(&mut self, ms: f64, now: Millis) {
        *self = Self { ms: self.slots(now) * AVERAGE_MS + ms, at: now };
    }
}

#[derive(Clone, Debug)]
struct Heard {
    at: Millis,
    offered: Vec<Offered>,
}

/// What accounts offer to a service, here and at other hosts.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own: BTreeMap<Name, Work>,
    /// Mean work of a request, in milliseconds.
    request_ms: f64,
    /// When the first work was recorded.
    since: Option<Millis>,
    /// When accounts without recent work were last removed.
    purged_at: Millis,
    heard: BTreeMap<Name, Heard>,
    /// The part of each account's requests that is within its share; 1 for accounts not named.
    parts: BTreeMap<Name, f64>,
    computed_at: Millis,
}

impl Shares {
    /// Records a request that came to this host, whether it is served or not.
    pub fn record(&mut self, account: &Name, work_ms: f64, now: Millis) {
        if self.since.is_none() {
            self.since = Some(now);
            self.request_ms = work_ms;
        }
        self.request_ms += REQUEST_WEIGHT * (work_ms - self.request_ms);
        if self.own.len() >= ACCOUNTS_MAX && !self.own.contains_key(account) {
            // At most once in that time, since it looks at all accounts.
            if now.since(self.purged_at) as f64 >= AVERAGE_MS {
                self.own.retain(|_, work| work.slots(now) * AVERAGE_MS >= 1.0);
                self.purged_at = now;
            }
            if self.own.len() >= ACCOUNTS_MAX {
                return;
            }
        }
        self.own.entry(account.clone()).or_default().add(work_ms, now);
    }

    /// What this host tells the others.
    #[must_use]
    pub fn report(&self, now: Millis) -> Vec<Offered> {
        let since = self.since.unwrap_or(now);
        let offered = |(account, work): (&Name, &Work)| Offered {
            account: account.clone(),
            slots: (work.slots_since(since, now) * 1_000.0).round() / 1_000.0,
        };
        let mut report: Vec<Offered> = self.own.iter().map(offered).collect();
        report.retain(|offered| offered.slots > 0.0);
        report.sort_by(|a, b| b.slots.total_cmp(&a.slots));
        report.truncate(REPORTED_MAX);
        let mut bytes = 0;
        report.retain(|offered| {
            bytes += offered.account.len() + ACCOUNT_BYTES;
            bytes <= REPORT_BYTES_MAX
        });
        report
    }

    /// Records what another host tells. A later report replaces an earlier one, so repeated ones
    /// don't count twice.
    pub fn accept(&mut self, host: &Name, mut offered: Vec<Offered>, now: Millis) {
        offered.retain(|offered| (0.0..SLOTS_MAX).contains(&offered.slots));
        offered.truncate(REPORTED_MAX);
        self.heard.retain(|_, heard| now.since(heard.at) < HEARD_MS);
        if self.heard.len() < HOSTS_MAX || self.heard.contains_key(host) {
            self.heard.insert(host.clone(), Heard { at: now, offered });
        }
    }

    /// Whether a request is within its account's share of the `slots` that all `hosts` plan for such
    /// requests; `draw` is uniform in 0 to 1.
    #[must_use]
    pub fn is_within(
        &mut self,
        account: &Name,
        (slots, hosts): (f64, u32),
        draw: f64,
        now: Millis,
    ) -> bool {
        if now.since(self.computed_at) >= SHARES_MS {
            self.parts = self.compute(slots, f64::from(hosts), now);
            self.computed_at = now;
        }
        self.parts.get(account).is_none_or(|part| draw < *part)
    }

    /// The part of each account's work that is within its share, of accounts that offer more.
    fn compute(&self, slots: f64, hosts: f64, now: Millis) -> BTreeMap<Name, f64> {
        let mut sums: BTreeMap<&Name, f64> = BTreeMap::new();
        let since = self.since.unwrap_or(now);
        for (account, work) in &self.own {
            *sums.entry(account).or_default() += work.slots_since(since, now);
        }
        let recent = self.heard.values().filter(|heard| now.since(heard.at) < HEARD_MS);
        let mut known = 1.0;
        for heard in recent {
            let weight = (-(now.since(heard.at) as f64) / REPORT_DECAY_MS).exp();
            known += weight;
            for offered in &heard.offered {
                *sums.entry(&offered.account).or_default() += offered.slots * weight;
            }
        }
        // The hosts that were heard stand for all: the balancer spreads each account's callers.
        let scale = (hosts / known).max(1.0);
        let mut demands: Vec<(&Name, f64)> =
            sums.into_iter().map(|(account, sum)| (account, sum * scale)).collect();
        demands.sort_by(|a, b| a.1.total_cmp(&b.1));
        let level = fair_level(slots, &demands);
        // A single request stands for many when few hosts have been heard. It is no sign that an
        // account offers more than its share.
        let request = Work { ms: self.request_ms, at: now };
        let chance = request.slots_since(since, now) * scale;
        let beyond = demands.into_iter().filter(|(_, demand)| *demand > level + chance);
        beyond.map(|(account, demand)| (account.clone(), level / demand)).collect()
    }
}

/// The most that an account may use so that all together use the slots; demands in ascending order.
fn fair_level(slots: f64, demands: &[(&Name, f64)]) -> f64 {
    let mut left = slots;
    for (index, (_, demand)) in demands.iter().enumerate() {
        let level = left / (demands.len() - index) as f64;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
