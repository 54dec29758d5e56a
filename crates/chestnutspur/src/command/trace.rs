//! `chestnutspur trace`: prints a generated trace.

use bpaf::Bpaf;
use replay::generate::{self, Kind, kind::KINDS};

use crate::exit::Exit;

/// Arguments of trace
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Kind of trace: steady-benefit, steady-feed, sudden, slow, rollout, bad-candidate,
    /// capacity, flood, drift, ratings, peak or misjudged
    #[bpaf(argument("KIND"))]
    pub kind: String,
    /// Seed of the generator; the same kind and seed give the same trace
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
}

/// Prints a generated trace.
pub fn run(arguments: &Arguments) -> Exit {
    match Kind::by_name(&arguments.kind) {
        Some(kind) => {
            print!("{}", generate::lines(&generate::trace(kind, arguments.seed)));
            Exit::Success
        }
        None => {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            eprintln!("chestnutspur: --kind must be one of {}", names.join(", "));
            Exit::Usage
        }
    }
}
