//! `chestnutspur control`: runs the controllers of one entry host.

use std::path::Path;

use control::Listeners;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_util::sync::CancellationToken;
use wire::settings::{self, Settings};

use crate::exit::Exit;
use crate::{logging, process};

/// Runs the controllers until SIGTERM or SIGINT.
pub fn run(file: &Path) -> Exit {
    match super::load_settings(file) {
        Some(Settings::Control(settings)) => {
            logging::start(&settings.log);
            process::supervise("control", None, |metrics, stop| start(settings, metrics, stop))
        }
        Some(_) => {
            eprintln!("{}: role: must be \"control\"", file.display());
            Exit::Usage
        }
        None => Exit::Usage,
    }
}

async fn start(
    settings: settings::Control,
    metrics: PrometheusHandle,
    stop: CancellationToken,
) -> Result<(), String> {
    let listeners = Listeners::bind(&settings).await.map_err(|e| e.to_string())?;
    let peers = listeners.peers.local_addr().map_err(|e| e.to_string())?;
    let operators = listeners.operators.local_addr().map_err(|e| e.to_string())?;
    process::print_listening(&[("peers", peers), ("operators", operators)]);
    control::run(settings, listeners, metrics, stop).await.map_err(|e| e.to_string())
}
