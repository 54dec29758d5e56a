//! All controllers of one process, and their start.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::node::Node;
use crate::seam::{Ledger, Shards};
use crate::{configuration, exposure, gossip, hosts, marks, view};

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
    /// Metrics of the process.
    pub metrics: PrometheusHandle,
}

impl Process {
    /// Makes the controllers; nothing runs yet but shards and ledger.
    #[must_use]
    pub fn new(node: Arc<Node>, metrics: PrometheusHandle) -> Arc<Self> {
        let configuration = Arc::new(configuration::Controller::new(node.clone()));
        let hosts = Arc::new(hosts::Controller::new(node.clone()));
        let gossip = Arc::new(gossip::Controller::new(
            node.clone(),
            configuration.clone(),
            hosts.clone(),
            Arc::new(marks::Marks::default()),
        ));
        let exposure = Arc::new(exposure::Controller::new(gossip.clone()));
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
            metrics,
        })
    }

    /// Runs all loops until told to stop.
    pub fn run(self: &Arc<Self>, tasks: &TaskTracker, stop: &CancellationToken) {
        let loops = [
            tasks.spawn(until(stop.clone(), self.gossip.clone().run())),
            tasks.spawn(until(stop.clone(), self.gossip.clone().push())),
            tasks.spawn(until(stop.clone(), self.views.clone().run())),
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
    let peers = members.iter().map(|member| process.gossip.exchange(member));
    let peers = futures::future::join_all(peers);
    // Failures are met again by the loops, and told there.
    let _ = futures::future::join3(process.configuration.poll(), process.hosts.poll(), peers).await;
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
        let pace = match process.node.is_reporter() {
            true => 1,
            false => process.node.domain_size() as u64,
        };
        let poll_ms = process.node.settings.poll_ms.saturating_mul(pace);
        tokio::time::sleep(Duration::from_millis(poll_ms)).await;
    }
}
