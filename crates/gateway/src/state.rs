//! What all requests share.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use arc_swap::ArcSwap;
use entry::sharded::Sharded;
use policy::gain::Gain;
use policy::patience::Patience;
use policy::place::mix;
use policy::prefill::Speed;
use policy::rejection::Tolerance;
use policy::repeat::{Allowance, Window};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::backend::{Prefill, RestrictionNotice};
use crate::buffers::BufferBudget;
use crate::detour_hosts::DetourHosts;
use crate::evidence::Tally;
use crate::paces::Paces;
use crate::poison::{Guard, TrialMessage};
use crate::reach::Reachability;
use crate::recall::Registry;
use crate::shed::Shedder;
use crate::snapshot::RoutingSnapshot;
use crate::timing::Timing;

/// What requests have for the other hosts.
pub struct Outbox {
    /// Long prompts that were just sent, for the failure domain.
    pub prefills: mpsc::Sender<Prefill>,
    /// What backend servers say of how much they take, for the failure domain.
    pub restrictions: mpsc::Sender<RestrictionNotice>,
    /// Requests that one host of all may try.
    pub trials: mpsc::Sender<TrialMessage>,
}

/// Hosts of one failure domain, each as a hash of its name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// This host.
    pub own: u64,
    /// The others that live.
    pub others: Vec<u64>,
}

impl Peers {
    /// Hosts whose turn at a backend server comes before this one's.
    #[must_use]
    pub fn count_before(&self, backend: u64) -> usize {
        let turn = |host: &u64| mix(*host ^ backend);
        let own = turn(&self.own);
        self.others.iter().filter(|other| turn(other) < own).count()
    }
}

/// Shared by every request.
pub struct State<C> {
    /// How the wire spells what requests say.
    pub codec: C,
    /// What requests are decided by.
    pub snapshot: ArcSwap<RoutingSnapshot>,
    /// How often requests may be sent again.
    pub allowance: ArcSwap<Allowance>,
    /// What was sent again lately, by service.
    pub windows: Sharded<Window>,
    /// Times of answers, by route and model.
    pub timings: Sharded<Timing>,
    /// How fast engines read prompts, by model, or by service where the caller chooses the model.
    pub speeds: Sharded<Speed>,
    /// How fast engines' streams were, for the other hosts.
    pub paces: Paces,
    /// How much more confidence models have than the smallest of a route, by model.
    pub gains: Sharded<Gain>,
    /// How long callers wait for streams to begin lately, as parts of their objectives, by service.
    pub delays: Sharded<Patience>,
    /// Rejected requests that servers tolerate which fall over beyond that, by service.
    pub tolerances: Sharded<Tolerance>,
    /// How versions under roll-out answer.
    pub tally: Tally,
    /// Streams on their way to callers.
    pub relays: TaskTracker,
    /// Requests under way.
    pub in_flight: AtomicUsize,
    /// What the other hosts are to hear.
    pub outbox: Outbox,
    /// Whether this host reaches any backend server.
    pub reach: Arc<Reachability>,
    /// Other hosts that requests go by when it reaches none.
    pub detour_hosts: DetourHosts,
    /// Requests of other hosts that are under way here.
    pub registry: Arc<Registry>,
    /// The other hosts of the failure domain; none until it is known who is there.
    pub peers: ArcSwap<Option<Peers>>,
    /// Requests that were lost with their servers.
    pub poison: Arc<Guard>,
    /// Which new connections are taken.
    pub shed: Shedder,
    /// Bytes of answers that are read whole.
    pub buffers: BufferBudget,
    /// Cancelled when the store has been read for the first time, or could not be.
    pub started: CancellationToken,
    /// Cancelled when the process is to take no new connections.
    pub stop: CancellationToken,
}

impl<C> State<C> {
    /// At the start of the process.
    #[must_use]
    pub fn new(codec: C, allowance: Allowance, outbox: Outbox, stop: CancellationToken) -> Self {
        let poison = Arc::new(Guard::new(outbox.trials.clone()));
        Self {
            reach: Arc::clone(&poison.reach),
            poison,
            outbox,
            peers: ArcSwap::default(),
            detour_hosts: DetourHosts::default(),
            registry: Arc::default(),
            codec,
            snapshot: ArcSwap::default(),
            allowance: ArcSwap::from_pointee(allowance),
            windows: Sharded::default(),
            timings: Sharded::default(),
            speeds: Sharded::default(),
            paces: Paces::default(),
            gains: Sharded::default(),
            delays: Sharded::default(),
            tolerances: Sharded::default(),
            tally: Tally::default(),
            relays: TaskTracker::new(),
            in_flight: AtomicUsize::new(0),
            shed: Shedder::new(usize::MAX),
            buffers: BufferBudget::new(None),
            started: CancellationToken::new(),
            stop,
        }
    }
}
