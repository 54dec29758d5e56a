//! The command line: one small module for each subcommand.

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
    /// Run the data plane of one entry host: callers in, backend servers out
    ///
    /// Prints one JSON line with the addresses it listens on, then logs on standard error until
    /// SIGTERM, upon which it finishes the requests under way and exits 0.
    #[bpaf(command)]
    Entry {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run the controllers of one entry host: configuration, shards, bills, console
    ///
    /// Prints one JSON line with the addresses it listens on, then logs on standard error until
    /// SIGTERM, upon which it hands over what it holds and exits 0.
    #[bpaf(command)]
    Control {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run one entry host whole: routed requests, by what the platform's store says
    ///
    /// Logs JSON lines on standard output until SIGTERM, upon which it finishes the requests under
    /// way and exits 0. Reads its settings again when the file changes, or on SIGHUP.
    #[bpaf(command)]
    Node {
        /// JSON file with the process's settings
        #[bpaf(long, argument("FILE"), env("CHESTNUTSPUR_NODE_FILE"))]
        settings: PathBuf,
    },
    /// Print a request's life from logs on standard input, in order
    ///
    /// Takes the JSON lines of `node`, of all hosts together and in any order; what stands before
    /// a line's brace is passed over. Beside the request's own lines it prints what the hosts came
    /// to believe meanwhile of the backend servers that it was sent to, of its service's roll-out,
    /// and of the store. Exit code 1 if no line names the request.
    #[bpaf(command)]
    Explain {
        /// The request's id
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Check a settings file or a configuration document, whichever it is
    ///
    /// Prints every fault with its path in the file; exit code 2 if there is one.
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a configuration document in force everywhere, or learn why not
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::arguments))] apply::Arguments),
    /// Show the generation in force on every host, versions, quarantines and roll-outs
    #[bpaf(command)]
    Status(#[bpaf(external(status::arguments))] status::Arguments),
    /// Count the bills in the object store: ids, doubles, gaps
    #[bpaf(command)]
    Bills(#[bpaf(external(status::arguments))] status::Arguments),
    /// Reports on a running deployment
    #[bpaf(command)]
    Report(#[bpaf(external(report::report))] report::Report),
    /// A whole deployment on loopback with faults, and an audit of what came of it
    ///
    /// Requests of mixed tasks to all entry hosts; half way the cheapest version turns bad, later
    /// the platform is down for a while. The audit is made from the records of the stand-ins for
    /// backend servers and platform. Exit code 1 if a number that must be 0 is not.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
    /// Send requests at a steady rate to one or several targets and compare their latency
    ///
    /// Open loop: requests are sent at their intended times whether or not earlier ones were
    /// answered, and latency counts from the intended time.
    #[bpaf(command)]
    Load(#[bpaf(external(load::arguments))] load::Arguments),
    /// Stand-ins for the platform and the backend servers, each its own process
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin))] standin::Standin),
    /// Play a fleet under overload in simulated time, and compare ways to decide
    ///
    /// Every way of the scenario is played from every seed. Prints what became of requests, and how
    /// many seconds after the cause's end all were served again, in the worst run. Exit code 2 if
    /// the scenario has faults; each is printed with its path in the file.
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::arguments))] experiment::Arguments),
    /// Replay recorded traces and check their stated outcomes
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::arguments))] replay::Arguments),
    /// Print a generated trace
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::arguments))] trace::Arguments),
    /// Print the version of this program
    #[bpaf(command)]
    Version,
}

/// The command line's parser.
#[must_use]
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Runs one subcommand to its end.
pub fn run(command: Command) -> Exit {
    match command {
        Command::Entry { settings } => entry::run(&settings),
        Command::Control { settings } => control::run(&settings),
        Command::Node { settings } => node::run(&settings),
        Command::Explain { request } => explain::run(&request),
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
            Exit::Done
        }
    }
}

/// Reads a file, or says on standard error why not.
fn read(file: &Path) -> Option<String> {
    std::fs::read_to_string(file)
        .map_err(|error| eprintln!("chestnutspur: {}: {error}", file.display()))
        .ok()
}

/// Reads a settings file, or prints every fault found.
fn load(file: &Path) -> Option<Settings> {
    let text = read(file)?;
    settings::parse(&text).map_err(|faults| print_faults(file, &faults)).ok()
}

fn print_faults(file: &Path, faults: &[Fault]) {
    for fault in faults {
        eprintln!("{}: {fault}", file.display());
    }
}

/// Prints an answer's JSON as it is, or indented for people.
fn print_json(body: &[u8], compact: bool) {
    let text = String::from_utf8_lossy(body);
    match serde_json::from_str::<serde_json::Value>(&text) {
        Ok(value) if !compact => println!("{value:#}"),
        _ => println!("{}", text.trim_end()),
    }
}
