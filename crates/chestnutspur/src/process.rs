//! What every long-running process needs: a runtime, metrics, and a stop by signal.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::exit::Exit;

/// Bounds of the latency histograms' buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Runs one future to its end, on as many threads as there are cores.
pub fn block_on(job: impl Future<Output = Exit>) -> Exit {
    block_on_threads(None, job)
}

fn block_on_threads(threads: Option<usize>, job: impl Future<Output = Exit>) -> Exit {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(job),
        Err(error) => {
            eprintln!("chestnutspur: no runtime: {error}");
            Exit::Refused
        }
    }
}

/// Runs a process's work, which ends by itself once it is asked to stop; `part` prefixes its logs.
/// No threads means as many as there are cores.
pub fn supervise<W>(
    part: &str,
    threads: impl Into<Option<usize>>,
    work: impl FnOnce(PrometheusHandle, CancellationToken) -> W,
) -> Exit
where
    W: Future<Output = Result<(), String>>,
{
    block_on_threads(threads.into(), async {
        let prepared = metrics()
            .and_then(|metrics| Ok((metrics, stop_on_signal().map_err(|e| e.to_string())?)));
        let result = match prepared {
            Ok((metrics, stop)) => work(metrics, stop).await,
            Err(message) => Err(message),
        };
        match result {
            Ok(()) => Exit::Done,
            Err(message) => {
                log::error!("{part}: {message}");
                Exit::Refused
            }
        }
    })
}

/// Installs the process's metrics recorder.
///
/// # Errors
/// A message, if one is installed already.
pub fn metrics() -> Result<PrometheusHandle, String> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| format!("metrics: {error}"))
}

/// A token that is cancelled by SIGTERM or SIGINT.
///
/// # Errors
/// When the handlers can't be installed.
pub fn stop_on_signal() -> std::io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => log::info!("process: SIGTERM, shutting down"),
            _ = interrupt.recv() => log::info!("process: SIGINT, shutting down"),
        }
        token.cancel();
    });
    Ok(stop)
}

/// Prints the addresses listened on, as one JSON line: with port 0 nobody knows them before.
pub fn print_listening(addresses: &[(&str, SocketAddr)]) {
    let addresses: BTreeMap<_, _> = addresses.iter().copied().collect();
    let line = serde_json::json!({ "listening": addresses });
    let mut out = std::io::stdout().lock();
    // A closed standard output is no reason not to serve.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
