//! `chestnutspur entry`.

use std::path::Path;

use entry::Listeners;
use wire::settings::{self, Settings};

use crate::exit::Exit;
use crate::{logging, process};

/// Runs the data plane until it is told to stop.
pub fn run(file: &Path) -> Exit {
    match super::load(file) {
        Some(Settings::Entry(settings)) => {
            logging::start(&settings.log);
            process::block_on(serve(settings))
        }
        Some(Settings::Control(_)) => {
            eprintln!("{}: role: these are settings of control", file.display());
            Exit::Usage
        }
        None => Exit::Usage,
    }
}

async fn serve(settings: settings::Entry) -> Exit {
    match start(settings).await {
        Ok(()) => Exit::Done,
        Err(message) => {
            log::error!("entry: {message}");
            Exit::Refused
        }
    }
}

async fn start(settings: settings::Entry) -> Result<(), String> {
    let metrics = process::metrics()?;
    let stop = process::stop_on_signal().map_err(|e| e.to_string())?;
    let listeners = Listeners::bind(&settings).await.map_err(|e| e.to_string())?;
    let address = |listener: &tokio::net::TcpListener| listener.local_addr();
    let callers = address(&listeners.callers).map_err(|e| e.to_string())?;
    let operators = address(&listeners.operators).map_err(|e| e.to_string())?;
    process::print_listening(&[("callers", callers), ("operators", operators)]);
    entry::run(settings, listeners, metrics, stop).await.map_err(|e| e.to_string())
}
