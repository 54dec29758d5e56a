//! `chestnutspur experiment`: simulates a fleet under overload.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use experiment::plot::{self, Shown};
use experiment::report::{self, Row};
use experiment::scenario::Scenario;

use crate::exit::Exit;

/// Arguments of experiment
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Print one JSON line for each policy (way)
    pub json: bool,
    /// Also draw served.svg and in-time.svg into this directory
    #[bpaf(argument("DIR"))]
    pub svg: Option<PathBuf>,
    /// JSON file with the scenario
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Simulates a scenario and prints its results; draws plots if asked to.
pub fn run(arguments: &Arguments) -> Exit {
    let Some(text) = super::read_file(&arguments.scenario) else { return Exit::Usage };
    let scenario = match Scenario::parse(&text) {
        Ok(scenario) => scenario,
        Err(faults) => {
            super::print_faults(&arguments.scenario, &faults);
            return Exit::Usage;
        }
    };
    let rows = report::rows(&scenario);
    match arguments.json {
        true => rows.iter().for_each(|row| println!("{}", serde_json::json!(row))),
        false => print!("{}", report::table(&scenario, &rows)),
    }
    let result = arguments.svg.as_ref().map_or(Ok(()), |directory| draw(directory, &rows));
    match result {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            Exit::Failure
        }
    }
}

fn draw(directory: &Path, rows: &[Row]) -> Result<(), String> {
    let to_message = |error: std::io::Error| format!("{}: {error}", directory.display());
    std::fs::create_dir_all(directory).map_err(to_message)?;
    for (name, shown) in [("served.svg", Shown::Served), ("in-time.svg", Shown::InTime)] {
        std::fs::write(directory.join(name), plot::shares(rows, shown)?).map_err(to_message)?;
    }
    Ok(())
}
