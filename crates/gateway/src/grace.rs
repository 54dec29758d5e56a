//! Requests of a host that was told to stop. See [`policy::grace`].

use std::time::Instant;

use policy::grace;
use wire::refusal::{Code, Refusal};

use crate::codec::Codec;
use crate::job::Job;
use crate::refuse;

impl<C: Codec> Job<C> {
    /// Checks that the request may be passed on: that this host was not told to stop, or has the time
    /// for it. A request that may have run goes on in any case.
    ///
    /// # Errors
    /// The request is refused, and has not run.
    pub fn check_grace(&self) -> Result<(), Refusal> {
        let Some(grace) = self.state.grace.get() else { return Ok(()) };
        let attempts = &self.attempts;
        if attempts.may_have_run || attempts.has_stream_begun {
            return Ok(());
        }
        let now = Instant::now();
        let left_ms = grace.until.saturating_duration_since(now).as_millis() as u64;
        let since_ms = now.saturating_duration_since(grace.since).as_millis() as u64;
        let usual_ms = self.usual_answer_ms();
        let request = grace::Request {
            patience_ms: self.time_left().as_millis() as u64,
            usual_ms: (usual_ms > 0.0).then_some(usual_ms),
            may_repeat: self.route().kind.may_repeat(),
        };
        if grace::admits(&request, since_ms, left_ms) {
            return Ok(());
        }
        metrics::counter!("gateway_late_refusals_total").increment(1);
        log::info!(target: "route", request:% = self.info.id, since_ms, left_ms,
            patience_ms = request.patience_ms, usual_ms; "request not passed on, this host is stopping");
        Err(refuse::stopping())
    }

    /// The refusal of a request that is unanswered at the end of this host's time.
    #[must_use]
    pub fn refused_at_the_end(&self) -> Refusal {
        match self.attempts.has_begun {
            true => Refusal::may_have_run(
                Code::DeadlinePassed,
                "this host is stopping, and the backend server has not answered",
            ),
            false => refuse::stopping(),
        }
    }
}
