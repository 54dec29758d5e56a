//! The state that all requests of a host share.

use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use entry::sharded::Sharded;
use policy::engine::fetch::Correction;
use policy::gain::Gain;
use policy::latency::Latency;
use policy::place::mix;
use policy::prefill::Speed;
use policy::rejection::Tolerance;
use policy::repeat::{Allowance, Window};
use policy::streams::backup::UsualPrompt;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::settings::{Placement, Streams};

use crate::admission::Admission;
use crate::backend::{LoadReport, Prefill, RestrictionNotice};
use crate::detour_hosts::DetourHosts;
use crate::evidence::Tally;
use crate::far_loads::FarDomains;
use crate::hedge::Hedging;
use crate::moves::Moves;
use crate::paces::Paces;
use crate::poison::{Guard, TrialMessage};
use crate::prefixes::Prefixes;
use crate::reach::Reachability;
use crate::recall::Registry;
use crate::running::Running;
use crate::shed::Shedder;
use crate::snapshot::RoutingSnapshot;
use crate::timing::Timing;
use crate::volume::BufferBudget;

/// Queues of messages for the other hosts. The host's exchange with its peers empties them.
pub struct Outbox {
    /// Long prompts that this host has just sent, announced to the hosts of its failure domain.
    pub prefills: mpsc::Sender<Prefill>,
    /// Limits and departures that backend servers state, announced to the hosts of this failure
    /// domain.
    pub restrictions: mpsc::Sender<RestrictionNotice>,
    /// Load reports of servers that are full, or no longer so, announced to the hosts of this
    /// failure domain.
    pub loads: mpsc::Sender<LoadReport>,
    /// Requests that may crash servers and that only one host of all may try.
    pub trials: mpsc::Sender<TrialMessage>,
}

/// The hosts of one failure domain, each as a hash of its name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// The hash of this host's name.
    pub own: u64,
    /// The hashes of the other hosts' names, of those that are alive.
    pub others: Vec<u64>,
}

impl Peers {
    /// The number of hosts that come before this one in the order of hosts for a backend server.
    /// The order differs from server to server.
    #[must_use]
    pub fn count_before(&self, backend: u64) -> usize {
        let order = |host: &u64| mix(*host ^ backend);
        let own = order(&self.own);
        self.others.iter().filter(|other| order(other) < own).count()
    }
}

/// The state that all requests of a host share.
pub struct State<C> {
    /// Reads and writes the names that requests and answers use on the wire.
    pub codec: C,
    /// The routing table and backend servers that requests are decided by.
    pub snapshot: ArcSwap<RoutingSnapshot>,
    /// What placement weighs beside the request's own wait.
    pub placement: ArcSwap<Placement>,
    /// Which copies of running streams are made.
    pub streams: ArcSwap<Streams>,
    /// Longest time until this host has stopped sending requests to a leaving backend server, in
    /// milliseconds.
    pub leaving_ms: AtomicU64,
    /// When the list of backend servers was last known to be current, on the steady clock; 0 before
    /// it was read.
    pub listed_at: AtomicU64,
    /// How often this host may send requests again.
    pub allowance: ArcSwap<Allowance>,
    /// The requests and repeats of the last seconds, by service.
    pub windows: Sharded<Window>,
    /// What hedged requests are decided by.
    pub hedging: Hedging,
    /// Answer times, by route and model.
    pub timings: Sharded<Timing>,
    /// How fast engines read prompts: by model, or by service where the caller chooses the model.
    pub speeds: Sharded<Speed>,
    /// How long answers with a fetch took, compared with others, by service.
    pub fetch_times: Sharded<Correction>,
    /// The usual lengths of the prompts of streams, by service.
    pub usual_prompts: Sharded<UsualPrompt>,
    /// The prompt parts that engines have cached.
    pub prefixes: Prefixes,
    /// What other failure domains announce of the loads of their engines.
    pub far_domains: FarDomains,
    /// The pace of the streams of engines, not yet announced to the other hosts.
    pub paces: Paces,
    /// How much more confidence a model has in its answers than the smallest model of its route, by
    /// model.
    pub gains: Sharded<Gain>,
    /// How long callers have lately waited for streams to begin, as a fraction of the objective, by
    /// service.
    pub delays: Sharded<Latency>,
    /// The rate of rejected requests that servers tolerate before they crash, by service. Services
    /// whose servers tolerate any rate have none.
    pub tolerances: Sharded<Tolerance>,
    /// Counts of the answers of versions under roll-out.
    pub tally: Arc<Tally>,
    /// Streams that are being relayed to callers.
    pub relays: TaskTracker,
    /// Requests in flight on this host, including those of other hosts.
    pub in_flight: AtomicUsize,
    /// The requests in flight on this host, found by their ids.
    pub running: Arc<Running>,
    /// Messages for the other hosts.
    pub outbox: Outbox,
    /// Whether this host reaches any backend server.
    pub reach: Arc<Reachability>,
    /// Other hosts that requests go through while this host reaches no backend server.
    pub detour_hosts: DetourHosts,
    /// Requests in flight here that other hosts have passed on.
    pub registry: Arc<Registry>,
    /// The hosts of this failure domain; `None` until they are known.
    pub peers: ArcSwap<Option<Peers>>,
    /// Requests that crashed the servers that ran them, and those suspected of it.
    pub poison: Arc<Guard>,
    /// Decides which new connections are accepted.
    pub shed: Shedder,
    /// The requests that wait while all servers of their service are full.
    pub admission: Admission,
    /// The moves of running streams between engines.
    pub moves: Arc<Moves>,
    /// The memory for answers that are read whole.
    pub buffers: BufferBudget,
    /// Cancelled when the store has been read for the first time, or when reading it has failed.
    pub started: CancellationToken,
    /// Cancelled when the process stops accepting new connections.
    pub stop: CancellationToken,
    /// The time that the process has after the signal to stop; unset before.
    pub grace: OnceLock<Grace>,
    /// Cancelled shortly before the end of that time. Requests that are still unanswered get a final
    /// answer then.
    pub ending: CancellationToken,
}

/// The time that a process has after the signal to stop.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// When the signal came.
    pub since: Instant,
    /// When requests that are still unanswered get a final answer.
    pub until: Instant,
}

impl<C> State<C> {
    /// The state at the start of the process.
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
            placement: ArcSwap::default(),
            streams: ArcSwap::default(),
            leaving_ms: AtomicU64::default(),
            listed_at: AtomicU64::default(),
            allowance: ArcSwap::from_pointee(allowance),
            windows: Sharded::default(),
            hedging: Hedging::default(),
            timings: Sharded::default(),
            speeds: Sharded::default(),
            fetch_times: Sharded::default(),
            usual_prompts: Sharded::default(),
            prefixes: Prefixes::default(),
            far_domains: FarDomains::default(),
            paces: Paces::default(),
            gains: Sharded::default(),
            delays: Sharded::default(),
            tolerances: Sharded::default(),
            tally: Arc::default(),
            relays: TaskTracker::new(),
            in_flight: AtomicUsize::new(0),
            running: Arc::default(),
            shed: Shedder::new(usize::MAX),
            admission: Admission::default(),
            moves: Arc::default(),
            buffers: BufferBudget::new(None),
            started: CancellationToken::new(),
            stop,
            grace: OnceLock::new(),
            ending: CancellationToken::new(),
        }
    }
}
