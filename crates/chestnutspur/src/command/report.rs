//! `chestnutspur report`: reports on a running deployment.

mod decisions;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use control::burn;

use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

const MINUTE_MS: u64 = 60_000;

/// Kinds of reports
#[derive(Clone, Debug, Bpaf)]
pub enum Report {
    /// Show how fast the error budgets of the service levels burn, over short and long windows
    #[bpaf(command)]
    Burn(#[bpaf(external(arguments))] Arguments),
    /// Show the outcomes of requests and why some were late, from logs on standard input
    ///
    /// Reads the JSON lines of `node`, from all hosts together and in any order; text before a
    /// line's first brace is ignored. Prints sums by route, failure domain, prompt and time, and
    /// compares expected with measured times by model and backend server. Exit code 1 if no request
    /// ended in the logs.
    #[bpaf(command)]
    Decisions(#[bpaf(external(decisions::arguments))] decisions::Arguments),
}

/// Arguments of report burn
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Address of a control's operators' port; that control has the counts of all hosts it can
    /// reach
    #[bpaf(argument("ADDR"))]
    from: SocketAddr,
    /// Also write an HTML page with the plots to this file
    #[bpaf(argument("FILE"))]
    html: Option<PathBuf>,
    /// Print one JSON line
    json: bool,
}

/// Runs one report.
pub fn run(report: Report) -> Exit {
    match report {
        Report::Burn(arguments) => process::block_on(run_burn(arguments)),
        Report::Decisions(arguments) => decisions::run(&arguments),
    }
}

async fn run_burn(arguments: Arguments) -> Exit {
    match report_burn(&arguments).await {
        Ok(()) => Exit::Success,
        Err(message) => {
            eprintln!("chestnutspur: {message}");
            Exit::Failure
        }
    }
}

async fn report_burn(arguments: &Arguments) -> Result<(), String> {
    let response = Call::get("/burn").send(arguments.from).await?;
    let report: burn::Report = serde_json::from_slice(&response.body)
        .map_err(|error| format!("{}: not a burn report: {error}", arguments.from))?;
    match arguments.json {
        true => command::print_json(&response.body, true),
        false => print!("{}", format_table(&report)),
    }
    match &arguments.html {
        Some(file) => write_page(file, &report, arguments.from).await,
        None => Ok(()),
    }
}

/// Formats one line for each service level and window.
fn format_table(report: &burn::Report) -> String {
    let mut text = format!(
        "{:<20} {:<16} {:<12} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7}  {}\n",
        "level", "account", "task", "objective", "within", "short", "burn", "long", "burn", "alert"
    );
    for level in &report.levels {
        let task = level.task.as_deref().unwrap_or("all");
        for burn in &level.burns {
            let alert = if burn.alert { "yes" } else { "no" };
            text += &format!(
                "{:<20} {:<16} {task:<12} {:>9} {:>7}ms {:>6}m {:>7.2} {:>6}m {:>7.2}  {alert}\n",
                &*level.name,
                &*level.account,
                level.objective,
                level.within_ms,
                burn.window.short_ms / MINUTE_MS,
                burn.short_rate,
                burn.window.long_ms / MINUTE_MS,
                burn.long_rate,
            );
        }
    }
    text
}

/// Writes a page with the plots embedded, so that the file can be passed on by itself.
async fn write_page(file: &Path, report: &burn::Report, from: SocketAddr) -> Result<(), String> {
    let mut page = String::from("<!doctype html>\n<meta charset=utf-8>\n<title>Burn</title>\n");
    for level in &report.levels {
        let path = format!("/burn.svg?level={}", level.name);
        let plot = Call::get(&path).send(from).await?;
        if !plot.status.is_success() {
            return Err(format!("{from}: {path}: {}", plot.status));
        }
        page += &String::from_utf8_lossy(&plot.body);
        page.push('\n');
    }
    std::fs::write(file, page).map_err(|error| format!("{}: {error}", file.display()))
}
