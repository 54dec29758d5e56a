//! Fetching what another engine has cached of a prompt, in place of reading it.
//!
//! Load: thousands of shared prompt tokens that many requests ask for, on a few engines. If only
//! the engine that has them cached is cheap, it becomes the bottleneck, and any other engine reads
//! them again for a tenth of a second and more. A transfer takes some milliseconds and makes the
//! target another holder. Transfers of one source run one after another, so the holder with the
//! shortest queue is used.

use crate::domain;
use crate::time::Millis;

/// Time that setting up a transfer takes, in milliseconds.
const SETUP_MS: f64 = 8.0;
/// Factor on a transfer's time between failure domains.
const FAR_FACTOR: f64 = 2.0;
/// Least ratio of the reading time that a transfer between failure domains saves to its time, where
/// the hosts of failure domains tell each other what engines have cached. Bytes between failure
/// domains have a price, and a transfer that saves about its own time gains nothing.
pub const FAR_GAIN_MIN: f64 = 2.0;
/// Weight of one answer in the learnt ratio of measured to expected time.
const ANSWER_WEIGHT: f64 = 0.1;
/// Time that is added to measured and expected times before they are compared, in milliseconds. The
/// ratio of two times of a few milliseconds says nothing.
const GRACE_MS: f64 = 30.0;
/// Bound on the ratio of one answer, and on the factor.
const FACTOR_MAX: f64 = 16.0;
/// Time in which a learnt factor halves, in milliseconds. Without it fetches that were slow once
/// would never be tried again.
const HALF_LIFE_MS: f64 = 60_000.0;

domain! {
    /// Speed of transfers between engines.
    #[derive(Copy)]
    pub struct Link {
        /// Time per token, in milliseconds.
        pub token_ms: f64,
    }

    /// An engine that has the beginning of a prompt cached.
    #[derive(Copy)]
    pub struct Source {
        /// Hash that identifies the engine.
        pub id: u64,
        /// Hash of the engine's failure domain.
        pub domain: u64,
        /// Leading tokens of the prompt that the engine has cached.
        pub tokens: f64,
        /// Transfers from the engine that this host has asked for and that have not ended.
        pub transfers: u32,
    }

    /// Identity of an engine that may fetch.
    #[derive(Copy)]
    pub struct Target {
        /// Hash that identifies the engine.
        pub id: u64,
        /// Hash of the engine's failure domain.
        pub domain: u64,
    }

    /// A transfer that a request should begin with.
    #[derive(Copy)]
    pub struct Transfer {
        /// Index of the source.
        pub source: usize,
        /// Tokens that are fetched.
        pub tokens: f64,
        /// Expected time of the transfer, in milliseconds.
        pub ms: f64,
    }

    /// Learnt ratio of the times to the heads of answers with a fetch, compared with the same ratio
    /// of answers without one.
    #[derive(Copy, Default)]
    pub struct Correction {
        fetched_log: f64,
        read_log: f64,
        /// Time to which both are decayed.
        at: Millis,
    }
}

impl Link {
    /// The link of engines that keep `token_bytes` per token and transfer `mbps` megabits per
    /// second; `None` if either is not above 0.
    #[must_use]
    pub fn new(token_bytes: f64, mbps: f64) -> Option<Self> {
        let token_ms = token_bytes * 8.0 / (mbps * 1_000.0);
        (token_bytes > 0.0 && mbps > 0.0 && token_ms.is_finite()).then_some(Self { token_ms })
    }

    /// Expected time to transfer a number of tokens within a failure domain, in milliseconds.
    #[must_use]
    pub fn ms(&self, tokens: f64) -> f64 {
        SETUP_MS + tokens * self.token_ms
    }

    /// Expected transfer from a source, for an engine that has `cached` leading tokens; `None` if
    /// the source has nothing that the engine lacks.
    #[must_use]
    pub fn transfer(
        &self,
        (index, source): (usize, &Source),
        target: &Target,
        cached: f64,
    ) -> Option<Transfer> {
        let tokens = source.tokens - cached;
        let factor = if source.domain == target.domain { 1.0 } else { FAR_FACTOR };
        let one_ms = SETUP_MS + tokens * self.token_ms * factor;
        let ms = one_ms * f64::from(source.transfers.saturating_add(1));
        (tokens > 0.0 && source.id != target.id).then_some(Transfer { source: index, tokens, ms })
    }
}

impl Correction {
    /// Records an answer whose head came after `head_ms` in place of `expected_ms`.
    pub fn record(&mut self, is_fetched: bool, head_ms: f64, expected_ms: f64, now: Millis) {
        let ratio = (head_ms.max(0.0) + GRACE_MS) / (expected_ms.max(0.0) + GRACE_MS);
        let log = ratio.clamp(1.0 / FACTOR_MAX, FACTOR_MAX).ln();
        let decay = self.decay(now);
        self.fetched_log *= decay;
        self.read_log *= decay;
        self.at = now;
        let learnt = if is_fetched { &mut self.fetched_log } else { &mut self.read_log };
        *learnt += ANSWER_WEIGHT * (log - *learnt);
    }

    /// Factor by which starts with a fetch take longer than expected, beyond starts without one.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let log = (self.fetched_log - self.read_log) * self.decay(now);
        log.exp().clamp(1.0 / FACTOR_MAX, FACTOR_MAX)
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}
