//! What is noted when an answer has ended: bill, outcome, rating, log, metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::name::Name;
use wire::evidence::Outcome;

use crate::connection::Cause;
use crate::filter::admit::{Granted, Place};
use crate::filter::bill::Billing;
use crate::filter::open::Slot;
use crate::rating;
use crate::state::State;

/// What a request holds until its answer has ended.
pub struct Held {
    /// Among the requests of the process.
    pub slot: Slot,
    /// Among those of its account.
    pub granted: Granted,
    /// In its pool.
    pub place: Option<Place>,
}

/// Everything that an answer's end needs to know.
pub struct Ending {
    /// The process.
    pub state: Arc<State>,
    /// The request's id.
    pub id: Name,
    /// The client account.
    pub account: Name,
    /// The task, or the service's name.
    pub task: Name,
    /// The version that answers; none for a plain service.
    pub version: Option<Name>,
    /// When the request came in.
    pub started: Instant,
    /// When the answer's first byte came.
    pub first_byte: Duration,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// Whether the answer is to be rated.
    pub rate: bool,
    /// Its one bill.
    pub billing: Billing,
    /// Given back at the end.
    pub held: Held,
}

impl Ending {
    /// The answer is whole: true once its bill is held and its last byte may go out.
    pub async fn whole(self, text: Option<String>) -> bool {
        let Self { state, billing, held, .. } = self;
        // The backend server is done, so the place is free for the next request.
        drop(held.place);
        let billed = billing.settle(self.deadline).await;
        let outcome = outcome(self.account, self.task.clone(), self.started, self.first_byte);
        state.reports.record_outcome(Outcome { answered: billed, ..outcome });
        metrics::histogram!("entry_request_seconds").record(self.started.elapsed().as_secs_f64());
        match billed {
            true => metrics::counter!("entry_answers_total", "end" => "whole").increment(1),
            false => {
                log::warn!("bills: the answer of request {} breaks: its bill is not held", self.id);
                metrics::counter!("entry_answers_total", "end" => "unbilled").increment(1);
            }
        }
        match (text, self.version) {
            (Some(text), Some(version)) if self.rate => {
                rating::start(&state, self.id, version, self.task, text);
            }
            _ => {}
        }
        billed
    }

    /// The answer broke after some of it was passed on.
    pub fn broken(self, cause: Cause) {
        log::info!("entry: the answer of request {} breaks: {cause:?}", self.id);
        metrics::counter!("entry_answers_total", "end" => "broken").increment(1);
        if let Some(version) = &self.version {
            self.state.reports.record_call(version, &self.task, true);
        }
        let reports = &self.state.reports;
        reports.record_outcome(outcome(self.account, self.task, self.started, self.first_byte));
    }

    /// The caller went away before the answer's end.
    pub fn caller_gone(self) {
        log::debug!("entry: the caller of request {} went away", self.id);
        metrics::counter!("entry_answers_total", "end" => "caller_gone").increment(1);
    }
}

/// An outcome that was not answered.
#[must_use]
pub fn outcome(account: Name, task: Name, started: Instant, first_byte: Duration) -> Outcome {
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Outcome {
        account,
        task,
        answered: false,
        first_byte_ms: ms(first_byte),
        total_ms: ms(started.elapsed()),
    }
}
