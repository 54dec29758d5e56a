//! `chestnutspur demo`: runs a whole deployment on loopback, injects faults, and audits the results
//! from the stand-ins' own records.

mod caller;
mod drive;
mod fleet;
mod settings;
mod summary;
mod traffic;

use bpaf::Bpaf;
use standin::deployment::{self, Deployment};

use crate::exit::Exit;
use crate::{logging, process};

use fleet::Fleet;
use summary::Summary;

/// Arguments of demo
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Name of the deployment: nl-centraal or midlands
    #[bpaf(argument("NAME"), fallback("nl-centraal".to_owned()), display_fallback)]
    pub deployment: String,
    /// Number of planned requests; callers send some of them twice
    #[bpaf(argument("N"), fallback(3000), display_fallback)]
    pub requests: u64,
    /// Seed that requests and the quality of answers are drawn from
    #[bpaf(argument("S"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print the planned requests as JSON lines and send nothing
    pub plan: bool,
    /// Print the summary as one JSON object
    pub json: bool,
}

/// Why a demo could not run.
#[derive(Debug)]
pub enum Error {
    /// The deployment is unknown or invalid.
    Deployment(deployment::Error),
    /// A process or stand-in did not start.
    Fleet(fleet::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::Fleet(error) => error.fmt(f),
        }
    }
}

impl From<deployment::Error> for Error {
    fn from(error: deployment::Error) -> Self {
        Self::Deployment(error)
    }
}

impl From<fleet::Error> for Error {
    fn from(error: fleet::Error) -> Self {
        Self::Fleet(error)
    }
}

/// Runs the demo; exit code 1 if an audited count that must be 0 is not.
pub fn run(arguments: &Arguments) -> Exit {
    if arguments.requests == 0 {
        eprintln!("chestnutspur: --requests must be above 0");
        return Exit::Usage;
    }
    if arguments.plan {
        return print_plan(arguments);
    }
    // The injected faults make the processes log many warnings, which would hide the progress
    // lines.
    logging::start("error");
    process::block_on(async {
        match run_demo(arguments).await {
            Ok(summary) => print(&summary, arguments.json),
            Err(error) => {
                eprintln!("chestnutspur: {error}");
                match error {
                    Error::Deployment(_) => Exit::Usage,
                    Error::Fleet(_) => Exit::Failure,
                }
            }
        }
    })
}

fn print_plan(arguments: &Arguments) -> Exit {
    let deployment = match Deployment::named(&arguments.deployment) {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            return Exit::Usage;
        }
    };
    for request in traffic::plan(&deployment, arguments.requests, arguments.seed) {
        println!("{}", serde_json::to_string(&request).unwrap_or_default());
    }
    Exit::Success
}

async fn run_demo(arguments: &Arguments) -> Result<Summary, Error> {
    let deployment = Deployment::named(&arguments.deployment)?;
    let plan = traffic::plan(&deployment, arguments.requests, arguments.seed);
    eprintln!(
        "demo: {}: {} failure domains, {} entry hosts, seed {}",
        deployment.name,
        deployment.failure_domains().len(),
        deployment.hosts_with_role(wire::host::Role::Entry).count(),
        arguments.seed
    );
    let mut fleet = Fleet::start(&deployment, arguments.seed).await?;
    let journal = drive::drive(&fleet, &deployment, plan).await;
    eprintln!("demo: stopping all processes gracefully");
    fleet.stop(&journal).await;
    Ok(Summary::new(&fleet, &deployment, &journal))
}

fn print(summary: &Summary, json: bool) -> Exit {
    match json {
        true => println!("{}", serde_json::to_string(&summary.figures()).unwrap_or_default()),
        false => {
            print!("{summary}");
            eprintln!(
                "demo: on the users' platform, `chestnutspur where --at ADDR --host HOST --path PATH` \
                 says where a node would send a request, and why"
            );
        }
    }
    for answer in &summary.wrong {
        eprintln!("demo: wrong answer: {answer}");
    }
    let faults = summary.faults();
    for fault in &faults {
        eprintln!("demo: must be 0: {fault}");
    }
    if faults.is_empty() { Exit::Success } else { Exit::Failure }
}
