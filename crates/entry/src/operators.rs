//! HTTP interface with health and metrics, for operators and the load balancer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::answer::Answer;
use crate::connection::BUFFER_BYTES_MAX;
use crate::state::State;

/// Longest wait for the head of an operator's next request. Longer than the usual pause between two
/// reads of the metrics.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Serves the interface until the process ends.
pub async fn serve(listener: TcpListener, state: Arc<State>, metrics: PrometheusHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (state, metrics) = (Arc::clone(&state), metrics.clone());
        let service = service_fn(move |request| {
            let response = respond(&state, &metrics, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let served = connection().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("entry: an operator's connection failed: {error}");
            }
        });
    }
}

/// How an operator's connection is served: its buffer is short, and it is closed if it sends no
/// request.
#[must_use]
pub fn connection() -> http1::Builder {
    let mut connection = http1::Builder::new();
    connection
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_MAX)
        .max_buf_size(BUFFER_BYTES_MAX);
    connection
}

fn respond(
    state: &State,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
) -> Response<Answer> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/live") => (StatusCode::OK, "live\n".to_owned()),
        (&Method::GET, "/ready") => readiness(state),
        (&Method::GET, "/metrics") => (StatusCode::OK, render_metrics(state, metrics)),
        (_, "/live" | "/ready" | "/metrics") => {
            (StatusCode::METHOD_NOT_ALLOWED, "only GET\n".to_owned())
        }
        _ => (StatusCode::NOT_FOUND, "/live, /ready or /metrics\n".to_owned()),
    };
    let mut response = Response::new(Answer::whole(text));
    *response.status_mut() = status;
    response
}

/// Whether the process takes requests. The body also names the generation in force, so that a
/// configuration change can be followed at each entry host.
fn readiness(state: &State) -> (StatusCode, String) {
    let snapshot = state.snapshot.load();
    let (status, why) = match () {
        () if state.stop.is_cancelled() => (StatusCode::SERVICE_UNAVAILABLE, "shutting down"),
        () if !snapshot.is_ready() => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
        () => (StatusCode::OK, "ready"),
    };
    let generation = snapshot.document.generation;
    (status, format!("{{\"state\":\"{why}\",\"generation\":{generation}}}\n"))
}

fn render_metrics(state: &State, metrics: &PrometheusHandle) -> String {
    let snapshot = state.snapshot.load();
    metrics::gauge!("entry_generation").set(snapshot.document.generation as f64);
    metrics::gauge!("entry_unconfirmed_seconds").set(snapshot.unconfirmed_ms() as f64 / 1000.0);
    metrics::gauge!("entry_bills_pending").set(state.bills.pending() as f64);
    let in_flight = state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
    metrics::gauge!("entry_requests_in_flight").set(in_flight as f64);
    metrics.render()
}
