//! What a backend server says of itself in its answers, and whether a host may send it a request.
//!
//! A server may take only so many requests a second from all hosts together, because it says so or
//! because it is not warm; it may want a pause from this host; and it may leave. Whoever sends asks one question for all of that. Nothing
//! here outlives a start of the server: another start begins with an intake of its own.

use crate::pause::Pause;
use crate::throttle::{Limit, Place, Throttle};
use crate::time::Millis;

/// What one answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Requests a second that the server takes from all hosts together; none if any number.
    pub per_second: Option<f64>,
    /// It leaves.
    pub is_leaving: bool,
    /// It has turned the request away and wants nothing from this host for so long, in milliseconds.
    pub pause_ms: Option<u64>,
}

/// What was news in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// It takes another number of requests a second.
    pub has_new_limit: bool,
    /// It leaves.
    pub has_begun_leaving: bool,
    /// It wants a pause.
    pub has_begun_pause: bool,
}

/// Whether a request may go to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Open,
    /// This host's part of what the server takes is used up.
    Limited,
    /// Not before then: the server wants a pause from this host.
    Paused(Millis),
    /// Never again: the server leaves.
    Leaving,
}

/// What one host knows of how much one start of a server takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Intake {
    /// How many requests a second.
    pub throttle: Throttle,
    pause: Pause,
    /// When it said so, if it leaves.
    leaving_at: Option<Millis>,
}

impl Intake {
    /// An answer came to a request that was sent then; `draw` is a uniform draw.
    pub fn record_answer(
        &mut self,
        statement: &Statement,
        sent: Millis,
        draw: f64,
        now: Millis,
    ) -> Changes {
        if statement.pause_ms.is_none() {
            self.pause.record_answer(sent);
        }
        Changes {
            has_begun_pause: statement.pause_ms.is_some_and(|ms| self.pause.extend(ms, draw, now)),
            has_new_limit: self.throttle.heard(statement.per_second, sent, now),
            has_begun_leaving: statement.is_leaving && self.mark_leaving(now),
        }
    }

    /// Another host says how much it takes, or its entry does; whether that is news.
    pub fn learn_limit(&mut self, limit: Limit, now: Millis) -> bool {
        self.throttle.learn(limit, now)
    }

    /// The server leaves, as it said itself or another host says; whether that is news. It is not
    /// taken back: an answer that does not say so may be older than one that did.
    pub fn mark_leaving(&mut self, now: Millis) -> bool {
        let is_news = self.leaving_at.is_none();
        self.leaving_at.get_or_insert(now);
        is_news
    }

    /// The server reports whether it leaves, asked for just that at a time. A report that was asked for
    /// later than it last said so is newer: one that has started again under its name takes work.
    pub fn apply_report(&mut self, is_leaving: bool, asked: Millis, now: Millis) {
        match is_leaving {
            true => drop(self.mark_leaving(now)),
            false if self.leaving_at.is_some_and(|at| at < asked) => self.leaving_at = None,
            false => {}
        }
    }

    /// Whether the server leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// Whether the server has said since a request was meant for it that it takes nothing. Between that
    /// choice and the first byte a connection is opened, and leave may be asked for elsewhere.
    #[must_use]
    pub fn is_closed(&self, now: Millis) -> bool {
        self.is_leaving() || self.pause.is_running(now)
    }

    /// Until when nothing may go there, limits aside; none if something may.
    #[must_use]
    pub fn closed_until(&self, now: Millis) -> Option<Millis> {
        if self.is_leaving() { Some(Millis(u64::MAX)) } else { self.pause.until(now) }
    }

    /// Whether there is anything to ask [`Self::verdict`] for.
    #[must_use]
    pub fn is_restricted(&self, now: Millis) -> bool {
        self.is_leaving() || self.pause.is_set() || self.throttle.is_limited(now)
    }

    /// Whether a request may go there now. A host that does not know where it stands among the others
    /// has no part of a limit: it would take all of it.
    #[must_use]
    pub fn verdict(&self, place: Option<&Place>, now: Millis) -> Verdict {
        let has_room = |place| self.throttle.has_room(place, now);
        match self.pause.until(now) {
            _ if self.is_leaving() => Verdict::Leaving,
            Some(until) => Verdict::Paused(until),
            None if !self.throttle.is_limited(now) || place.is_some_and(has_room) => Verdict::Open,
            None => Verdict::Limited,
        }
    }

    /// The host sends it a request.
    pub fn record_sent(&mut self, place: Option<&Place>, now: Millis) {
        self.pause.record_sent(now);
        if let Some(place) = place {
            self.throttle.sent(place, now);
        }
    }
}
