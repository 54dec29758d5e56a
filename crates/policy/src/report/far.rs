//! Loads of engines that the hosts of a failure domain announce to those of other ones.
//!
//! Load: callers move from one failure domain to another, and its engines queue while those of
//! others are idle. One host announces the loads to each other failure domain, and the hosts that
//! receive them pass them on. In a large failure domain a message must reach hundreds of hosts, so
//! it names fewer engines there.

use crate::domain;

/// Interval of messages to one failure domain, in milliseconds. The mean load of a failure domain
/// changes within seconds, so shorter intervals would tell little more.
pub const INTERVAL_MS: u64 = 500;
/// Bytes that a host sends to other failure domains in a second, and as many that it passes on.
/// Together with those that it announces to its own they stay below 20 kB.
pub const BYTES_PER_S: usize = 6_000;
/// Longest encoding of a [`FarReport`], and of the rest of a message with names of usual length, in
/// bytes.
const REPORT_BYTES: usize = 34;
const HEADER_BYTES: usize = 260;
/// Most bytes of a message, so that it fits a datagram.
const MESSAGE_BYTES_MAX: usize = 1_200;
/// Age with which a report is announced at most, in milliseconds: requests that were sent to the
/// engine later appear in a newer report by then.
const AGE_MAX_MS: u64 = 2_000;
/// Most requests per slot that are believed.
const PER_SLOT_MAX: u32 = 16;

domain! {
    /// An engine of another failure domain: its start, the requests there, and the age of the report
    /// in milliseconds.
    #[derive(Copy, Eq)]
    pub struct FarReport(pub u64, pub u32, pub u32);
}

impl FarReport {
    /// The report of an engine with this estimated load.
    #[must_use]
    pub fn new(start: u64, load: f64, age_ms: u64) -> Self {
        Self(start, load.round() as u32, age_ms.min(AGE_MAX_MS) as u32)
    }
}

/// The requests of a report of an engine with this many slots, if they can be true.
#[must_use]
pub fn believed(requests: u32, slots: u32) -> Option<u32> {
    (requests <= slots.saturating_mul(PER_SLOT_MAX)).then_some(requests)
}

/// The requests per slot that a failure domain's percentage stands for, if they can be true.
#[must_use]
pub fn believed_per_slot(percent: u32) -> Option<f64> {
    (percent <= PER_SLOT_MAX * 100).then_some(f64::from(percent) / 100.0)
}

/// How one host's messages to the hosts of another failure domain are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fanout {
    /// Most engines in a message.
    pub engines: usize,
    /// Hosts that a message is sent to. They pass it on.
    pub receivers: usize,
}

/// How messages are sent to a failure domain of so many hosts, by a host that announces to so many
/// failure domains.
///
/// Sender and receivers may each send [`BYTES_PER_S`]. The longer a message is, the fewer hosts get it
/// from the sender, and the fewer from each of these. So a message has the length with which both
/// steps together reach all hosts. In a large failure domain even the shortest message reaches only
/// a part of them.
#[must_use]
pub fn fanout(hosts: usize, domains: usize) -> Fanout {
    let per_s = domains.max(1) * 1_000 / INTERVAL_MS as usize;
    let bytes = BYTES_PER_S as f64 / ((hosts.max(1) * per_s) as f64).sqrt();
    let bytes = (bytes as usize).clamp(HEADER_BYTES + REPORT_BYTES, MESSAGE_BYTES_MAX);
    let passed_on = BYTES_PER_S / bytes;
    let affordable = (BYTES_PER_S / per_s / bytes).max(1);
    Fanout {
        engines: (bytes - HEADER_BYTES) / REPORT_BYTES,
        receivers: hosts.div_ceil(passed_on).clamp(1, affordable),
    }
}
