//! Backend servers that fall over when they have to turn away too many requests in a second.
//!
//! The load this answers: more requests than a service has room for, and many hosts that each believe
//! to see room. What all of them do together counts, and no host sees what the others send; a report of
//! a free place is read by all of them. So the places of a server are divided by rules that all hosts
//! know: each has a part that it may fill without asking. Some hosts, fewer than the requests that the
//! server may turn away in a second, send one more at a time by a fresh report of free places; whoever is
//! turned away stays away for a while.

use crate::throttle::Place;
use crate::time::Millis;

/// Part of the rejected requests that a server tolerates which hosts risk beyond their parts.
const RISKED: f64 = 0.5;
/// Part of the places that must be free by a report for a host to send beyond its own part.
const FREE_MIN: f64 = 0.25;
/// A report is believed for this long, in milliseconds.
const REPORT_MS: u64 = 500;
/// From the choice of a server until its request counts as under way there, in milliseconds.
const CHOSEN_MS: u64 = 30;
/// Shortest and longest pause after a rejected request, in milliseconds. Of the hosts that fill their
/// parts each is turned away once in it at most.
const PAUSE_MS: f64 = 1_000.0;
const PAUSE_MAX_MS: f64 = 10_000.0;

/// What the servers of a service say of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tolerance {
    /// Rejected requests a second that one of them tolerates; none if any number.
    per_second: Option<f64>,
    at: Millis,
}

/// Requests at a server as a host knows them.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests that it works on at once.
    pub slots: u32,
    /// This host's requests there.
    pub own: u32,
    /// All requests there by its last report, and the report's age in milliseconds.
    pub reported: Option<(u32, u64)>,
}

/// What one host may send to one such server.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// When it was last chosen for requests that may not have come there yet.
    chosen: Vec<Millis>,
    paused_until: Millis,
}

impl Tolerance {
    /// An answer came to a request that was sent then; whether it says something new. One that does not
    /// say it says nothing if it was named since: answers overtake each other.
    pub fn record_answer(&mut self, per_second: Option<f64>, sent: Millis, now: Millis) -> bool {
        let is_outdated = per_second.is_none() && sent <= self.at;
        let is_news = !is_outdated && self.per_second != per_second;
        if is_news || per_second.is_some() {
            *self = Self { per_second, at: now };
        }
        is_news
    }

    /// Rejected requests a second that a server tolerates; none if any number.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }
}

impl Room {
    /// Whether a request may go there.
    #[must_use]
    pub fn is_open(&self, per_second: f64, load: &Load, place: &Place, now: Millis) -> bool {
        let chosen = self.chosen.iter().filter(|at| now.since(**at) < CHOSEN_MS).count();
        let load = Load { own: load.own + chosen as u32, ..*load };
        let risked = u32::from(may_risk(per_second, place) && has_free(&load));
        now >= self.paused_until && load.own < quota(load.slots, place) + risked
    }

    /// A request goes there.
    pub fn record_sent(&mut self, now: Millis) {
        self.chosen.retain(|at| now.since(*at) < CHOSEN_MS);
        self.chosen.push(now);
    }

    /// It has turned a request away: this host stays away for so long that all hosts with a part of it,
    /// turned away in turn, don't add up to more than it tolerates; `draw` is a uniform draw.
    pub fn record_rejection(&mut self, per_second: f64, slots: u32, draw: f64, now: Millis) {
        let ms = f64::from(slots) * 1_000.0 / per_second.max(f64::MIN_POSITIVE);
        let ms = ms.clamp(PAUSE_MS, PAUSE_MAX_MS) * (1.0 + draw);
        self.paused_until = self.paused_until.max(now + ms as u64);
    }

    /// Until when nothing goes there; none if something may.
    #[must_use]
    pub fn paused_until(&self, now: Millis) -> Option<Millis> {
        (self.paused_until > now).then_some(self.paused_until)
    }
}

/// Requests of one host that may be under way at a server at once, whatever the others do.
#[must_use]
pub fn quota(slots: u32, place: &Place) -> u32 {
    let others = place.domains.saturating_sub(1) as u32;
    // One host of each other domain has a place, where that leaves most of them.
    let far = if others <= slots / 2 { others } else { 0 };
    let (near, hosts) = (slots - far, place.hosts.max(1) as u32);
    match place.is_near {
        true => near / hosts + u32::from((place.before as u32) < near % hosts),
        false => u32::from(place.before == 0 && far > 0),
    }
}

/// Whether a host may send more than its part.
fn may_risk(per_second: f64, place: &Place) -> bool {
    place.is_near && (place.before as f64) < (per_second * RISKED).floor()
}

fn has_free(load: &Load) -> bool {
    load.reported.is_some_and(|(requests, age_ms)| {
        let free = f64::from(load.slots) - f64::from(requests.max(load.own));
        age_ms < REPORT_MS && free >= f64::from(load.slots) * FREE_MIN
    })
}
