//! Processor time of a process, from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`; the kernel's interface fixes them at 100.
const TICKS_PER_SECOND: u64 = 100;
/// Number of fields between the command's closing bracket and `utime`, which `stime` follows.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Returns the user and system time that a process has used so far; none if it can't be read or the
/// id is 0.
#[must_use]
pub fn cpu_time(pid: u32) -> Option<Duration> {
    if pid == 0 {
        return None;
    }
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command may contain spaces and brackets; only numbers follow its closing bracket.
    let (_, fields) = text.rsplit_once(')')?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
