//! State that all requests and background tasks of the process share.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use policy::limit::Usage;
use policy::memory::Shares;
use policy::name::Name;
use policy::retry::Budget;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::peer::Key;
use wire::settings;

use crate::bills::Bills;
use crate::body;
use crate::controls::Controls;
use crate::filter::admit::Gates;
use crate::pins::Pins;
use crate::rating::Ratings;
use crate::reports::Reports;
use crate::sharded::Sharded;
use crate::snapshot::Snapshot;

/// State of one entry process.
pub struct State {
    /// Settings of the process, unchanged while it runs.
    pub settings: settings::Entry,
    /// Newest snapshot for decisions about requests.
    pub snapshot: ArcSwap<Snapshot>,
    /// Links to the controls.
    pub controls: Controls,
    /// Bills that controls have not confirmed yet.
    pub bills: Bills,
    /// Cache of the versions that caller-chosen sessions are pinned to.
    pub pins: Pins,
    /// Admission queue of each pool.
    pub gates: Gates,
    /// Requests that this process has granted, counted against each account's limit.
    pub usage: Sharded<Usage>,
    /// Budget for second attempts, by account.
    pub retry_budgets: Sharded<Budget>,
    /// Budget for second attempts, by pool.
    pub pool_retry_budgets: Sharded<Budget>,
    /// Memory for the beginnings of answers that are held back.
    pub beginnings: body::Budget,
    /// Selection of the answers to be rated.
    pub ratings: Ratings,
    /// Evidence and outcomes for the next report to a control.
    pub reports: Reports,
    /// Tasks that pass streams on to callers; a shutdown waits for them.
    pub relays: TaskTracker,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Cancelled when the shutdown begins; the process is no longer ready from then on.
    pub stop: CancellationToken,
    incarnation: u64,
    requests: AtomicU64,
}

impl State {
    /// State at the start of the process, without a configuration.
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
            retry_budgets: Sharded::default(),
            pool_retry_budgets: Sharded::default(),
            beginnings: body::Budget::new(
                usize::try_from(Shares::new(None).held).unwrap_or(usize::MAX),
            ),
            reports: Reports::default(),
            relays: TaskTracker::new(),
            in_flight: AtomicUsize::new(0),
            stop,
            incarnation: rand::random(),
            requests: AtomicU64::new(0),
        }
    }

    /// A new request id, unique across hosts and restarts: the host's name, a random number drawn
    /// at the start of the process, and a counter.
    #[must_use]
    pub fn request_id(&self) -> Name {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        Name::from(format!("{}-{:016x}-{count:x}", self.settings.name, self.incarnation))
    }
}
