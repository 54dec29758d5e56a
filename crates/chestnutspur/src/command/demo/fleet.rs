//! The deployment that the demo runs: all parts are tasks of one process and communicate over real
//! sockets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use policy::name::Name;
use standin::client::{Client, request};
use standin::deployment::Deployment;
use standin::engine::Engine;
use standin::platform::Platform;
use standin::rater::Rater;
use standin::run::Run;
use standin::server::Running;
use standin::service::Service;
use standin::{engine, platform, rater, service};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::host::{Host, Role};
use wire::settings::Peer;

use super::drive::Journal;
use super::settings;
use crate::process;

/// Timeout for each entry host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for the last bills to reach the object store.
const BILLS_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the fleet did not start.
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Listen(std::io::Error),
    /// A control could not start.
    Control(control::Error),
    /// An entry could not start.
    Entry(entry::Error),
    /// The metrics recorder could not be installed.
    Metrics(String),
    /// An entry host, named here, did not become ready in time.
    NotReady(Name),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "can't listen: {error}"),
            Self::Control(error) => write!(f, "control: {error}"),
            Self::Entry(error) => write!(f, "entry: {error}"),
            Self::Metrics(message) => f.write_str(message),
            Self::NotReady(host) => write!(f, "{host} did not become ready in time"),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Listen(error)
    }
}

impl From<control::Error> for Error {
    fn from(error: control::Error) -> Self {
        Self::Control(error)
    }
}

impl From<entry::Error> for Error {
    fn from(error: entry::Error) -> Self {
        Self::Entry(error)
    }
}

/// A control or entry, running as a task.
struct Process {
    host: Name,
    stop: CancellationToken,
    task: JoinHandle<Result<(), String>>,
}

/// All stand-ins, controls and entries of a demo.
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: Running<Platform>,
    /// Stand-ins for model engines.
    pub engines: Vec<Running<Engine>>,
    /// Stand-ins for backend servers of plain services.
    pub services: Vec<Running<Service>>,
    /// Callers' address of each entry host.
    pub entries: Vec<SocketAddr>,
    /// Errors of the processes that did not stop cleanly.
    pub unclean: Vec<String>,
    raters: Vec<Running<Rater>>,
    controls: Vec<Process>,
    entry_processes: Vec<Process>,
}

impl Fleet {
    /// Starts everything and waits until all entry hosts are ready.
    ///
    /// # Errors
    /// Returns the first [`Error`] of a part that can't start.
    pub async fn start(deployment: &Deployment, seed: u64) -> Result<Self, Error> {
        let metrics = process::install_metrics().map_err(Error::Metrics)?;
        let platform = platform::start(settings::any_port(), deployment.platform())?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            unclean: Vec::new(),
            raters: Vec::new(),
            controls: Vec::new(),
            entry_processes: Vec::new(),
        };
        let mut hosts = fleet.start_backends(deployment, seed)?;
        let peers = fleet.start_controls(deployment, &metrics).await?;
        let operators = fleet.start_entries(deployment, &peers, &metrics).await?;
        let controls = deployment.hosts_with_role(Role::Control).zip(&peers);
        hosts.extend(controls.map(|(host, peer)| with_address(host, peer.address)));
        let entries = deployment.hosts_with_role(Role::Entry).zip(&operators);
        hosts.extend(entries.map(|(host, (_, address))| with_address(host, *address)));
        fleet.platform.set_hosts(hosts);
        for (host, address) in operators {
            wait_until_ready(host, address).await?;
        }
        Ok(fleet)
    }

    fn start_backends(&mut self, deployment: &Deployment, seed: u64) -> Result<Vec<Host>, Error> {
        let mut hosts = Vec::new();
        for host in deployment.hosts_with_role(Role::Backend) {
            let address = match host.versions.is_empty() {
                true => {
                    let service =
                        service::start(settings::any_port(), deployment.service(host, seed))?;
                    let address = service.address;
                    self.services.push(service);
                    address
                }
                false => {
                    let engine =
                        engine::start(settings::any_port(), deployment.engine(host, seed))?;
                    let address = engine.address;
                    self.engines.push(engine);
                    address
                }
            };
            hosts.push(with_address(host, address));
        }
        for host in deployment.hosts_with_role(Role::Rater) {
            let rater = rater::start(settings::any_port(), rater::Faults::default())?;
            hosts.push(with_address(host, rater.address));
            self.raters.push(rater);
        }
        Ok(hosts)
    }

    async fn start_controls(
        &mut self,
        deployment: &Deployment,
        metrics: &PrometheusHandle,
    ) -> Result<Vec<Peer>, Error> {
        let mut bound = Vec::new();
        let mut peers = Vec::new();
        for host in deployment.hosts_with_role(Role::Control) {
            let settings = settings::control(host, self.platform.address);
            let listeners = control::Listeners::bind(&settings).await?;
            let address = listeners.peers.local_addr()?;
            let (name, failure_domain) = (host.name.clone(), host.failure_domain.clone());
            peers.push(Peer { name, failure_domain, address });
            bound.push((settings, listeners));
        }
        for (mut settings, listeners) in bound {
            settings.peers = peers.iter().filter(|p| p.name != settings.name).cloned().collect();
            let (host, stop) = (settings.name.clone(), CancellationToken::new());
            let running = control::run(settings, listeners, metrics.clone(), stop.clone());
            let task = tokio::spawn(async { running.await.map_err(|error| error.to_string()) });
            self.controls.push(Process { host, stop, task });
        }
        Ok(peers)
    }

    /// Starts all entries and returns their operators' addresses by host.
    async fn start_entries(
        &mut self,
        deployment: &Deployment,
        controls: &[Peer],
        metrics: &PrometheusHandle,
    ) -> Result<Vec<(Name, SocketAddr)>, Error> {
        let mut operators = Vec::new();
        for host in deployment.hosts_with_role(Role::Entry) {
            let settings = settings::entry(host, controls);
            let listeners = entry::Listeners::bind(&settings).await?;
            self.entries.push(listeners.callers.local_addr()?);
            operators.push((host.name.clone(), listeners.operators.local_addr()?));
            let stop = CancellationToken::new();
            let running = entry::run(settings, listeners, metrics.clone(), stop.clone());
            let task = tokio::spawn(async { running.await.map_err(|error| error.to_string()) });
            self.entry_processes.push(Process { host: host.name.clone(), stop, task });
        }
        Ok(operators)
    }

    /// Waits for the last bills, then stops all processes gracefully. Entries stop first, because
    /// they still need the controls.
    pub async fn stop(&mut self, journal: &Journal) {
        let answered: BTreeSet<Name> = journal.answered().collect();
        let deadline = tokio::time::Instant::now() + BILLS_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let billed = self.platform.bills().ids();
            if answered.is_subset(&billed) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let entries = std::mem::take(&mut self.entry_processes);
        self.unclean.extend(stop_all(entries).await);
        let controls = std::mem::take(&mut self.controls);
        self.unclean.extend(stop_all(controls).await);
    }

    /// Returns all runs that the backend servers recorded.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let engines = self.engines.iter().flat_map(|engine| engine.runs());
        engines.chain(self.services.iter().flat_map(|service| service.runs())).collect()
    }
}

async fn stop_all(processes: Vec<Process>) -> Vec<String> {
    for process in &processes {
        process.stop.cancel();
    }
    let mut unclean = Vec::new();
    for Process { host, task, .. } in processes {
        match task.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => unclean.push(format!("{host}: {error}")),
            Err(error) => unclean.push(format!("{host}: {error}")),
        }
    }
    unclean
}

/// Returns a host of the list with the address that its stand-in or process listens on.
fn with_address(host: &Host, address: SocketAddr) -> Host {
    Host { address: address.to_string().into(), ..host.clone() }
}

async fn wait_until_ready(host: Name, operators: SocketAddr) -> Result<(), Error> {
    let client = Client::new(operators);
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let call = request(Method::GET, "/ready", "");
        let answer = match call {
            Ok(call) => client.call(call).await.ok(),
            Err(_) => None,
        };
        if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::NotReady(host))
}
