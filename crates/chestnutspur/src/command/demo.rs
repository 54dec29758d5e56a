//! `chestnutspur demo`: a whole deployment on loopback, with faults, and an audit of what came
//! of it from the stand-ins' own records.

mod caller;
mod drive;
mod settings;
mod summary;
mod traffic;
mod world;

use bpaf::Bpaf;
use standin::deployment::{self, Deployment};

use crate::exit::Exit;
use crate::{logging, process};

use summary::Summary;
use world::World;

/// What to run, and how to tell of it
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// nl-centraal or midlands
    #[bpaf(argument("NAME"), fallback("nl-centraal".to_owned()), display_fallback)]
    pub deployment: String,
    /// How many requests; some callers send theirs a second time
    #[bpaf(argument("N"), fallback(3000), display_fallback)]
    pub requests: u64,
    /// What requests and qualities are drawn by
    #[bpaf(argument("S"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print the planned requests as JSON lines, and send nothing
    pub plan: bool,
    /// Print the summary as one JSON object
    pub json: bool,
}

/// Why a demo could not be held.
#[derive(Debug)]
pub enum Error {
    /// No such deployment.
    Deployment(deployment::Error),
    /// Something did not start.
    World(world::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Deployment(error) => error.fmt(f),
            Self::World(error) => error.fmt(f),
        }
    }
}

impl From<deployment::Error> for Error {
    fn from(error: deployment::Error) -> Self {
        Self::Deployment(error)
    }
}

impl From<world::Error> for Error {
    fn from(error: world::Error) -> Self {
        Self::World(error)
    }
}

/// Holds the demo; exit 1 if an audited number that must be 0 is not.
pub fn run(arguments: &Arguments) -> Exit {
    if arguments.requests == 0 {
        eprintln!("chestnutspur: --requests must be above 0");
        return Exit::Usage;
    }
    if arguments.plan {
        return print_plan(arguments);
    }
    // Faults are part of the show: what the parts warn of would drown its progress.
    logging::start("error");
    process::block_on(async {
        match hold(arguments).await {
            Ok(summary) => print(&summary, arguments.json),
            Err(error) => {
                eprintln!("chestnutspur: {error}");
                match error {
                    Error::Deployment(_) => Exit::Usage,
                    Error::World(_) => Exit::Refused,
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
    Exit::Done
}

async fn hold(arguments: &Arguments) -> Result<Summary, Error> {
    let deployment = Deployment::named(&arguments.deployment)?;
    let plan = traffic::plan(&deployment, arguments.requests, arguments.seed);
    eprintln!(
        "demo: {}: {} failure domains, {} entry hosts, seed {}",
        deployment.name,
        deployment.failure_domains().len(),
        deployment.hosts_with_role(wire::host::Role::Entry).count(),
        arguments.seed
    );
    let mut world = World::start(&deployment, arguments.seed).await?;
    let journal = drive::drive(&world, &deployment, plan).await;
    eprintln!("demo: stopping all processes gracefully");
    world.stop(&journal).await;
    Ok(Summary::new(&world, &deployment, &journal))
}

fn print(summary: &Summary, json: bool) -> Exit {
    match json {
        true => println!("{}", serde_json::to_string(&summary.figures()).unwrap_or_default()),
        false => print!("{summary}"),
    }
    for wrong in &summary.wrong {
        eprintln!("demo: wrong answer: {wrong}");
    }
    let faults = summary.faults();
    for fault in &faults {
        eprintln!("demo: must be 0: {fault}");
    }
    if faults.is_empty() { Exit::Done } else { Exit::Refused }
}
