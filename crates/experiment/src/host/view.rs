//! One engine as one host sees it.

use policy::backlog::{Backlog, Prompt};
use policy::engine::{self, Engine};
use policy::probe::Health;
use policy::suspicion::Suspicion;
use policy::throttle::{Limit, Place, Throttle};
use policy::time::Millis;

/// Connections in a row that must time out before an engine is held ill; the same as the router's.
const TIMEOUTS_TO_ILL: u32 = 2;

/// What is believed of an engine.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// It is on the host's list.
    pub is_listed: bool,
    /// It stands in the host's failure domain.
    pub is_near: bool,
    /// Hosts of the failure domain whose turn comes before this one's while it takes only so many.
    pub before: usize,
    /// When it last said anything.
    pub heard_at: Millis,
    slots: u32,
    own: u32,
    reported: u32,
    own_then: u32,
    reported_at: Millis,
    timeouts: u32,
    health: Health,
    suspicion: Suspicion,
    backlog: Backlog,
    throttle: Throttle,
}

impl View {
    /// Of an engine that nothing is known of yet.
    #[must_use]
    pub fn new(is_near: bool, before: usize, slots: u32) -> Self {
        Self { is_listed: true, is_near, before, slots, ..Self::default() }
    }

    /// It is listed afresh, having started again: what was believed of it is forgotten.
    pub fn restarted(&mut self, warmup: Option<Limit>, now: Millis) {
        *self = Self::new(self.is_near, self.before, self.slots);
        if let Some(limit) = warmup {
            self.throttle.learn(limit, now);
        }
    }

    /// Whether it is not held ill.
    #[must_use]
    pub fn takes_work(&self, now: Millis) -> bool {
        self.is_listed && self.health.ill_until <= now
    }

    /// Whether it takes only so many requests a second.
    #[must_use]
    pub fn is_limited(&self, now: Millis) -> bool {
        self.throttle.is_limited(now)
    }

    /// See [`Throttle::has_room`].
    #[must_use]
    pub fn has_room(&self, place: &Place, now: Millis) -> bool {
        self.throttle.has_room(place, now)
    }

    /// See [`Throttle::per_second`].
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        self.throttle.per_second(now)
    }

    /// A request goes there.
    pub fn sent_to(&mut self, place: &Place, now: Millis) {
        if self.throttle.is_limited(now) {
            self.throttle.record_sent(place, now);
        }
    }

    /// As the policy is given it, for a prompt of a rank.
    #[must_use]
    pub fn known(&mut self, rank: u8, now: Millis) -> Engine {
        Engine {
            own: self.own,
            reported: self.reported,
            own_then: self.own_then,
            report_age_ms: engine::age_ms(self.reported_at, now),
            slots: self.slots,
            wait_ms: self.backlog.wait_ms(rank, now),
            cached: 0.0,
            preferred: false,
            near: self.is_near,
            suspicion: self.suspicion.share(now),
            slowdown: 0.0,
        }
    }

    /// A prompt was sent there; its number.
    pub fn sent(&mut self, prompt: Prompt, now: Millis) -> u64 {
        self.own += 1;
        self.backlog.add_own(prompt, now)
    }

    /// Another host has sent a long prompt.
    pub fn announced(&mut self, prompt: Prompt, now: Millis) {
        self.backlog.add_announced(prompt, now);
    }

    /// It said how many requests it has.
    pub fn reported(&mut self, load: u32, now: Millis) {
        self.heard_at = now;
        self.reported = load;
        self.own_then = self.own;
        self.reported_at = now;
        self.health.record_report(now);
    }

    /// An answer began.
    pub fn began(&mut self, number: u64, now: Millis) {
        self.backlog.record_answer_start(number, now);
    }

    /// A try has ended, well or not.
    pub fn left(&mut self, number: u64) {
        self.own = self.own.saturating_sub(1);
        self.backlog.remove(number);
    }

    /// A request that it worked on ended well, or did not.
    pub fn note(&mut self, failed: bool, now: Millis) {
        self.suspicion.record(failed, now);
        if !failed {
            self.timeouts = 0;
            self.health.mark_healthy();
        }
    }

    /// It refuses connections.
    pub fn refused(&mut self, now: Millis) {
        self.suspicion.record(true, now);
        self.health.record_failure(now);
    }

    /// A connection to it timed out.
    pub fn timed_out(&mut self, now: Millis) {
        self.suspicion.record(true, now);
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_TO_ILL {
            self.health.record_failure(now);
        }
    }
}
