//! Restrictions that a backend server names in its answers, and whether a host may send it a
//! request.
//!
//! A server may accept only a number of requests per second from all hosts together, because it
//! says so or because it is still warming up; it may ask this host for a pause; and it may be
//! leaving. A host that sends a request checks all of this with one call. The state is that of one
//! server process: a restarted server begins with a new intake.

use crate::pause::Pause;
use crate::throttle::{Limit, Place, Throttle};
use crate::time::Millis;

/// What a server says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Requests per second that the server accepts from all hosts together; none if there is no
    /// limit.
    pub per_second: Option<f64>,
    /// Whether the server is leaving and takes no new requests.
    pub is_leaving: bool,
    /// How long the server wants no requests from this host after rejecting this one, in
    /// milliseconds; none if it did not ask for a pause.
    pub pause_ms: Option<u64>,
}

/// Which restrictions an answer changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The server accepts another number of requests per second than before.
    pub has_new_limit: bool,
    /// The server says for the first time that it is leaving.
    pub has_begun_leaving: bool,
    /// The server asks for a pause, and none was running.
    pub has_begun_pause: bool,
}

/// Whether a request may go to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may go to the server.
    Open,
    /// This host's share of the server's limit is used up for now.
    Limited,
    /// No request may go to the server before this time: it asked this host for a pause.
    Paused(Millis),
    /// No request may go to the server any more: it is leaving.
    Leaving,
}

/// The restrictions of one server process as one host knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Intake {
    /// Limit on requests per second, and this host's use of it.
    pub throttle: Throttle,
    pause: Pause,
    /// When this host learnt that the server is leaving; none if it is not.
    leaving_at: Option<Millis>,
}

impl Intake {
    /// Records an answer to a request that was sent at `sent`; `draw` is a uniform draw from 0 to 1
    /// that spreads the ends of pauses over the hosts.
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
            has_new_limit: self.throttle.record_answer(statement.per_second, sent, now),
            has_begun_leaving: statement.is_leaving && self.mark_leaving(now),
        }
    }

    /// Records a limit that another host or the server's entry in the list reports; returns whether
    /// it is new.
    pub fn learn_limit(&mut self, limit: Limit, now: Millis) -> bool {
        self.throttle.learn(limit, now)
    }

    /// Records that the server is leaving, as it said itself or another host reports; returns
    /// whether that is new. Answers don't revoke it: an answer that does not say so may be older
    /// than one that did.
    pub fn mark_leaving(&mut self, now: Millis) -> bool {
        let is_news = self.leaving_at.is_none();
        self.leaving_at.get_or_insert(now);
        is_news
    }

    /// Applies the server's reply to a status request that was sent at `requested_at`. A reply that
    /// does not say that the server is leaving revokes an older notice: a server that has restarted
    /// under the same name accepts work.
    pub fn apply_report(&mut self, is_leaving: bool, requested_at: Millis, now: Millis) {
        match is_leaving {
            true => drop(self.mark_leaving(now)),
            false if self.leaving_at.is_some_and(|at| at < requested_at) => self.leaving_at = None,
            false => {}
        }
    }

    /// Whether the server is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// When this host learnt that the server is leaving, from the server or another host; none if it
    /// has not.
    #[must_use]
    pub fn leaving_at(&self) -> Option<Millis> {
        self.leaving_at
    }

    /// Whether the server accepts nothing now, limits and trials aside. To be checked again just
    /// before a request's first byte: since the server was chosen, a connection was opened and
    /// perhaps permission requested elsewhere, and the server may have asked for a pause meanwhile.
    #[must_use]
    pub fn is_closed(&self, now: Millis) -> bool {
        self.is_leaving() || self.pause.is_running(now)
    }

    /// Until when no request may go to the server, limits aside; none if one may go now.
    #[must_use]
    pub fn closed_until(&self, now: Millis) -> Option<Millis> {
        if self.is_leaving() { Some(Millis(u64::MAX)) } else { self.pause.until(now) }
    }

    /// Whether the server has any restriction, so that [`Self::verdict`] must be asked.
    #[must_use]
    pub fn is_restricted(&self, now: Millis) -> bool {
        self.is_leaving() || self.pause.is_set() || self.throttle.is_limited(now)
    }

    /// Whether a request may go to the server now. A host without a `place`, which does not know
    /// its rank among the other hosts, has no share of a limit: otherwise it would use all of it.
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

    /// Records that this host sends the server a request.
    pub fn record_sent(&mut self, place: Option<&Place>, now: Millis) {
        self.pause.record_sent(now);
        if let Some(place) = place {
            self.throttle.record_sent(place, now);
        }
    }
}
