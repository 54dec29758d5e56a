//! Records the end of an answer: settles the bill, reports the outcome, starts the rating, and
//! writes log and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::name::Name;
use wire::evidence::Outcome;

use crate::connection::Cause;
use crate::filter::admit::{Grant, Place};
use crate::filter::bill::Billing;
use crate::filter::open::Slot;
use crate::rating;
use crate::state::State;

/// The capacity that a request occupies until its answer has ended.
pub struct Permits {
    /// Counts the request among those in flight in the process.
    pub slot: Slot,
    /// Counts the request against the limit of its client account.
    pub grant: Grant,
    /// The request's place in its pool; `None` if it was given back earlier.
    pub place: Option<Place>,
}

/// A request whose answer has begun, with what its end records.
pub struct Ending {
    /// The state of the entry process.
    pub state: Arc<State>,
    /// The request's id.
    pub id: Name,
    /// The client account.
    pub account: Name,
    /// The task, or the name of the plain service.
    pub task: Name,
    /// The version that answers; `None` for a plain service.
    pub version: Option<Name>,
    /// The time at which the request arrived.
    pub started: Instant,
    /// Time from the request's arrival to the answer's first byte.
    pub first_byte: Duration,
    /// The time after which the caller no longer waits.
    pub deadline: Instant,
    /// Whether the answer is sent to the rating service.
    pub wants_rating: bool,
    /// The pending bill of the request.
    pub billing: Billing,
    /// The capacity that is given back at the end.
    pub permits: Permits,
}

impl Ending {
    /// Records a whole answer. Returns true once controls hold its bill, so that its last byte may
    /// go out; false if the deadline passed first.
    pub async fn record_whole(self, text: Option<String>) -> bool {
        let Self { state, billing, permits, .. } = self;
        // The backend server has finished, so the next request may have the place.
        drop(permits.place);
        let billed = billing.settle(self.deadline).await;
        let outcome = outcome(self.account, self.task.clone(), self.started, self.first_byte);
        state.reports.record_outcome(Outcome { answered: billed, ..outcome });
        metrics::histogram!("entry_request_seconds").record(self.started.elapsed().as_secs_f64());
        match billed {
            true => metrics::counter!("entry_answers_total", "end" => "whole").increment(1),
            false => {
                log::warn!(
                    "bills: the answer of request {} is cut off: no control holds its bill",
                    self.id
                );
                metrics::counter!("entry_answers_total", "end" => "unbilled").increment(1);
            }
        }
        match (text, self.version) {
            (Some(text), Some(version)) if self.wants_rating => {
                rating::start(&state, self.id, version, self.task, text);
            }
            _ => {}
        }
        billed
    }

    /// Records an answer that broke off after a part of it was passed on.
    pub fn record_broken(self, cause: Cause) {
        log::info!("entry: the answer of request {} broke off: {cause:?}", self.id);
        metrics::counter!("entry_answers_total", "end" => "broken").increment(1);
        if let Some(version) = &self.version {
            self.state.reports.record_call(version, &self.task, true);
        }
        let reports = &self.state.reports;
        reports.record_outcome(outcome(self.account, self.task, self.started, self.first_byte));
    }

    /// Records that the caller went away before the answer's end.
    pub fn record_caller_gone(self) {
        log::debug!("entry: the caller of request {} went away", self.id);
        metrics::counter!("entry_answers_total", "end" => "caller_gone").increment(1);
    }
}

/// The outcome of a request that was not answered.
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
