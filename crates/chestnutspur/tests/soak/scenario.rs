//! Kinds of faults by seed, and how the fleet is set up for each.

use serde_json::{Value, json};
use wire::routing::Warmup;

use crate::callers::Crash;

/// Kind of faults that a seed injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Connections and processes fail.
    Network,
    /// The store fails while routing tables change.
    Store,
    /// Only planned operations: restarts, changes, and servers that leave.
    Planned,
    /// Failure domains are evacuated, and restarted servers have to warm up.
    Evacuations,
    /// Servers announce in their answers that they leave, or ask for a pause.
    Announcements,
    /// Open connections fall silent for good, while new ones work; tables change and servers leave.
    Silences,
    /// The store is restored from a backup; the lost changes are written again after a while.
    Restores,
    /// Engines tell of their caches wrongly, late or not at all, while nodes that follow them end.
    CacheEvents,
    /// Backend servers slow down for some tenths of a second, and nodes send hedged requests.
    Slowdowns,
    /// Engines fetch cached parts from one another, while sources end, fall silent or are full.
    Fetches,
    /// Bursts for servers with few slots, while nodes keep requests waiting.
    Bursts,
    /// Callers that do not read and servers that do not answer, at nodes with little memory.
    SlowReaders,
    /// Streams with copies at other engines, while engines end, fall silent or leave.
    Copies,
}

impl Scenario {
    const ALL: [Self; 13] = [
        Self::Network,
        Self::Store,
        Self::Planned,
        Self::Evacuations,
        Self::Announcements,
        Self::Silences,
        Self::Restores,
        Self::CacheEvents,
        Self::Slowdowns,
        Self::Fetches,
        Self::Bursts,
        Self::SlowReaders,
        Self::Copies,
    ];

    /// Returns the scenario of a seed. Seeds below 10,000 have fixed scenarios, so that failures
    /// stay reproducible when scenarios are added.
    pub fn from_seed(seed: u64) -> Self {
        match seed {
            0..1_000 => Self::ALL[(seed % 3) as usize],
            1_000..2_000 => Self::Evacuations,
            3_000..4_000 => Self::Network,
            4_000..5_000 => Self::Silences,
            5_000..6_000 => Self::Restores,
            6_000..7_000 => Self::CacheEvents,
            7_000..8_000 => Self::Slowdowns,
            8_000..8_500 => Self::Fetches,
            8_500..9_000 => Self::Bursts,
            9_000..9_500 => Self::SlowReaders,
            9_500..10_000 => Self::Copies,
            2_000..3_000 => Self::Announcements,
            _ => Self::ALL[(seed % Self::ALL.len() as u64) as usize],
        }
    }
}

/// Memory of a node in [`Scenario::SlowReaders`], in megabytes, and the share for requests.
pub const MEMORY_MB: u64 = 100;
pub const HELD_SHARE: f64 = 0.01;

/// Warm-up of restarted servers in [`Scenario::Evacuations`].
const WARMUP: Warmup = Warmup { ms: 2_000, per_second: 4.0 };

/// Returns the optional settings of the nodes in a seed's run.
pub fn settings(seed: u64) -> Value {
    let prefix_index = json!({"entries_max": 4_096});
    match Scenario::from_seed(seed) {
        Scenario::CacheEvents => json!({"prefix_index": prefix_index}),
        Scenario::Slowdowns => json!({"hedging": {"share": 0.3}, "log": "debug"}),
        Scenario::Fetches => json!({
            "prefix_index": prefix_index, "placement": {"far": true, "far_loads": true, "fetch": true, "loads": true, "speeds": true},
        }),
        Scenario::Bursts => json!({"admission": {"waiting_max": 64}}),
        Scenario::Copies => json!({"streams": {"backup": true, "move": true}}),
        Scenario::SlowReaders => json!({
            "held_bytes": {"memory_share": HELD_SHARE}, "resources": {"memory_mb": MEMORY_MB},
        }),
        _ => json!({}),
    }
}

/// Returns what crashes backend servers in a seed's run.
pub fn crash(seed: u64) -> Crash {
    match seed {
        3_000..4_000 => Crash::PromptPart,
        10_000.. if seed % 2 == 1 => Crash::PromptPart,
        _ => Crash::Request,
    }
}

/// Returns how servers warm up in a seed's run; none if they needn't.
pub fn warmup(seed: u64) -> Option<Warmup> {
    (Scenario::from_seed(seed) == Scenario::Evacuations).then_some(WARMUP)
}
