//! Backend servers that fail when they must reject too many requests in a second.
//!
//! This matters when a service gets more requests than it has slots for and many hosts each believe
//! that a slot is free. The sum of what all hosts send counts, and no host sees what the others
//! send; all of them read the same report of a free slot. So rules that all hosts know divide the
//! slots of a server: each host has a quota that it may use without asking. Some hosts, fewer than
//! the requests that the server may reject in a second, may send one request beyond their quota at
//! a time if a fresh report shows free slots. A host whose request is rejected sends nothing to
//! that server for a while.

use crate::throttle::Place;
use crate::time::Millis;

/// Fraction of the rejected requests per second that a server tolerates which hosts may risk by
/// exceeding their quotas.
const RISK_FRACTION: f64 = 0.5;
/// Fraction of a server's slots that a report must show as free for a host to exceed its quota.
const FREE_FRACTION_MIN: f64 = 0.25;
/// Age at which a report no longer counts, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 500;
/// How long a request counts separately after its server was chosen, in milliseconds; then it is
/// among the host's own requests at the server.
const SENDING_MS: u64 = 30;
/// Shortest pause after a rejected request, in milliseconds. A host that uses its quota is rejected
/// at most once in each pause.
const PAUSE_MIN_MS: f64 = 1_000.0;
/// Longest pause after a rejected request, in milliseconds, before the random extension.
const PAUSE_MAX_MS: f64 = 10_000.0;

/// How many rejected requests the servers of a service tolerate, as they say in their answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tolerance {
    /// Rejected requests per second that one server tolerates; none if there is no limit.
    per_second: Option<f64>,
    at: Millis,
}

/// Requests in flight at a server as a host knows them.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of requests that the server processes at once.
    pub slots: u32,
    /// This host's requests in flight at the server.
    pub own: u32,
    /// All requests at the server by its last report, and the report's age in milliseconds; none
    /// without a report.
    pub reported: Option<(u32, u64)>,
}

/// Decides how many requests one host may send to one such server.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// When requests were sent that may not have reached the server yet.
    sent_at: Vec<Millis>,
    paused_until: Millis,
}

impl Tolerance {
    /// Records what an answer to a request sent at `sent` says; returns whether that is new. An
    /// answer without a number is ignored if another answer has named one since the request was
    /// sent: answers overtake each other.
    pub fn record_answer(&mut self, per_second: Option<f64>, sent: Millis, now: Millis) -> bool {
        let is_outdated = per_second.is_none() && sent <= self.at;
        let is_news = !is_outdated && self.per_second != per_second;
        if is_news || per_second.is_some() {
            *self = Self { per_second, at: now };
        }
        is_news
    }

    /// Rejected requests per second that one server tolerates; none if there is no limit.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }
}

impl Room {
    /// Whether a request may go to the server, which tolerates `per_second` rejected requests per
    /// second.
    #[must_use]
    pub fn is_open(&self, per_second: f64, load: &Load, place: &Place, now: Millis) -> bool {
        let sending = self.sent_at.iter().filter(|at| now.since(**at) < SENDING_MS).count();
        let load = Load { own: load.own + sending as u32, ..*load };
        let extra = u32::from(may_exceed_quota(per_second, place) && has_free_slots(&load));
        now >= self.paused_until && load.own < quota(load.slots, place) + extra
    }

    /// Records that this host sends the server a request.
    pub fn record_sent(&mut self, now: Millis) {
        self.sent_at.retain(|at| now.since(*at) < SENDING_MS);
        self.sent_at.push(now);
    }

    /// Records that the server rejected a request and begins a pause for this host. It is so long
    /// that the rejected requests of all hosts with a quota, one per pause each, stay within what
    /// the server tolerates; `draw` is a uniform draw from 0 to 1.
    pub fn record_rejection(&mut self, per_second: f64, slots: u32, draw: f64, now: Millis) {
        let ms = f64::from(slots) * 1_000.0 / per_second.max(f64::MIN_POSITIVE);
        let ms = ms.clamp(PAUSE_MIN_MS, PAUSE_MAX_MS) * (1.0 + draw);
        self.paused_until = self.paused_until.max(now + ms as u64);
    }

    /// Until when this host sends the server nothing; none if it may send now.
    #[must_use]
    pub fn paused_until(&self, now: Millis) -> Option<Millis> {
        (self.paused_until > now).then_some(self.paused_until)
    }
}

/// How many requests one host may have in flight at a server at once, whatever the other hosts do.
#[must_use]
pub fn quota(slots: u32, place: &Place) -> u32 {
    let others = place.domains.saturating_sub(1) as u32;
    // One host of each other failure domain gets a slot, if at least half of the slots remain.
    let far = if others <= slots / 2 { others } else { 0 };
    let (near, hosts) = (slots - far, place.hosts.max(1) as u32);
    match place.is_near {
        true => near / hosts + u32::from((place.before as u32) < near % hosts),
        false => u32::from(place.before == 0 && far > 0),
    }
}

/// Whether a host may exceed its quota by one request.
fn may_exceed_quota(per_second: f64, place: &Place) -> bool {
    place.is_near && (place.before as f64) < (per_second * RISK_FRACTION).floor()
}

fn has_free_slots(load: &Load) -> bool {
    load.reported.is_some_and(|(requests, age_ms)| {
        let free = f64::from(load.slots) - f64::from(requests.max(load.own));
        age_ms < REPORT_MAX_AGE_MS && free >= f64::from(load.slots) * FREE_FRACTION_MIN
    })
}
