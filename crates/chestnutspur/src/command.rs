//! The command line, with one module for each subcommand.

mod apply;
mod bills;
mod check;
mod control;
mod demo;
mod entry;
mod experiment;
mod explain;
mod load;
mod node;
mod place;
mod replay;
mod report;
mod standin;
mod status;
mod trace;

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use wire::fault::Fault;
use wire::settings::{self, Settings};

use crate::exit::Exit;

/// Model-aware router for versions and cascades
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the data plane of one entry host, which relays callers' requests to backend servers
    ///
    /// Prints one JSON line with its listening addresses, then logs on standard error until
    /// SIGTERM. Then it finishes the requests in flight and exits with code 0.
    #[bpaf(command)]
    Entry {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run the controllers of one entry host: configuration, shards, bills and console
    ///
    /// Prints one JSON line with its listening addresses, then logs on standard error until
    /// SIGTERM. Then it hands its shards and bills over to other controls and exits with code 0.
    #[bpaf(command)]
    Control {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a complete entry host that routes requests as the platform's store says
    ///
    /// Logs JSON lines on standard output until SIGTERM. Then it finishes the requests in flight
    /// and exits with code 0. Reloads its settings when the file changes or on SIGHUP.
    #[bpaf(command)]
    Node {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"), env("CHESTNUTSPUR_NODE_FILE"))]
        settings: PathBuf,
    },
    /// Print the history of one request, in order, from logs on standard input
    ///
    /// Reads the JSON lines of `node`, from all hosts together and in any order; text before a
    /// line's first brace is ignored. Beside the request's own lines it prints the changes that its
    /// hosts logged meanwhile about the backend servers that received the request, about the
    /// roll-out of its service and about the store. Exit code 1 if no line names the request.
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Ask a node where it would send a request now, and why
    ///
    /// Prints the route, the version, the limits, and each candidate with the parts of its cost in
    /// milliseconds; or where the request in flight with an id is. Sends nothing to backend servers.
    /// Exit code 1 if the host, path, account or id is not known.
    #[bpaf(command("where"))]
    Where(#[bpaf(external(place::arguments))] place::Arguments),
    /// Check a settings file, a configuration document or a routing table
    ///
    /// The file's members tell which of them it is. Prints every fault with its path in the file;
    /// exit code 2 if there is any.
    #[bpaf(command)]
    Check {
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a configuration document in force on all hosts, or print why it was refused
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::arguments))] apply::Arguments),
    /// Show the generation in force on each host, the versions, quarantines and roll-outs
    #[bpaf(command)]
    Status(#[bpaf(external(status::arguments))] status::Arguments),
    /// Count the bills in the object store, and those that are duplicated or missing
    #[bpaf(command)]
    Bills(#[bpaf(external(status::arguments))] status::Arguments),
    /// Print reports on a running deployment
    #[bpaf(command)]
    Report(#[bpaf(external(report::report))] report::Report),
    /// Run a whole deployment on loopback with faults, and audit the results
    ///
    /// Sends requests of mixed tasks to all entry hosts. Half way through, the cheapest version
    /// turns bad; later the platform is down for a while. The audit uses the records of the
    /// stand-ins for backend servers and platform. Exit code 1 if a count that must be 0 is not.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
    /// Send requests at a steady rate to one or several targets and compare their latency
    ///
    /// The load is open-loop: each request is sent at its intended time, whether or not earlier
    /// ones were answered, and its latency counts from the intended time.
    #[bpaf(command)]
    Load(#[bpaf(external(load::arguments))] load::Arguments),
    /// Run a stand-in for the platform, a backend server or another part, as a process
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin))] standin::Standin),
    /// Simulate a fleet under overload, and compare decision policies
    ///
    /// Simulates each policy (way) of the scenario with each seed. Prints the outcomes of requests
    /// and, for the worst run, how many seconds after the cause of the overload ended all requests
    /// were served again. Exit code 2 if the scenario has faults; each is printed with its path in
    /// the file.
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::arguments))] experiment::Arguments),
    /// Replay recorded traces and check the outcomes that they state
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::arguments))] replay::Arguments),
    /// Print a generated trace
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::arguments))] trace::Arguments),
    /// Print the version of this program
    #[bpaf(command)]
    Version,
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Runs one subcommand until it finishes.
pub fn run(command: Command) -> Exit {
    match command {
        Command::Entry { settings } => entry::run(&settings),
        Command::Control { settings } => control::run(&settings),
        Command::Node { settings } => node::run(&settings),
        Command::Explain { request } => explain::run(&request),
        Command::Where(arguments) => place::run(&arguments),
        Command::Check { file } => check::run(&file),
        Command::Apply(arguments) => apply::run(arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Bills(arguments) => bills::run(&arguments),
        Command::Report(report) => report::run(report),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Standin(standin) => standin::run(standin),
        Command::Experiment(arguments) => experiment::run(&arguments),
        Command::Replay(arguments) => replay::run(&arguments),
        Command::Trace(arguments) => trace::run(&arguments),
        Command::Version => {
            println!("chestnutspur {}", env!("CARGO_PKG_VERSION"));
            Exit::Success
        }
    }
}

/// Reads a file, or prints on standard error why it can't be read.
fn read_file(file: &Path) -> Option<String> {
    std::fs::read_to_string(file)
        .map_err(|error| eprintln!("chestnutspur: {}: {error}", file.display()))
        .ok()
}

/// Reads a settings file, or prints all its faults.
fn load_settings(file: &Path) -> Option<Settings> {
    let text = read_file(file)?;
    settings::parse(&text).map_err(|faults| print_faults(file, &faults)).ok()
}

fn print_faults(file: &Path, faults: &[Fault]) {
    for fault in faults {
        eprintln!("{}: {fault}", file.display());
    }
}

/// Prints a response's JSON unchanged if `compact`, else indented. Other text is printed unchanged.
fn print_json(body: &[u8], compact: bool) {
    let text = String::from_utf8_lossy(body);
    match serde_json::from_str::<serde_json::Value>(&text) {
        Ok(value) if !compact => println!("{value:#}"),
        _ => println!("{}", text.trim_end()),
    }
}
