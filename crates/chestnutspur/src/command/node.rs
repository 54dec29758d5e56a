//! `chestnutspur node`: runs a complete entry host and reloads its settings.

use std::path::{Path, PathBuf};
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use node::Listeners;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::settings::{self, Settings};

use crate::exit::Exit;
use crate::{logging, process};

/// Interval at which the settings file is read again: it may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry host until SIGTERM or SIGINT.
pub fn run(file: &Path) -> Exit {
    match super::load_settings(file) {
        Some(Settings::Node(settings)) => {
            logging::start_json(&settings.log, &settings.name);
            let threads = usize::try_from(settings.threads).unwrap_or(1);
            let file = file.to_owned();
            process::supervise("node", threads, |metrics, stop| {
                start(file, settings, metrics, stop)
            })
        }
        Some(_) => {
            eprintln!("{}: role: must be \"node\"", file.display());
            Exit::Usage
        }
        None => Exit::Usage,
    }
}

async fn start(
    file: PathBuf,
    settings: settings::Node,
    metrics: PrometheusHandle,
    stop: CancellationToken,
) -> Result<(), String> {
    let hangup = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    let listeners = Listeners::bind(&settings).await.map_err(|error| error.to_string())?;
    let (changes, changed) = mpsc::unbounded_channel();
    tokio::spawn(watch_settings(file, settings.clone(), hangup, changes));
    let memory = settings.resources.memory_bytes();
    let store = platform::Client::new(settings.platform).with_memory(memory);
    let platform = (store, platform::Codec, platform::Engines::new(memory));
    node::run(settings, changed, listeners, platform, metrics, stop).await;
    Ok(())
}

/// Sends the settings to the node whenever the file changes them. A file with faults changes
/// nothing, and is reported once.
async fn watch_settings(
    file: PathBuf,
    mut current: settings::Node,
    mut hangup: tokio::signal::unix::Signal,
    changes: mpsc::UnboundedSender<settings::Node>,
) {
    let mut text = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!(target: "process", "SIGHUP, settings read again"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        let new_text = match std::fs::read_to_string(&file) {
            Ok(new_text) if new_text == text => continue,
            Ok(new_text) => new_text,
            Err(error) => {
                log::warn!(target: "process", error:% = error; "settings can't be read");
                continue;
            }
        };
        text = new_text;
        match settings::parse(&text) {
            Ok(Settings::Node(read)) if read == current => {}
            Ok(Settings::Node(read)) => {
                logging::start_json(&read.log, &read.name);
                current = read.clone();
                if changes.send(read).is_err() {
                    return;
                }
            }
            Ok(_) => log::warn!(target: "process", "settings are of another role, kept as before"),
            Err(faults) => {
                for fault in faults {
                    log::warn!(target: "process", fault:% = fault; "settings kept as before");
                }
            }
        }
    }
}
