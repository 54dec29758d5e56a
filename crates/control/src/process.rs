//! All controllers of one process, and their start.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use metrics_exporter_prometheus::PrometheusHandle;
use policy::revision::Revision;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::gossip::Digest;

use crate::bills::Ledger;
use crate::node::{self, Node};
use crate::operators::console::session::Sessions;
use crate::shards::Shards;
use crate::{configuration, exposure, gossip, hosts, quarantine, view};

/// The controllers.
pub struct Process {
    /// Who it is.
    pub node: Arc<Node>,
    /// The generation in force.
    pub configuration: Arc<configuration::Controller>,
    /// The host list.
    pub hosts: Arc<hosts::Controller>,
    /// Exchanges with peers.
    pub gossip: Arc<gossip::Controller>,
    /// Verdicts on versions.
    pub exposure: Arc<exposure::Controller>,
    /// What entries follow.
    pub views: Arc<view::Controller>,
    /// Claims and pins.
    pub shards: Arc<Shards>,
    /// Bills.
    pub ledger: Arc<Ledger>,
    /// Signed-in operators.
    pub sessions: Sessions,
    /// Metrics of the process.
    pub metrics: PrometheusHandle,
}

impl Process {
    /// Makes the controllers; nothing runs yet but shards and ledger.
    #[must_use]
    pub fn new(node: Arc<Node>, metrics: PrometheusHandle) -> Arc<Self> {
        let configuration = Arc::new(configuration::Controller::new(node.clone()));
        let hosts = Arc::new(hosts::Controller::new(node.clone()));
        let gossip =
            Arc::new(gossip::Controller::new(node.clone(), configuration.clone(), hosts.clone()));
        let exposure = Arc::new(exposure::Controller::new(gossip.clone(), gossip.burn.clone()));
        let shards = Shards::start(node.clone());
        let ledger = Ledger::start(node.clone());
        let views =
            Arc::new(view::Controller::new(gossip.clone(), exposure.clone(), ledger.clone()));
        Arc::new(Self {
            node,
            configuration,
            hosts,
            gossip,
            exposure,
            views,
            shards,
            ledger,
            sessions: Sessions::default(),
            metrics,
        })
    }

    /// Whether entries may follow it: a generation to serve, and a host list, without which an
    /// entry that has just started would know of no backend server.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.configuration.ready() && self.hosts.revision() > Revision::NONE
    }

    /// Runs all loops until asked to stop.
    pub fn run(self: &Arc<Self>, tasks: &TaskTracker, stop: &CancellationToken) {
        // Before anything can arrive.
        let arrivals = self.gossip.arrivals();
        let loops = [
            tasks.spawn(until(stop.clone(), self.gossip.clone().run())),
            tasks.spawn(until(stop.clone(), self.gossip.clone().push())),
            tasks.spawn(until(stop.clone(), self.views.clone().run())),
            tasks.spawn(until(stop.clone(), self.exposure.clone().run())),
            tasks.spawn(until(stop.clone(), self.exposure.clone().judge(arrivals))),
            tasks.spawn(until(stop.clone(), step(self.clone()))),
            tasks.spawn(until(stop.clone(), poll(self.clone()))),
        ];
        // The tracker waits for them.
        drop(loops);
    }
}

async fn until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = work => {}
        () = stop.cancelled() => {}
    }
}

/// Asks the platform and all peers once, so that the highest generation in reach is served first.
async fn start(process: &Arc<Process>) {
    let members = process.node.peers.all();
    let peers = members.iter().map(|member| async move {
        process.gossip.exchange(member).await;
        let digest = Digest { wants_levels: true, ..process.gossip.digest(node::now()) };
        process.gossip.call(member, digest).await
    });
    let peers = futures::future::join_all(peers);
    let marks = quarantine::sync(&process.gossip.marks, &process.node.store);
    let platform =
        futures::future::join3(process.configuration.poll(), process.hosts.poll(), marks);
    // Failures are met again by the loops, and logged there.
    let _ = futures::future::join(platform, peers).await;
    process.configuration.settle();
}

/// Reads the platform for ever. The reporter of a failure domain reads at the interval of
/// settings; the others hear of news by gossip and read less often the more of them there are.
async fn poll(process: Arc<Process>) {
    start(&process).await;
    loop {
        if let Err(error) = process.configuration.poll().await {
            metrics::counter!("platform_reads_failed_total").increment(1);
            warn!("configuration: {error}");
        }
        if let Err(error) = process.hosts.poll().await {
            metrics::counter!("platform_reads_failed_total").increment(1);
            warn!("hosts: {error}");
        }
        pause(&process).await;
    }
}

async fn pause(process: &Process) {
    let pace = match process.node.is_reporter() {
        true => 1,
        false => process.node.domain_size() as u64,
    };
    let poll_ms = process.node.settings.poll_ms.saturating_mul(pace);
    tokio::time::sleep(Duration::from_millis(poll_ms)).await;
}

/// Writes quarantines and takes the steps of roll-outs, for ever. Of its own, so that a platform
/// that keeps a call waiting does not hold up the reading of generations.
async fn step(process: Arc<Process>) {
    loop {
        if let Err(error) = process.gossip.rollouts.step(&process.exposure).await {
            warn!("rollout: {error}");
        }
        if let Err(error) = quarantine::sync(&process.gossip.marks, &process.node.store).await {
            warn!("exposure: the table of quarantines: {error}");
        }
        pause(&process).await;
    }
}
