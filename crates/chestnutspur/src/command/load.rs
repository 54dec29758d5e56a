//! `chestnutspur load`: an open-loop load generator that compares several targets within one run.

mod driver;
mod processor;
mod summary;

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::exit::Exit;
use crate::process;

/// Arguments of load
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Address of the first target
    #[bpaf(argument("ADDR"))]
    pub to: SocketAddr,
    /// Address of a further target; requests alternate between all targets. May be given several
    /// times
    #[bpaf(argument("ADDR"))]
    pub compare: Vec<SocketAddr>,
    /// Requests a second for each target
    #[bpaf(argument("R"))]
    pub rate: f64,
    /// Length of the measurement, which follows an uncounted warm-up of one second
    #[bpaf(argument("S"))]
    pub seconds: f64,
    /// Key of the client account
    #[bpaf(argument("KEY"), fallback(String::new()))]
    pub key: String,
    /// Model or version to request
    #[bpaf(argument("NAME"), fallback("dossier-small-3".to_owned()), display_fallback)]
    pub model: String,
    /// Task of the requests; also the first word of each prompt
    #[bpaf(argument("NAME"), fallback("tag".to_owned()), display_fallback)]
    pub task: String,
    /// Request streamed answers
    pub stream: bool,
    /// Maximum number of requests in flight for each target; a request above it is not sent and
    /// counts as failed
    #[bpaf(argument("N"), fallback(1000), display_fallback)]
    pub in_flight: usize,
    /// Id of the process behind a target, to report its processor time; give one for each target,
    /// in their order, and 0 where there is none
    #[bpaf(argument("PID"))]
    pub pid: Vec<u32>,
    /// Print one JSON line
    pub json: bool,
}

impl Arguments {
    fn targets(&self) -> Vec<SocketAddr> {
        std::iter::once(self.to).chain(self.compare.iter().copied()).collect()
    }

    /// Returns the first fault of the numeric arguments.
    fn find_fault(&self) -> Option<&'static str> {
        match self {
            Self { rate, .. } if !(rate.is_finite() && *rate > 0.0) => {
                Some("--rate must be above 0")
            }
            Self { seconds, .. } if !(seconds.is_finite() && *seconds > 0.0) => {
                Some("--seconds must be above 0")
            }
            Self { in_flight: 0, .. } => Some("--in-flight must be above 0"),
            _ => None,
        }
    }
}

/// Sends the load and prints a summary; exit code 1 if any request failed.
pub fn run(arguments: &Arguments) -> Exit {
    if let Some(fault) = arguments.find_fault() {
        eprintln!("chestnutspur: {fault}");
        return Exit::Usage;
    }
    process::block_on(drive(arguments))
}

async fn drive(arguments: &Arguments) -> Exit {
    let results = match driver::drive(arguments).await {
        Ok(results) => results,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            return Exit::Usage;
        }
    };
    let summary = summary::Summary::new(arguments, &results);
    match arguments.json {
        true => println!("{}", serde_json::to_string(&summary).unwrap_or_default()),
        false => print!("{summary}"),
    }
    let failed = summary.targets.iter().any(|target| target.failed > 0);
    if failed { Exit::Failure } else { Exit::Success }
}
