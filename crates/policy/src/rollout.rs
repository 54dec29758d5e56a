//! The next step of a roll-out, decided by whichever control looks at it.
//!
//! All that the decision needs stands in the roll-out's row, so a control that takes over after
//! another was interrupted goes on where it stopped.

use crate::domain;
use crate::time::Millis;

/// Deviations below the guard at which a candidate is stopped.
const STOP_DEVIATIONS: f64 = 2.0;
/// Rated answers before the guard is looked at; one bad answer must not stop a roll-out.
const STOP_RATED_MIN: u64 = 8;

domain! {
    /// What the document asks for.
    pub struct Schedule {
        /// Shares of new sessions one after another, 0 to 1.
        pub steps: Vec<f64>,
        /// Shortest stay on a step, in milliseconds.
        pub step_ms: u64,
        /// Rated answers that a step needs before the next.
        pub min_rated: u64,
        /// The share of good answers below which it stops.
        pub guard: f64,
    }

    /// The roll-out's row: where it stands.
    #[derive(Copy, Default)]
    pub struct Progress {
        /// Index of the step in force.
        pub step: usize,
        /// When it came in force, by the platform's clock.
        pub since: Millis,
        /// Answers rated before this step.
        pub rated_before: u64,
        /// It was stopped; only an operator's document starts it again.
        pub stopped: bool,
    }

    /// The candidate's ratings since the roll-out began.
    #[derive(Copy, Default)]
    pub struct Ratings {
        /// Good ones.
        pub good: u64,
        /// All.
        pub rated: u64,
        /// Whether the sequential test found it bad.
        pub quarantined: bool,
    }

    /// What to do.
    #[derive(Copy)]
    pub enum Action {
        /// Stay.
        Hold,
        /// Go on: write this as the row, if it is still the one that was read.
        Raise(Progress),
        /// Stop for good: write this as the row; the share is 0.
        Stop(Progress),
        /// The last step is in force and has been proven.
        Done,
    }
}

impl Progress {
    /// The share in force.
    #[must_use]
    pub fn share(&self, schedule: &Schedule) -> f64 {
        match schedule.steps.get(self.step) {
            Some(share) if !self.stopped => *share,
            _ => 0.0,
        }
    }
}

/// What to do with a roll-out now.
#[must_use]
pub fn next(schedule: &Schedule, progress: &Progress, ratings: &Ratings, now: Millis) -> Action {
    let proven = ratings.rated.saturating_sub(progress.rated_before) >= schedule.min_rated;
    let stayed = now.since(progress.since) >= schedule.step_ms;
    let last = progress.step + 1 >= schedule.steps.len();
    let raised = Progress {
        step: progress.step + 1,
        since: now,
        rated_before: ratings.rated,
        stopped: false,
    };
    match ratings {
        _ if progress.stopped => Action::Hold,
        _ if ratings.quarantined || below_guard(schedule, ratings) => {
            Action::Stop(Progress { stopped: true, since: now, ..*progress })
        }
        _ if !proven || !stayed || !above_guard(schedule, ratings) => Action::Hold,
        _ if last => Action::Done,
        _ => Action::Raise(raised),
    }
}

fn below_guard(schedule: &Schedule, ratings: &Ratings) -> bool {
    let rated = ratings.rated as f64;
    let deviation = (schedule.guard * (1.0 - schedule.guard) * rated).sqrt();
    let expected = schedule.guard * rated;
    let least = expected - STOP_DEVIATIONS * deviation;
    ratings.rated >= STOP_RATED_MIN && (ratings.good as f64) < least
}

/// A candidate on the guard's wrong side is not raised, though it may be too early to stop it.
fn above_guard(schedule: &Schedule, ratings: &Ratings) -> bool {
    ratings.good as f64 >= schedule.guard * ratings.rated as f64
}
