//! `chestnutspur standin`: stand-ins as processes, to try a deployment by hand and for tests.

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

/// The stand-ins there are.
#[derive(Clone, Debug, Bpaf)]
pub enum Standin {
    /// The platform: table, objects, host list. Takes PUT /hosts and PUT /faults, shows GET /records
    #[bpaf(command)]
    Platform {
        /// Where to listen
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// Start with this deployment's configuration and hosts: nl-centraal or midlands
        #[bpaf(argument("NAME"))]
        deployment: Option<String>,
        /// JSON file with hosts, rows and faults; instead of --deployment
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Configuration document to start with
        #[bpaf(argument("FILE"))]
        configuration: Option<PathBuf>,
        /// JSON file with the host list to start with
        #[bpaf(argument("FILE"))]
        hosts: Option<PathBuf>,
    },
    /// A model engine: chat completions in JSON and as a stream
    #[bpaf(command)]
    Engine(#[bpaf(external(backend))] Backend),
    /// The service that rates answers
    #[bpaf(command)]
    Rater {
        /// Where to listen
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// JSON file with faults
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// A plain service that echoes its calls
    #[bpaf(command)]
    Service(#[bpaf(external(backend))] Backend),
    /// A plain HTTP pass-through on the same libraries as entry, to compare latency with
    #[bpaf(command)]
    Passthrough {
        /// Where to listen
        #[bpaf(argument("ADDR"), fallback(any_port()), display_fallback)]
        listen: SocketAddr,
        /// Where to pass requests on to
        #[bpaf(argument("ADDR"))]
        to: SocketAddr,
    },
    /// All backend servers and raters of a deployment, at the addresses of its host list
    #[bpaf(command)]
    Workers {
        /// nl-centraal or midlands
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// What quality is drawn by
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
    },
}

/// One backend server
#[derive(Clone, Debug, Bpaf)]
pub struct Backend {
    /// Where to listen
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
    /// Said on standard error already.
    Reported,
    /// The deployment can't be used.
    Deployment(deployment::Error),
    /// An address can't be listened on, or signals not be waited for.
    Io(std::io::Error),
    /// An address of the host list is none.
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

/// Runs stand-ins until SIGTERM or SIGINT.
pub fn run(standin: Standin) -> Exit {
    logging::start("info");
    process::block_on(async {
        match serve(standin).await {
            Ok(()) => return Exit::Done,
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
                None => read(settings.as_deref())?,
            };
            if let Some(file) = configuration {
                settings.rows = deployment::configuration_rows(&document(&file)?);
            }
            if hosts.is_some() {
                settings.hosts = read(hosts.as_deref())?;
            }
            until_stopped(&platform::start(listen, settings)?).await
        }
        Standin::Engine(Backend { listen, settings }) => {
            until_stopped(&engine::start(listen, read(settings.as_deref())?)?).await
        }
        Standin::Rater { listen, settings } => {
            until_stopped(&rater::start(listen, read(settings.as_deref())?)?).await
        }
        Standin::Service(Backend { listen, settings }) => {
            until_stopped(&service::start(listen, read(settings.as_deref())?)?).await
        }
        Standin::Passthrough { listen, to } => {
            until_stopped(&passthrough::start(listen, to)?).await
        }
        Standin::Workers { deployment, seed } => {
            workers(&Deployment::named(&deployment)?, seed).await
        }
    }
}

/// Reads a settings file; none is the default.
fn read<T: DeserializeOwned + Default>(file: Option<&Path>) -> Result<T, Error> {
    let Some(file) = file else { return Ok(T::default()) };
    let text = command::read(file).ok_or(Error::Reported)?;
    serde_json::from_str(&text).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        Error::Reported
    })
}

fn document(file: &Path) -> Result<Document, Error> {
    let text = command::read(file).ok_or(Error::Reported)?;
    check::parse(&text).map_err(|faults| {
        command::print_faults(file, &faults);
        Error::Reported
    })
}

async fn until_stopped<H>(running: &Running<H>) -> Result<(), Error> {
    let stop = process::stop_on_signal()?;
    process::print_listening(&[("address", running.address)]);
    stop.cancelled().await;
    running.stop();
    running.stopped().await;
    Ok(())
}

async fn workers(deployment: &Deployment, seed: u64) -> Result<(), Error> {
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
