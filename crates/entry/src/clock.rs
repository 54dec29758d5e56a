//! The one place that reads clocks; deciding functions get the time as an argument.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::time::Millis;

/// The present time.
#[must_use]
pub fn now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Milliseconds of the steady clock at the first reading. Far from 0, which stands for "never".
const STEADY_START_MS: u64 = 1_000_000;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A time that only goes forward, for this process alone. The wall clock can jump by seconds; what
/// waits, ages or expires within the process would then do so at once, or not at all.
#[must_use]
pub fn steady() -> Millis {
    let elapsed = STARTED.elapsed().as_millis();
    Millis(STEADY_START_MS + u64::try_from(elapsed).unwrap_or(u64::MAX / 2))
}
