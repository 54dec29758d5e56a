//! `chestnutspur standin`: runs stand-ins as processes, for tests and for trying out a deployment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use serde::de::DeserializeOwned;
use standin::deployment::{self, Deployment};
use standin::server::Running;
use standin::{engine, passthrough, platform, rater, service};
use wire::configuration::{Document, check};
use wire::host::{Host, Role};

use crate::exit::Exit;
use crate::{command, logging, process};

/// Kinds of stand-ins
#[derive(Clone, Debug, Bpaf)]
pub enum Standin {
    /// The platform: table, objects and host list
    ///
    /// Accepts PUT /hosts and PUT /faults; GET /records returns what it recorded.
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// Deployment whose configuration and hosts it starts with: nl-centraal or midlands
        #[bpaf(argument("NAME"))]
        deployment: Option<String>,
        /// JSON file with hosts, rows and faults; ignored with --deployment
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Configuration document to start with
        #[bpaf(argument("FILE"))]
        configuration: Option<PathBuf>,
        /// JSON file with the host list to start with
        #[bpaf(argument("FILE"))]
        hosts: Option<PathBuf>,
    },
    /// A model engine, which answers chat completions as JSON or as a stream
    #[bpaf(command)]
    Engine(#[bpaf(external(backend))] Backend),
    /// The service that rates answers
    #[bpaf(command)]
    Rater {
        /// Address to listen on
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// JSON file with faults
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// A plain service that echoes its calls
    #[bpaf(command)]
    Service(#[bpaf(external(backend))] Backend),
    /// A plain HTTP proxy on the same libraries as entry, as a baseline for its latency
    #[bpaf(command)]
    Passthrough {
        /// Address to listen on
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// Address that requests are forwarded to
        #[bpaf(argument("ADDR"))]
        to: SocketAddr,
    },
    /// All backend servers and raters of a deployment, on the addresses in its host list
    #[bpaf(command)]
    Workers {
        /// Name of the deployment: nl-centraal or midlands
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// Seed that the quality of answers is drawn from
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
    },
}

/// Arguments of a backend server
#[derive(Clone, Debug, Bpaf)]
pub struct Backend {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
    listen: SocketAddr,
    /// JSON file with settings
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Why a stand-in did not start.
enum Error {
    /// The faults of a file, printed on standard error already.
    Reported,
    /// The deployment is unknown or invalid.
    Deployment(deployment::Error),
    /// An address can't be bound, or signal handlers can't be installed.
    Io(std::io::Error),
    /// The host list has an invalid address.
    Address(std::net::AddrParseError),
}

impl From<deployment::Error> for Error {
    fn from(error: deployment::Error) -> Self {
        Self::Deployment(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<std::net::AddrParseError> for Error {
    fn from(error: std::net::AddrParseError) -> Self {
        Self::Address(error)
    }
}

/// Runs a stand-in until SIGTERM or SIGINT.
pub fn run(standin: Standin) -> Exit {
    logging::start("info");
    process::block_on(async {
        match serve(standin).await {
            Ok(()) => return Exit::Success,
            Err(Error::Reported) => {}
            Err(Error::Deployment(error)) => eprintln!("chestnutspur: {error}"),
            Err(Error::Io(error)) => eprintln!("chestnutspur: {error}"),
            Err(Error::Address(error)) => eprintln!("chestnutspur: {error}"),
        }
        Exit::Usage
    })
}

async fn serve(standin: Standin) -> Result<(), Error> {
    match standin {
        Standin::Platform { listen, deployment, settings, configuration, hosts } => {
            let mut settings = match deployment {
                Some(name) => Deployment::named(&name)?.platform(),
                None => read_settings(settings.as_deref())?,
            };
            if let Some(file) = configuration {
                settings.rows = deployment::configuration_rows(&read_document(&file)?);
            }
            if hosts.is_some() {
                settings.hosts = read_settings(hosts.as_deref())?;
            }
            run_until_stopped(&platform::start(listen, settings)?).await
        }
        Standin::Engine(Backend { listen, settings }) => {
            run_until_stopped(&engine::start(listen, read_settings(settings.as_deref())?)?).await
        }
        Standin::Rater { listen, settings } => {
            run_until_stopped(&rater::start(listen, read_settings(settings.as_deref())?)?).await
        }
        Standin::Service(Backend { listen, settings }) => {
            run_until_stopped(&service::start(listen, read_settings(settings.as_deref())?)?).await
        }
        Standin::Passthrough { listen, to } => {
            run_until_stopped(&passthrough::start(listen, to)?).await
        }
        Standin::Workers { deployment, seed } => {
            run_workers(&Deployment::named(&deployment)?, seed).await
        }
    }
}

/// Reads a settings file; without a file the settings have their default values.
fn read_settings<T: DeserializeOwned + Default>(file: Option<&Path>) -> Result<T, Error> {
    let Some(file) = file else { return Ok(T::default()) };
    let text = command::read_file(file).ok_or(Error::Reported)?;
    serde_json::from_str(&text).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        Error::Reported
    })
}

fn read_document(file: &Path) -> Result<Document, Error> {
    let text = command::read_file(file).ok_or(Error::Reported)?;
    check::parse(&text).map_err(|faults| {
        command::print_faults(file, &faults);
        Error::Reported
    })
}

async fn run_until_stopped<H>(running: &Running<H>) -> Result<(), Error> {
    let stop = process::stop_on_signal()?;
    process::print_listening(&[("address", running.address)]);
    stop.cancelled().await;
    running.stop();
    running.stopped().await;
    Ok(())
}

async fn run_workers(deployment: &Deployment, seed: u64) -> Result<(), Error> {
    let stop = process::stop_on_signal()?;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    let mut raters = Vec::new();
    let mut addresses = Vec::new();
    for host in &deployment.hosts {
        let listen: SocketAddr = host.address.parse()?;
        match host {
            Host { role: Role::Rater, .. } => {
                raters.push(rater::start(listen, rater::Faults::default())?);
            }
            Host { role: Role::Backend, versions, .. } if versions.is_empty() => {
                services.push(service::start(listen, deployment.service(host, seed))?);
            }
            Host { role: Role::Backend, .. } => {
                engines.push(engine::start(listen, deployment.engine(host, seed))?);
            }
            Host { role: Role::Entry | Role::Control, .. } => continue,
        }
        addresses.push((host.name.as_str(), listen));
    }
    process::print_listening(&addresses);
    stop.cancelled().await;
    Ok(())
}
