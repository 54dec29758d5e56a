//! HTTP endpoint for operators: liveness, readiness for the load balancer, metrics and status.

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
use crate::follow::Follower;
use crate::status::Status;

/// State that the endpoint reports.
pub struct Context<C> {
    /// State that all requests share.
    pub state: Arc<State<C>>,
    /// What was read from the store.
    pub catalog: Arc<Catalog>,
    /// Followers of the store's two lists.
    pub followers: Arc<[Follower; 2]>,
    /// Renders the recorded metrics.
    pub metrics: PrometheusHandle,
}

/// Serves the endpoint until the process ends.
pub async fn serve<C: Codec>(listener: TcpListener, context: Arc<Context<C>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "operators", error:% = error; "accepting an operator failed");
                continue;
            }
        };
        let context = Arc::clone(&context);
        let service = service_fn(move |request| {
            let response = answer(&context, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(target: "operators", error:% = error;
                    "connection of an operator ended with an error");
            }
        });
    }
}

fn answer<C: Codec>(context: &Context<C>, request: &Request<Incoming>) -> Response<Answer> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/live") => (StatusCode::OK, "live\n".to_owned()),
        (&Method::GET, "/ready") => ready(context),
        (&Method::GET, "/metrics") => (StatusCode::OK, render(context)),
        (&Method::GET, "/status") => (StatusCode::OK, status(context)),
        (_, "/live" | "/ready" | "/metrics" | "/status") => {
            (StatusCode::METHOD_NOT_ALLOWED, "only GET\n".to_owned())
        }
        _ => (StatusCode::NOT_FOUND, "/live, /ready, /metrics or /status\n".to_owned()),
    };
    let mut response = Response::new(Answer::whole(text));
    *response.status_mut() = status;
    response
}

fn ready<C: Codec>(context: &Context<C>) -> (StatusCode, String) {
    let snapshot = context.state.snapshot.load();
    let (status, why) = match () {
        () if context.state.stop.is_cancelled() => {
            (StatusCode::SERVICE_UNAVAILABLE, "shutting down")
        }
        () if !snapshot.is_complete => {
            (StatusCode::SERVICE_UNAVAILABLE, "the store has not been read yet")
        }
        () if context.state.shed.is_full() => {
            (StatusCode::SERVICE_UNAVAILABLE, "no room for more connections")
        }
        () => (StatusCode::OK, "ready"),
    };
    let (table, backends) = (snapshot.index.version, snapshot.revision);
    (status, format!("{{\"state\":\"{why}\",\"table\":{table},\"backends\":{backends}}}\n"))
}

/// JSON of [`Status`]: what this host knows, and how old it is.
fn status<C: Codec>(context: &Context<C>) -> String {
    let status =
        Status::collect(&context.state, &context.catalog, &*context.followers, clock::steady());
    match serde_json::to_string(&status) {
        Ok(text) => text,
        Err(error) => {
            log::error!(target: "operators", error:% = error; "status can't be serialized");
            String::new()
        }
    }
}

fn render<C: Codec>(context: &Context<C>) -> String {
    let snapshot = context.state.snapshot.load();
    let in_flight = context.state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
    metrics::gauge!("node_table_version").set(snapshot.index.version as f64);
    metrics::gauge!("node_evacuated_domains").set(context.catalog.evacuated().len() as f64);
    metrics::gauge!("node_backends_revision").set(snapshot.revision as f64);
    metrics::gauge!("gateway_requests_in_flight").set(in_flight as f64);
    for follower in context.followers.iter() {
        let seconds = follower.behind_ms(clock::steady()) as f64 / 1e3;
        metrics::gauge!("node_list_behind_seconds", "list" => follower.list.name()).set(seconds);
    }
    context.metrics.render()
}
