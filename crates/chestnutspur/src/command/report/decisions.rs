//! `chestnutspur report decisions`: outcomes of requests and causes of lateness, from logs alone.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use review::{Report, plot};

use crate::command::explain;
use crate::exit::Exit;

/// Arguments of report decisions
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Also plot outcomes over time, and expected against measured times, as SVG files in this
    /// directory
    #[bpaf(argument("DIR"))]
    svg: Option<PathBuf>,
    /// Print one JSON line
    json: bool,
}

/// Reads logs from standard input and prints the report.
pub fn run(arguments: &Arguments) -> Exit {
    let report = Report::from_lines(&explain::read_lines());
    if report.all.requests == 0 {
        eprintln!("chestnutspur: no request ended in these logs; are they logs of `node`?");
        return Exit::Failure;
    }
    match show(arguments, &report) {
        Ok(()) => Exit::Success,
        Err(message) => {
            eprintln!("chestnutspur: {message}");
            Exit::Failure
        }
    }
}

fn show(arguments: &Arguments, report: &Report) -> Result<(), String> {
    match arguments.json {
        true => println!("{}", serde_json::to_string(report).map_err(|error| error.to_string())?),
        false => print!("{}", report.text()),
    }
    match &arguments.svg {
        Some(directory) => draw(directory, report),
        None => Ok(()),
    }
}

fn draw(directory: &Path, report: &Report) -> Result<(), String> {
    let to_message = |error| format!("{}: {error}", directory.display());
    std::fs::create_dir_all(directory).map_err(to_message)?;
    let pictures = [
        ("outcomes.svg", plot::outcomes(report)?),
        ("calibration.svg", plot::calibration(report)?),
    ];
    for (name, picture) in pictures {
        std::fs::write(directory.join(name), picture).map_err(to_message)?;
    }
    Ok(())
}
