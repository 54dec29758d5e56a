//! Readiness for the balancer, and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use entry::answer::Answer;
use entry::clock;
use gateway::{Codec, State};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::catalog::Catalog;
use crate::follow::Follow;
use crate::status::Status;

/// What is asked about.
pub struct Subject<C> {
    /// What requests share.
    pub state: Arc<State<C>>,
    /// What was read from the store.
    pub catalog: Arc<Catalog>,
    /// How its lists are followed.
    pub follows: Arc<[Follow; 2]>,
    /// The metrics' recorder.
    pub metrics: PrometheusHandle,
}

/// Serves until the process ends.
pub async fn serve<C: Codec>(listener: TcpListener, subject: Arc<Subject<C>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "operators", error:% = error; "accept failed");
                continue;
            }
        };
        let subject = Arc::clone(&subject);
        let service = service_fn(move |request| {
            let response = answer(&subject, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(target: "operators", error:% = error; "connection ended");
            }
        });
    }
}

fn answer<C: Codec>(subject: &Subject<C>, request: &Request<Incoming>) -> Response<Answer> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/live") => (StatusCode::OK, "live\n".to_owned()),
        (&Method::GET, "/ready") => ready(subject),
        (&Method::GET, "/metrics") => (StatusCode::OK, render(subject)),
        (&Method::GET, "/status") => (StatusCode::OK, status(subject)),
        (_, "/live" | "/ready" | "/metrics" | "/status") => {
            (StatusCode::METHOD_NOT_ALLOWED, "only GET\n".to_owned())
        }
        _ => (StatusCode::NOT_FOUND, "/live, /ready, /metrics or /status\n".to_owned()),
    };
    let mut response = Response::new(Answer::whole(text));
    *response.status_mut() = status;
    response
}

fn ready<C: Codec>(subject: &Subject<C>) -> (StatusCode, String) {
    let world = subject.state.snapshot.load();
    let (status, why) = match () {
        () if subject.state.stop.is_cancelled() => {
            (StatusCode::SERVICE_UNAVAILABLE, "shutting down")
        }
        () if !world.is_complete => {
            (StatusCode::SERVICE_UNAVAILABLE, "the store has not been read yet")
        }
        () if subject.state.shed.is_full() => {
            (StatusCode::SERVICE_UNAVAILABLE, "no room for more connections")
        }
        () => (StatusCode::OK, "ready"),
    };
    let (table, backends) = (world.index.version, world.revision);
    (status, format!("{{\"state\":\"{why}\",\"table\":{table},\"backends\":{backends}}}\n"))
}

/// What this host believes, and since when.
fn status<C: Codec>(subject: &Subject<C>) -> String {
    let status = Status::of(&subject.state, &subject.catalog, &*subject.follows, clock::steady());
    match serde_json::to_string(&status) {
        Ok(text) => text,
        Err(error) => {
            log::error!(target: "operators", error:% = error; "status can't be written");
            String::new()
        }
    }
}

fn render<C: Codec>(subject: &Subject<C>) -> String {
    let world = subject.state.snapshot.load();
    let in_flight = subject.state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
    metrics::gauge!("node_table_version").set(world.index.version as f64);
    metrics::gauge!("node_evacuated_domains").set(subject.catalog.evacuated().len() as f64);
    metrics::gauge!("node_backends_revision").set(world.revision as f64);
    metrics::gauge!("gateway_requests_in_flight").set(in_flight as f64);
    for follow in subject.follows.iter() {
        let seconds = follow.behind_ms(clock::steady()) as f64 / 1e3;
        metrics::gauge!("node_list_behind_seconds", "list" => follow.list.name()).set(seconds);
    }
    subject.metrics.render()
}
