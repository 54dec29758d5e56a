//! Load reports of backend servers that the hosts of a failure domain pass on to each other.
//!
//! Load: a service with a few servers that many hosts share. Each host sends two or three requests a
//! second there, so the report that it has of a server is seconds old, and it sends requests to a
//! full server while another one has a free slot. A host therefore announces the reports of servers
//! that are nearly full, or no longer so. Nothing is announced while all servers have room.
//!
//! Streams occupy an engine's slots for seconds, and a host sends to one engine once in several
//! seconds. Some engines then have all slots taken while others are idle. The hosts therefore also
//! announce each noticeable change of an engine's load.

pub mod far;

use std::collections::VecDeque;

use crate::domain;
use crate::time::Millis;

/// Fraction of a server's slots in use from which it counts as nearly full.
const TIGHT_FRACTION: f64 = 0.8;
/// Least time between two announcements of a server that stays nearly full, in milliseconds. Shorter
/// than the time in which a full server ends half of its requests.
const REPEAT_MS: u64 = 30;
/// Least time between two announcements of a server's working speed, in milliseconds.
const SPEED_REPEAT_MS: u64 = 100;
/// Least time between two announcements of changes in an engine's load, in milliseconds.
const CHANGE_REPEAT_MS: u64 = 50;
/// Least change of an engine's load that is announced at once, as a fraction of its slots.
const CHANGE_FRACTION: f64 = 1.0 / 16.0;
/// Age from which a report of an engine is announced again without a change, in milliseconds, so
/// that hosts don't discount it.
const REFRESH_MS: u64 = 500;
/// Usual working time, in percent.
pub const USUAL_PERCENT: u32 = 100;
/// Difference in the working time that is announced, in percent.
const PERCENT_STEP: u32 = 25;
/// Age from which an announced report of a plain server is ignored, in milliseconds. Most requests
/// that it counts have ended by then.
const REPORT_MAX_AGE_MS: u64 = 1_000;
/// The same for a report of an engine, whose streams last for seconds.
const ENGINE_REPORT_MAX_AGE_MS: u64 = 4_000;
/// How long changes of a host's own requests are remembered, in milliseconds.
const HISTORY_MS: u64 = 250;
/// Most remembered changes of a host's own requests.
const HISTORY_MAX: usize = 256;

domain! {
    /// Load of a server as it reports it.
    #[derive(Copy, Eq)]
    pub struct Report {
        /// Requests that the server works on, and requests that wait there.
        pub requests: u32,
        /// Requests that the server works on at once.
        pub slots: u32,
        /// How long work takes at the server at this moment, in percent of the usual time.
        #[serde(default = "usual_percent")]
        pub percent: u32,
    }
}

fn usual_percent() -> u32 {
    USUAL_PERCENT
}

impl Report {
    /// Whether the server is full or nearly full.
    #[must_use]
    pub fn is_tight(&self) -> bool {
        f64::from(self.requests) >= f64::from(self.slots) * TIGHT_FRACTION
    }

    fn differs_in_load(&self, other: Self) -> bool {
        let change = self.requests.abs_diff(other.requests);
        f64::from(change) >= f64::from(self.slots) * CHANGE_FRACTION
    }

    fn differs_in_speed(&self, percent: u32) -> bool {
        self.percent.abs_diff(percent) >= PERCENT_STEP
    }
}

/// Which reports of a server are announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Those of a server that is nearly full, or no longer so.
    NearlyFull,
    /// Those that show a noticeable change of its load.
    Changes,
}

/// Decides which reports of one server a host announces.
#[derive(Clone, Copy, Debug, Default)]
pub struct Announcements {
    /// The report that the hosts know, and when it was made.
    known: Option<(Report, Millis)>,
}

impl Announcements {
    /// Whether a report that has just come with an answer is to be announced.
    #[must_use]
    pub fn is_due(&self, report: Report, scope: Scope, now: Millis) -> bool {
        let Some((known, at)) = self.known else {
            let is_notable = report.is_tight() || report.differs_in_speed(USUAL_PERCENT);
            return is_notable || scope == Scope::Changes;
        };
        let age_ms = now.since(at);
        match () {
            () if scope == Scope::Changes => {
                let has_changed = report.differs_in_load(known);
                age_ms >= REFRESH_MS || (has_changed && age_ms >= CHANGE_REPEAT_MS)
            }
            () if report.is_tight() != known.is_tight() => true,
            () if report.is_tight() => age_ms >= REPEAT_MS,
            () => report.differs_in_speed(known.percent) && age_ms >= SPEED_REPEAT_MS,
        }
    }

    /// Records that the hosts know a report, because this host or another one announced it.
    pub fn record_known(&mut self, report: Report, at: Millis) {
        if self.known.is_none_or(|(_, known_at)| at >= known_at) {
            self.known = Some((report, at));
        }
    }
}

/// Whether a host uses a report that another one announced: it must be newer than what the host has,
/// and not outdated. Reports arrive late, twice and in any order.
#[must_use]
pub fn is_news(at: Millis, known_at: Millis, scope: Scope, now: Millis) -> bool {
    let age_max = match scope {
        Scope::NearlyFull => REPORT_MAX_AGE_MS,
        Scope::Changes => ENGINE_REPORT_MAX_AGE_MS,
    };
    at > known_at && now.since(at) < age_max
}

/// A host's own requests at one server, now and a moment ago.
///
/// A report counts the host's own requests of the moment in which it was made. A host that takes an
/// older moment's requests for its present ones counts them twice, or not at all.
#[derive(Clone, Debug, Default)]
pub struct OwnRequests {
    /// When the number changed, and what it was until then; oldest first.
    changes: VecDeque<(Millis, u32)>,
}

impl OwnRequests {
    /// Records that the number changes now; `before` is the number until now.
    pub fn record_change(&mut self, before: u32, now: Millis) {
        let is_outdated = |at: Millis| now.since(at) > HISTORY_MS;
        while self.changes.front().is_some_and(|(at, _)| is_outdated(*at)) {
            self.changes.pop_front();
        }
        if self.changes.len() < HISTORY_MAX {
            self.changes.push_back((now, before));
        }
    }

    /// The number at an earlier time; `present` is the number now.
    #[must_use]
    pub fn at(&self, time: Millis, present: u32) -> u32 {
        let later = self.changes.iter().find(|(at, _)| *at > time);
        later.map_or(present, |(_, before)| *before)
    }
}
