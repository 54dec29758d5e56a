//! Processor time of a process, as Linux tells it.

use std::time::Duration;

/// Ticks a second of `/proc/PID/stat`; fixed at 100 by the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// Members after the command's closing bracket before `utime` and `stime`.
const SKIPPED: usize = 11;

/// User and system time that a process has used so far; none if it can't be read.
#[must_use]
pub fn used(pid: u32) -> Option<Duration> {
    if pid == 0 {
        return None;
    }
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command may hold blanks and brackets; what follows its last bracket is numbers.
    let (_, members) = text.rsplit_once(')')?;
    let times = members.split_whitespace().skip(SKIPPED).take(2);
    let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
