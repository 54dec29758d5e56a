//! `chestnutspur replay`.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use replay::report::{self, Report};
use replay::run::Options;
use replay::trace;
use replay::variant::{NAMES, Variant};

use crate::exit::Exit;

/// Which traces, and by which policy
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Replay with a policy to measure against: best, cheapest, split, likelihood, undetected,
    /// random-server or least-reported [default: planned]
    #[bpaf(argument("NAME"), fallback("planned".to_owned()))]
    pub policy: String,
    /// Replay with so many entry hosts instead of the trace's
    #[bpaf(argument("COUNT"))]
    pub entry_hosts: Option<u32>,
    /// Print one JSON line for each trace
    pub json: bool,
    /// The traces
    #[bpaf(positional("TRACE"), some("at least one trace is needed"))]
    pub traces: Vec<PathBuf>,
}

/// Replays all traces and prints what came out; an outcome that was not held is exit 1.
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
    let one = |file: &PathBuf| one(file, &arguments.policy, options);
    let reports: Option<Vec<Report>> = arguments.traces.iter().map(one).collect();
    let Some(reports) = reports else { return Exit::Usage };
    match arguments.json {
        true => reports.iter().for_each(|report| println!("{}", serde_json::json!(report))),
        false => print!("{}", report::table(&reports)),
    }
    match reports.iter().all(|report| report.held) {
        true => Exit::Done,
        false => Exit::Refused,
    }
}

fn one(file: &Path, policy: &str, options: Options) -> Option<Report> {
    let name = file.display().to_string();
    let text = super::read(file)?;
    match trace::parse(&name, &text) {
        Ok(trace) => Some(report::report(&name, policy, &trace, options)),
        Err(fault) => {
            eprintln!("{fault}");
            None
        }
    }
}
