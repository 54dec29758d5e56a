//! `chestnutspur control`.

use std::path::Path;

use control::Listeners;
use wire::settings::{self, Settings};

use crate::exit::Exit;
use crate::{logging, process};

/// Runs the controllers until it is told to stop.
pub fn run(file: &Path) -> Exit {
    match super::load(file) {
        Some(Settings::Control(settings)) => {
            logging::start(&settings.log);
            process::block_on(serve(settings))
        }
        Some(Settings::Entry(_)) => {
            eprintln!("{}: role: these are settings of entry", file.display());
            Exit::Usage
        }
        None => Exit::Usage,
    }
}

async fn serve(settings: settings::Control) -> Exit {
    match start(settings).await {
        Ok(()) => Exit::Done,
        Err(message) => {
            log::error!("control: {message}");
            Exit::Refused
        }
    }
}

async fn start(settings: settings::Control) -> Result<(), String> {
    let metrics = process::metrics()?;
    let stop = process::stop_on_signal().map_err(|e| e.to_string())?;
    let listeners = Listeners::bind(&settings).await.map_err(|e| e.to_string())?;
    let address = |listener: &tokio::net::TcpListener| listener.local_addr();
    let peers = address(&listeners.peers).map_err(|e| e.to_string())?;
    let operators = address(&listeners.operators).map_err(|e| e.to_string())?;
    process::print_listening(&[("peers", peers), ("operators", operators)]);
    control::run(settings, listeners, metrics, stop).await.map_err(|e| e.to_string())
}
