//! The view that one host has of one engine.

use policy::backlog::{Backlog, Prompt};
use policy::engine::{self, Engine};
use policy::probe::Health;
use policy::suspicion::Suspicion;
use policy::throttle::{Limit, Place, Throttle};
use policy::time::Millis;

/// Consecutive connection timeouts after which an engine counts as unhealthy; same value as in the
/// router.
const UNHEALTHY_TIMEOUT_COUNT: u32 = 2;

/// What a host believes about an engine.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Whether the engine is on the host's list of backend servers.
    pub is_listed: bool,
    /// Whether the engine is in the host's failure domain.
    pub is_near: bool,
    /// Number of hosts in the failure domain that are ranked before this one when a rate-limited
    /// engine's quota is divided.
    pub before: usize,
    /// Time of the last message from the engine.
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
    /// Creates the view of a listed engine without any observations.
    #[must_use]
    pub fn new(is_near: bool, before: usize, slots: u32) -> Self {
        Self { is_listed: true, is_near, before, slots, ..Self::default() }
    }

    /// Resets the view after the engine restarted and was listed again; `warmup` limits the rate of
    /// a cold engine.
    pub fn reset(&mut self, warmup: Option<Limit>, now: Millis) {
        *self = Self::new(self.is_near, self.before, self.slots);
        if let Some(limit) = warmup {
            self.throttle.learn(limit, now);
        }
    }

    /// Whether the engine is listed and not marked unhealthy.
    #[must_use]
    pub fn takes_work(&self, now: Millis) -> bool {
        self.is_listed && self.health.ill_until <= now
    }

    /// Whether the engine's request rate is limited now.
    #[must_use]
    pub fn is_limited(&self, now: Millis) -> bool {
        self.throttle.is_limited(now)
    }

    /// Whether the rate limit admits one more request from this host; see [`Throttle::has_room`].
    #[must_use]
    pub fn has_room(&self, place: &Place, now: Millis) -> bool {
        self.throttle.has_room(place, now)
    }

    /// Requests per second that the engine accepts; `None` without a limit. See
    /// [`Throttle::per_second`].
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        self.throttle.per_second(now)
    }

    /// Counts a request against the engine's rate limit, if it has one.
    pub fn record_sent(&mut self, place: &Place, now: Millis) {
        if self.throttle.is_limited(now) {
            self.throttle.record_sent(place, now);
        }
    }

    /// Returns the engine as input to the policy, for a prompt of the given rank.
    #[must_use]
    pub fn to_policy(&mut self, rank: u8, now: Millis) -> Engine {
        Engine {
            own: self.own,
            reported: self.reported,
            own_then: self.own_then,
            report_age_ms: engine::age_ms(self.reported_at, now),
            is_announced: false,
            assumed: 0.0,
            domain_load: None,
            slots: self.slots,
            wait_ms: self.backlog.wait_ms(rank, now),
            cached: 0.0,
            preferred: false,
            near: self.is_near,
            suspicion: self.suspicion.share(now),
            slowdown: 0.0,
        }
    }

    /// Records a prompt sent to the engine and returns its number in the backlog.
    pub fn add_prompt(&mut self, prompt: Prompt, now: Millis) -> u64 {
        self.own += 1;
        self.backlog.add_own(prompt, now)
    }

    /// Records a long prompt that another host announced.
    pub fn add_announced(&mut self, prompt: Prompt, now: Millis) {
        self.backlog.add_announced(prompt, now);
    }

    /// Records the engine's report of its number of requests.
    pub fn record_load(&mut self, load: u32, now: Millis) {
        self.heard_at = now;
        self.reported = load;
        self.own_then = self.own;
        self.reported_at = now;
        self.health.record_report(now);
    }

    /// Records the beginning of the answer to prompt `number`.
    pub fn record_answer_start(&mut self, number: u64, now: Millis) {
        self.backlog.record_answer_start(number, now);
    }

    /// Removes an attempt that ended, successfully or not.
    pub fn remove_attempt(&mut self, number: u64) {
        self.own = self.own.saturating_sub(1);
        self.backlog.remove(number);
    }

    /// Records the result of a request that the engine worked on.
    pub fn record_result(&mut self, failed: bool, now: Millis) {
        self.suspicion.record(failed, now);
        if !failed {
            self.timeouts = 0;
            self.health.mark_healthy();
        }
    }

    /// Records a refused connection.
    pub fn record_refused(&mut self, now: Millis) {
        self.suspicion.record(true, now);
        self.health.record_failure(now);
    }

    /// Records a connection timeout.
    pub fn record_timeout(&mut self, now: Millis) {
        self.suspicion.record(true, now);
        self.timeouts += 1;
        if self.timeouts >= UNHEALTHY_TIMEOUT_COUNT {
            self.health.record_failure(now);
        }
    }
}
