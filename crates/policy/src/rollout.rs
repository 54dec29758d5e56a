//! The next step of a candidate version's roll-out, decided by whichever control runs it.
//!
//! The decision needs nothing but the roll-out's row and the candidate's ratings, so a control that
//! takes over from an interrupted one continues where that one stopped.

use crate::domain;
use crate::time::Millis;

/// How far below the guard the good answers of a candidate are when it is stopped, in standard
/// deviations.
const STOP_DEVIATIONS: f64 = 2.0;
/// Rated answers that a candidate needs before it can be stopped for missing the guard: one bad
/// answer must not stop a roll-out.
const STOP_RATED_MIN: u64 = 8;

domain! {
    /// The steps of a roll-out and what each step requires, from the operators' document.
    pub struct Schedule {
        /// Share of new sessions, 0 to 1, that the candidate gets at each step in turn.
        pub steps: Vec<f64>,
        /// Shortest time at each step, in milliseconds.
        pub step_ms: u64,
        /// Rated answers that the candidate needs at each step before the next one.
        pub min_rated: u64,
        /// Share of good answers, 0 to 1, that the candidate must reach.
        pub guard: f64,
    }

    /// The roll-out's row in the platform's store: how far the roll-out has come.
    #[derive(Copy, Default)]
    pub struct Progress {
        /// Index of the current step in [`Schedule::steps`].
        pub step: usize,
        /// When the current step began, by the platform's clock.
        pub since: Millis,
        /// Rated answers of the candidate before the current step.
        pub rated_before: u64,
        /// Whether the roll-out was stopped; only a new document of an operator starts it again.
        pub stopped: bool,
    }

    /// The candidate's ratings since the roll-out began.
    #[derive(Copy, Default)]
    pub struct Ratings {
        /// Answers that were rated good.
        pub good: u64,
        /// All rated answers.
        pub rated: u64,
        /// Whether the sequential test found the candidate bad.
        pub quarantined: bool,
    }

    /// What a control does with a roll-out.
    #[derive(Copy)]
    pub enum Action {
        /// Leave the roll-out at its step.
        Hold,
        /// Begin the next step: write this progress, unless the row has changed since it was read.
        Raise(Progress),
        /// Stop for good: write this progress, whose share is 0.
        Stop(Progress),
        /// Nothing is left to do: the last step has met its requirements.
        Done,
    }
}

impl Progress {
    /// The share of new sessions that the candidate gets now, 0 to 1; 0 once stopped.
    #[must_use]
    pub fn share(&self, schedule: &Schedule) -> f64 {
        match schedule.steps.get(self.step) {
            Some(share) if !self.stopped => *share,
            _ => 0.0,
        }
    }
}

/// What a control does with a roll-out now, given all of the candidate's ratings.
#[must_use]
pub fn next(schedule: &Schedule, progress: &Progress, ratings: &Ratings, now: Millis) -> Action {
    let is_proven = ratings.rated.saturating_sub(progress.rated_before) >= schedule.min_rated;
    let has_stayed = now.since(progress.since) >= schedule.step_ms;
    let is_last = progress.step + 1 >= schedule.steps.len();
    let raised = Progress {
        step: progress.step + 1,
        since: now,
        rated_before: ratings.rated,
        stopped: false,
    };
    match ratings {
        _ if progress.stopped => Action::Hold,
        _ if ratings.quarantined || is_below_guard(schedule, ratings) => {
            Action::Stop(Progress { stopped: true, since: now, ..*progress })
        }
        _ if !is_proven || !has_stayed || !is_above_guard(schedule, ratings) => Action::Hold,
        _ if is_last => Action::Done,
        _ => Action::Raise(raised),
    }
}

fn is_below_guard(schedule: &Schedule, ratings: &Ratings) -> bool {
    let rated = ratings.rated as f64;
    let deviation = (schedule.guard * (1.0 - schedule.guard) * rated).sqrt();
    let expected = schedule.guard * rated;
    let least = expected - STOP_DEVIATIONS * deviation;
    ratings.rated >= STOP_RATED_MIN && (ratings.good as f64) < least
}

/// Whether a candidate may go to the next step. One that misses the guard may not, even while there
/// are too few ratings to stop it.
fn is_above_guard(schedule: &Schedule, ratings: &Ratings) -> bool {
    ratings.good as f64 >= schedule.guard * ratings.rated as f64
}
