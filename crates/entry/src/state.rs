//! What all requests of the process share.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use policy::limit::Usage;
use policy::name::Name;
use policy::retry::Budget;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::peer::Key;
use wire::settings;

use crate::bills::Bills;
use crate::controls::Controls;
use crate::filter::admit::Gates;
use crate::pins::Pins;
use crate::rating::Ratings;
use crate::reports::Reports;
use crate::sharded::Sharded;
use crate::snapshot::Snapshot;

/// Shared by every task of the process.
pub struct State {
    /// Its settings.
    pub settings: settings::Entry,
    /// What requests are decided by.
    pub snapshot: ArcSwap<Snapshot>,
    /// Controls to ask.
    pub controls: Controls,
    /// Bills on their way.
    pub bills: Bills,
    /// Versions of caller-chosen sessions.
    pub pins: Pins,
    /// Queues before the pools.
    pub gates: Gates,
    /// What this process granted of each account's limit.
    pub usage: Sharded<Usage>,
    /// Second tries left, by account.
    pub budgets: Sharded<Budget>,
    /// Second tries left, by pool.
    pub pool_budgets: Sharded<Budget>,
    /// Which answers are rated.
    pub ratings: Ratings,
    /// What is reported to control.
    pub reports: Reports,
    /// Streams on their way to callers.
    pub relays: TaskTracker,
    /// Requests under way.
    pub in_flight: AtomicUsize,
    /// Cancelled when the process is to take no new requests.
    pub stop: CancellationToken,
    incarnation: u64,
    requests: AtomicU64,
}

impl State {
    /// At the start of the process.
    #[must_use]
    pub fn new(settings: settings::Entry, key: &Key, stop: CancellationToken) -> Self {
        Self {
            controls: Controls::new(&settings, key),
            ratings: Ratings::new(settings.rated_share),
            settings,
            snapshot: ArcSwap::default(),
            bills: Bills::default(),
            pins: Pins::default(),
            gates: Gates::default(),
            usage: Sharded::default(),
            budgets: Sharded::default(),
            pool_budgets: Sharded::default(),
            reports: Reports::default(),
            relays: TaskTracker::new(),
            in_flight: AtomicUsize::new(0),
            stop,
            incarnation: rand::random(),
            requests: AtomicU64::new(0),
        }
    }

    /// A request id, unique for all time: host, a random number drawn at the start, a count.
    #[must_use]
    pub fn request_id(&self) -> Name {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        Name::from(format!("{}-{:016x}-{count:x}", self.settings.name, self.incarnation))
    }
}
