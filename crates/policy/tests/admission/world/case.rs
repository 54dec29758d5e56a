//! What is simulated, and what came of it.

/// How the simulated load and network deviate from the usual.
#[derive(Clone, Copy)]
pub struct Case {
    pub hosts: usize,
    pub servers: usize,
    /// Requests a second of each account but the first, and how many times as much the first sends.
    pub per_second: f64,
    pub accounts: usize,
    pub first: f64,
    /// Share of callers that come back at once after a refusal.
    pub return_share: f64,
    /// Share of announcements that are lost, and their further delay.
    pub lost: f64,
    pub late_ms: u64,
    pub ms: u64,
    /// A second of each four with this many times the load.
    pub burst: f64,
    /// Whether admission control is on.
    pub is_on: bool,
    /// Whether rejected requests are sent to other servers, and announcements have a bound on bytes.
    pub is_bounded: bool,
    /// What happens to a third of the hosts for two seconds.
    pub fault: Fault,
    /// Added to the usual seed.
    pub seed: u64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Fault {
    None,
    /// They neither hear nor tell anything.
    CutOff,
    /// They start anew each half second, without what they knew and without waiting requests.
    Restarts,
    /// They are lost for good, with the requests that wait there; the others count them for a while.
    Lost,
}

pub const USUAL: Case = Case {
    hosts: 78,
    servers: 5,
    per_second: 10.0,
    accounts: 24,
    first: 1.0,
    return_share: 0.0,
    lost: 0.0,
    late_ms: 0,
    ms: 8_000,
    burst: 1.0,
    is_on: true,
    is_bounded: false,
    fault: Fault::None,
    seed: 0,
};

#[derive(Debug, Default)]
pub struct Outcome {
    pub offered: Vec<u32>,
    pub answered: Vec<u32>,
    pub in_time: u32,
    pub refused: u32,
    /// Refused while any server had a free slot.
    pub refused_beside_free: u32,
    pub rejected: u32,
    pub held_past: u32,
    pub busy: f64,
    pub announced: u32,
    pub returns: u32,
}

impl Outcome {
    /// Share of the requests of all accounts but the first that were answered.
    pub fn others(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts[1..].iter().sum::<u32>());
        sum(&self.answered) / sum(&self.offered).max(1.0)
    }
}
