//! The one place that reads the wall clock; deciding functions get the time as an argument.

use std::time::{SystemTime, UNIX_EPOCH};

use policy::time::Millis;

/// The present time.
#[must_use]
pub fn now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
