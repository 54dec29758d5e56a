//! What is simulated, and what came of it.

use policy::admit::room::Kind;

/// Requests a second that the first account sends at its usual load, as a multiple of another one's.
pub const FIRST_USUALLY: f64 = 8.0;

/// Servers of a service, and what callers expect of them.
#[derive(Clone, Copy)]
pub struct Service {
    pub kind: Kind,
    pub slots: u32,
    /// Expected time that a server works on a request.
    pub work_ms: f64,
    pub deadline_ms: u64,
    /// Time until the answer is due, of usual and of long requests.
    pub objective_ms: [u64; 2],
    /// Time from the start in which the first account has its usual load at most, and requests are
    /// not counted.
    pub warmup_ms: u64,
}

pub const PLAIN: Service = Service {
    kind: Kind::Plain,
    slots: 6,
    work_ms: 60.0,
    deadline_ms: 1_500,
    objective_ms: [300; 2],
    warmup_ms: 0,
};

pub const ENGINES: Service = Service {
    kind: Kind::AnnouncedEngine,
    slots: 32,
    work_ms: 4_000.0,
    deadline_ms: 10_000,
    objective_ms: [1_000, 3_000],
    warmup_ms: 12_000,
};

/// How the simulated load and network deviate from the usual.
#[derive(Clone, Copy)]
pub struct Case {
    pub service: Service,
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
    /// Time from the start until they are late.
    pub late_from_ms: u64,
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
    service: PLAIN,
    hosts: 78,
    servers: 5,
    per_second: 10.0,
    accounts: 24,
    first: 1.0,
    return_share: 0.0,
    lost: 0.0,
    late_ms: 0,
    late_from_ms: 0,
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
    /// Answers within the objective, of each account.
    pub in_time: Vec<u32>,
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
    /// Shares of the requests of all accounts but the first, and of all accounts, that were answered
    /// within their objectives.
    pub fn in_time(&self) -> [f64; 2] {
        let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
        [1, 0].map(|first| sum(&self.in_time[first..]) / sum(&self.offered[first..]).max(1.0))
    }

    /// Share of the requests of all accounts but the first that were answered.
    pub fn others(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts[1..].iter().sum::<u32>());
        sum(&self.answered) / sum(&self.offered).max(1.0)
    }
}
