//! `chestnutspur replay`: replays traces and checks the outcomes that they state.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use replay::report::{self, Report};
use replay::run::Options;
use replay::trace;
use replay::variant::{NAMES, Variant};

use crate::exit::Exit;

/// Arguments of replay
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Replay with another policy, as a baseline: best, cheapest, split, likelihood, undetected,
    /// random-server or least-reported [default: planned]
    #[bpaf(argument("NAME"), fallback("planned".to_owned()))]
    pub policy: String,
    /// Number of entry hosts, instead of the trace's own
    #[bpaf(argument("COUNT"))]
    pub entry_hosts: Option<u32>,
    /// Print one JSON line for each trace
    pub json: bool,
    /// Files with traces
    #[bpaf(positional("TRACE"), some("at least one trace is needed"))]
    pub traces: Vec<PathBuf>,
}

/// Replays all traces and prints a report of each; exit code 1 if a stated outcome was missed.
pub fn run(arguments: &Arguments) -> Exit {
    let Some(variant) = Variant::by_name(&arguments.policy) else {
        eprintln!("chestnutspur: --policy must be one of {}", NAMES.join(", "));
        return Exit::Usage;
    };
    if arguments.entry_hosts == Some(0) {
        eprintln!("chestnutspur: --entry-hosts must be at least 1");
        return Exit::Usage;
    }
    let options = Options { variant, entry_hosts: arguments.entry_hosts };
    let replay = |file: &PathBuf| replay_file(file, &arguments.policy, options);
    let reports: Option<Vec<Report>> = arguments.traces.iter().map(replay).collect();
    let Some(reports) = reports else { return Exit::Usage };
    match arguments.json {
        true => reports.iter().for_each(|report| println!("{}", serde_json::json!(report))),
        false => print!("{}", report::table(&reports)),
    }
    match reports.iter().all(|report| report.held) {
        true => Exit::Success,
        false => Exit::Failure,
    }
}

fn replay_file(file: &Path, policy: &str, options: Options) -> Option<Report> {
    let name = file.display().to_string();
    let text = super::read_file(file)?;
    match trace::parse(&name, &text) {
        Ok(trace) => Some(report::report(&name, policy, &trace, options)),
        Err(fault) => {
            eprintln!("{fault}");
            None
        }
    }
}
