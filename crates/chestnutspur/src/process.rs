//! Common parts of the long-running processes: runtime, metrics and shutdown on a signal.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::exit::Exit;

/// Upper bounds of the buckets of all latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Runs a future to completion on as many threads as there are cores.
pub fn block_on(future: impl Future<Output = Exit>) -> Exit {
    block_on_threads(None, future)
}

fn block_on_threads(threads: Option<usize>, future: impl Future<Output = Exit>) -> Exit {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(future),
        Err(error) => {
            eprintln!("chestnutspur: can't start the async runtime: {error}");
            Exit::Failure
        }
    }
}

/// Runs a long-running process until its work returns, which it does after the token that it
/// receives is cancelled by a signal.
///
/// `name` prefixes the logged error. Without a number of threads there are as many as cores.
pub fn supervise<W>(
    name: &str,
    threads: impl Into<Option<usize>>,
    work: impl FnOnce(PrometheusHandle, CancellationToken) -> W,
) -> Exit
where
    W: Future<Output = Result<(), String>>,
{
    block_on_threads(threads.into(), async {
        let prepared = install_metrics()
            .and_then(|metrics| Ok((metrics, stop_on_signal().map_err(|e| e.to_string())?)));
        let result = match prepared {
            Ok((metrics, stop)) => work(metrics, stop).await,
            Err(message) => Err(message),
        };
        match result {
            Ok(()) => Exit::Success,
            Err(message) => {
                log::error!("{name}: {message}");
                Exit::Failure
            }
        }
    })
}

/// Installs the process's metrics recorder.
///
/// # Errors
/// A message if a recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, String> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| format!("metrics: {error}"))
}

/// Returns a token that SIGTERM or SIGINT cancels.
///
/// # Errors
/// If the signal handlers can't be installed.
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

/// Prints the listening addresses as one JSON line. With port 0 the system chooses the port, so the
/// starter learns it only from this line.
pub fn print_listening(addresses: &[(&str, SocketAddr)]) {
    let addresses: BTreeMap<_, _> = addresses.iter().copied().collect();
    let line = serde_json::json!({ "listening": addresses });
    let mut out = std::io::stdout().lock();
    // The process keeps serving when standard output is closed.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
