//! `chestnutspur report decisions`: what became of requests, from logs alone.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use review::{Report, plot};

use crate::command::explain;
use crate::exit::Exit;

/// What to make of the logs
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Also draw outcomes by time and expected against real times, as SVG files in a directory
    #[bpaf(argument("DIR"))]
    svg: Option<PathBuf>,
    /// Print one JSON line
    json: bool,
}

/// Reads logs from standard input and prints the report.
pub fn run(arguments: &Arguments) -> Exit {
    let report = Report::from_lines(&explain::read());
    if report.all.requests == 0 {
        eprintln!("chestnutspur: no request ended in these logs; are they those of `node`?");
        return Exit::Refused;
    }
    match show(arguments, &report) {
        Ok(()) => Exit::Done,
        Err(message) => {
            eprintln!("chestnutspur: {message}");
            Exit::Refused
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
    let failed = |error| format!("{}: {error}", directory.display());
    std::fs::create_dir_all(directory).map_err(failed)?;
    let pictures = [
        ("outcomes.svg", plot::outcomes(report)?),
        ("calibration.svg", plot::calibration(report)?),
    ];
    for (name, picture) in pictures {
        std::fs::write(directory.join(name), picture).map_err(failed)?;
    }
    Ok(())
}
