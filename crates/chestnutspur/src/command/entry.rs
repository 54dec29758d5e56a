//! `chestnutspur entry`: runs the data plane of one entry host.

use std::path::Path;

use entry::Listeners;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_util::sync::CancellationToken;
use wire::settings::{self, Settings};

use crate::exit::Exit;
use crate::{logging, process};

/// Runs the data plane until SIGTERM or SIGINT.
pub fn run(file: &Path) -> Exit {
    match super::load_settings(file) {
        Some(Settings::Entry(settings)) => {
            logging::start(&settings.log);
            process::supervise("entry", None, |metrics, stop| start(settings, metrics, stop))
        }
        Some(_) => {
            eprintln!("{}: role: must be \"entry\"", file.display());
            Exit::Usage
        }
        None => Exit::Usage,
    }
}

async fn start(
    settings: settings::Entry,
    metrics: PrometheusHandle,
    stop: CancellationToken,
) -> Result<(), String> {
    let listeners = Listeners::bind(&settings).await.map_err(|e| e.to_string())?;
    let callers = listeners.callers.local_addr().map_err(|e| e.to_string())?;
    let operators = listeners.operators.local_addr().map_err(|e| e.to_string())?;
    process::print_listening(&[("callers", callers), ("operators", operators)]);
    entry::run(settings, listeners, metrics, stop).await.map_err(|e| e.to_string())
}
