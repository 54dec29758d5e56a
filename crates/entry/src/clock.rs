//! The only place that reads clocks. Functions that take decisions get the time as an argument, so
//! that they depend on nothing but their arguments.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::time::Millis;

/// Wall-clock time in milliseconds since 1970; it can jump when the clock is set.
#[must_use]
pub fn now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Value of the steady clock at its first reading. It is far from 0, because a time of 0 stands for
/// "never".
const STEADY_START_MS: u64 = 1_000_000;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Monotonic time in milliseconds, comparable only within this process. Use it for waits, ages and
/// expiries: the wall clock can jump by seconds, and they would then end at once or never.
#[must_use]
pub fn steady() -> Millis {
    let elapsed = STARTED.elapsed().as_millis();
    Millis(STEADY_START_MS + u64::try_from(elapsed).unwrap_or(u64::MAX / 2))
}
