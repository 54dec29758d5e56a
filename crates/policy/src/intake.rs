//! What a backend server says of itself in its answers, and whether a host may send it a request.
//!
//! A server may take only so many requests a second from all hosts together, because it says so or
//! because it is not warm; and it may leave. Whoever sends asks one question for all of that. Nothing
//! here outlives a start of the server: another start begins with an intake of its own.

use crate::throttle::{Limit, Place, Throttle};
use crate::time::Millis;

/// What one answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Requests a second that the server takes from all hosts together; none if any number.
    pub per_second: Option<f64>,
    /// It leaves.
    pub is_leaving: bool,
}

/// What was news in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// It takes another number of requests a second.
    pub is_limit: bool,
    /// It leaves.
    pub is_leave: bool,
}

/// Whether a request may go to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Open,
    /// This host's part of what the server takes is used up.
    Limited,
    /// Never again: the server leaves.
    Leaving,
}

/// What one host knows of how much one start of a server takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Intake {
    /// How many requests a second.
    pub throttle: Throttle,
    is_leaving: bool,
}

impl Intake {
    /// An answer came to a request that was sent then.
    pub fn heard(&mut self, statement: &Statement, sent: Millis, now: Millis) -> News {
        News {
            is_limit: self.throttle.heard(statement.per_second, sent, now),
            is_leave: statement.is_leaving && self.leave(),
        }
    }

    /// Another host says how much it takes, or its entry does; whether that is news.
    pub fn learn(&mut self, limit: Limit, now: Millis) -> bool {
        self.throttle.learn(limit, now)
    }

    /// The server leaves, as it said itself or another host says; whether that is news. It is not
    /// taken back: an answer that does not say so may be older than one that did.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the server leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether there is anything to ask [`Self::verdict`] for.
    #[must_use]
    pub fn is_restricted(&self, now: Millis) -> bool {
        self.is_leaving || self.throttle.is_limited(now)
    }

    /// Whether a request may go there now. A host that does not know where it stands among the others
    /// has no part of a limit: it would take all of it.
    #[must_use]
    pub fn verdict(&self, place: Option<&Place>, now: Millis) -> Verdict {
        let has_room = |place| self.throttle.has_room(place, now);
        match () {
            () if self.is_leaving => Verdict::Leaving,
            () if !self.throttle.is_limited(now) || place.is_some_and(has_room) => Verdict::Open,
            () => Verdict::Limited,
        }
    }

    /// The host sends it a request.
    pub fn sent(&mut self, place: Option<&Place>, now: Millis) {
        if let Some(place) = place {
            self.throttle.sent(place, now);
        }
    }
}
