//! Time as a plain number, which the caller passes to every function that decides.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, or since the start of a trace.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds from `earlier` to this time; 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl Sub<u64> for Millis {
    type Output = Self;

    fn sub(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }
}
