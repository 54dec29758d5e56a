//! `chestnutspur load`: an open-loop load driver that compares targets within one run.

mod driver;
mod processor;
mod summary;

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::exit::Exit;
use crate::process;

/// What to send, and where
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Where requests go
    #[bpaf(argument("ADDR"))]
    pub to: SocketAddr,
    /// A further target; requests alternate between all targets. May be given several times
    #[bpaf(argument("ADDR"))]
    pub compare: Vec<SocketAddr>,
    /// Requests a second for each target
    #[bpaf(argument("R"))]
    pub rate: f64,
    /// How long, after a warm-up of a second that is not counted
    #[bpaf(argument("S"))]
    pub seconds: f64,
    /// The account's key
    #[bpaf(argument("KEY"), fallback(String::new()))]
    pub key: String,
    /// The model or version to ask for
    #[bpaf(argument("NAME"), fallback("dossier-small-3".to_owned()), display_fallback)]
    pub model: String,
    /// The task, which is also the prompt's first word
    #[bpaf(argument("NAME"), fallback("tag".to_owned()), display_fallback)]
    pub task: String,
    /// Ask for streamed answers
    pub stream: bool,
    /// Requests under way at most for each target; over it they count as failed
    #[bpaf(argument("N"), fallback(1000), display_fallback)]
    pub in_flight: usize,
    /// Process behind a target, in the order of the targets, to report its processor time; 0 for
    /// none
    #[bpaf(argument("PID"))]
    pub pid: Vec<u32>,
    /// Print one JSON line
    pub json: bool,
}

impl Arguments {
    fn targets(&self) -> Vec<SocketAddr> {
        std::iter::once(self.to).chain(self.compare.iter().copied()).collect()
    }

    /// The first thing wrong with the numbers.
    fn fault(&self) -> Option<&'static str> {
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

/// Drives the load and prints what came of it; exit 1 if any request failed.
pub fn run(arguments: &Arguments) -> Exit {
    if let Some(fault) = arguments.fault() {
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
    if failed { Exit::Refused } else { Exit::Done }
}
