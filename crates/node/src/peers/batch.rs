//! Load reports that are collected and announced to the other hosts in one message.

use std::time::Duration;

use gateway::backend::LoadReport;
use tokio::time::Instant;

/// How long load reports are collected before they are announced.
const DELAY: Duration = Duration::from_millis(5);
/// Most reports in one message; more would not fit a datagram.
const REPORTS_MAX: usize = 16;
/// Bytes of announced reports that a host sends in a second, to all hosts together.
const BYTES_PER_S: f64 = 8_000.0;
/// Bytes of a message without reports, and of one report.
const MESSAGE_BYTES: usize = 100;
const REPORT_BYTES: usize = 60;
/// Time whose bytes may be sent at once after a pause.
const BURST: Duration = Duration::from_secs(1);

/// Load reports that wait to be announced, the newest of each server.
#[derive(Default)]
pub struct LoadBatch {
    reports: Vec<LoadReport>,
    /// When the batch is to be sent; `None` if it is empty.
    due: Option<Instant>,
    /// Until when the bytes sent so far use up the rate.
    paid_until: Option<Instant>,
}

impl LoadBatch {
    /// Adds a report in place of an older one of the same server.
    pub fn add(&mut self, report: LoadReport, now: Instant) {
        self.reports.retain(|older| older.backend != report.backend);
        if self.reports.len() < REPORTS_MAX {
            self.reports.push(report);
        }
        let may_send = self.paid_until.map_or(now, |paid| paid.checked_sub(BURST).unwrap_or(now));
        self.due = self.due.or(Some(may_send.max(now + DELAY)));
    }

    /// Waits until the batch is to be sent; forever while it is empty.
    pub async fn wait(&self) {
        match self.due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }

    /// Empties the batch. Returns the reports that are still news, to be sent to `peers` hosts.
    pub fn take(
        &mut self,
        is_newest: impl Fn(&LoadReport) -> bool,
        peers: usize,
        now: Instant,
    ) -> Vec<LoadReport> {
        self.due = None;
        let mut reports = std::mem::take(&mut self.reports);
        reports.retain(is_newest);
        if !reports.is_empty() {
            let bytes = peers * (MESSAGE_BYTES + reports.len() * REPORT_BYTES);
            let time = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
            self.paid_until = Some(self.paid_until.map_or(now, |paid| paid.max(now)) + time);
        }
        reports
    }
}
