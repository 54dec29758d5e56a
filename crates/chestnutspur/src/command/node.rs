//! `chestnutspur node`.

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

/// Between two looks at the settings file: it may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Runs a whole entry host until it is asked to stop.
pub fn run(file: &Path) -> Exit {
    match super::load(file) {
        Some(Settings::Node(settings)) => {
            logging::start_json(&settings.log, &settings.name);
            let threads = usize::try_from(settings.threads).unwrap_or(1);
            let file = file.to_owned();
            process::supervise("node", threads, |metrics, stop| {
                start(file, settings, metrics, stop)
            })
        }
        Some(_) => {
            eprintln!("{}: role: these are not settings of node", file.display());
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
    tokio::spawn(follow(file, settings.clone(), hangup, changes));
    let platform = (platform::Client::new(settings.platform), platform::Codec);
    node::run(settings, changed, listeners, platform, metrics, stop).await;
    Ok(())
}

/// Reads the settings again when they change. A file with faults changes nothing.
async fn follow(
    file: PathBuf,
    mut held: settings::Node,
    mut hangup: tokio::signal::unix::Signal,
    changes: mpsc::UnboundedSender<settings::Node>,
) {
    let mut text = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!(target: "process", "SIGHUP, settings read again"),
            () = tokio::time::sleep(LOOK) => {}
        }
        let now = match std::fs::read_to_string(&file) {
            Ok(now) if now == text => continue,
            Ok(now) => now,
            Err(error) => {
                log::warn!(target: "process", error:% = error; "settings can't be read");
                continue;
            }
        };
        text = now;
        match settings::parse(&text) {
            Ok(Settings::Node(read)) if read == held => {}
            Ok(Settings::Node(read)) => {
                logging::start_json(&read.log, &read.name);
                held = read.clone();
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
