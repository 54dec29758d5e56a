//! HTTP endpoint for operators: liveness, readiness for the load balancer, metrics and status.

use std::convert::Infallible;
use std::sync::Arc;

use entry::answer::Answer;
use entry::{call, clock, operators};
use gateway::explain::{self, Question};
use gateway::{Codec, State};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use wire::settings::Bounds;

use crate::catalog::Catalog;
use crate::follow::Follower;
use crate::status::Status;

/// Longest question to `/where`, in bytes.
const QUESTION_BYTES_MAX: usize = 64 << 10;

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
        let service = service_fn(move |request: Request<Incoming>| {
            let context = Arc::clone(&context);
            async move {
                Ok::<_, Infallible>(match request.uri().path() {
                    "/where" => explain(&context, request).await,
                    _ => answer(&context, &request),
                })
            }
        });
        tokio::spawn(async move {
            let served = operators::connection().serve_connection(TokioIo::new(stream), service);
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
        _ => (StatusCode::NOT_FOUND, "/live, /ready, /metrics, /status or /where\n".to_owned()),
    };
    response(status, text)
}

fn response(status: StatusCode, text: String) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(text));
    *response.status_mut() = status;
    response
}

/// Explains where a request would be sent now, or where one in flight is. The body is a
/// [`Question`].
async fn explain<C: Codec>(context: &Context<C>, request: Request<Incoming>) -> Response<Answer> {
    if request.method() != Method::POST {
        return response(StatusCode::METHOD_NOT_ALLOWED, "only POST\n".to_owned());
    }
    let bounds = Bounds { body_bytes: QUESTION_BYTES_MAX, ..Bounds::default() };
    let fault = |status, message: String| {
        response(status, serde_json::json!({ "error": message }).to_string())
    };
    let body = match call::read_body(request.into_body(), &bounds).await {
        Ok(body) => body,
        Err(refusal) => return fault(StatusCode::BAD_REQUEST, refusal.message),
    };
    let question: Question = match serde_json::from_slice(&body) {
        Ok(question) => question,
        Err(error) => return fault(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let found = match &question.request {
        Some(id) => match explain::locate(&context.state, id) {
            runs if runs.is_empty() => Err("no request with this id is in flight here".to_owned()),
            runs => Ok(serde_json::json!({ "runs": runs }).to_string()),
        },
        None => match explain::explain(&context.state, &question) {
            Ok(explanation) => serde_json::to_string(&explanation).map_err(|e| e.to_string()),
            Err(unknown) => Err(unknown.to_string()),
        },
    };
    match found {
        Ok(text) => response(StatusCode::OK, text),
        Err(message) => fault(StatusCode::NOT_FOUND, message),
    }
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
    if let Some(memory) = memory_stats::memory_stats() {
        metrics::gauge!("node_resident_bytes").set(memory.physical_mem as f64);
    }
    metrics::gauge!("gateway_answers_read_bytes").set(context.state.buffers.read_bytes() as f64);
    let prefixes = &context.state.prefixes;
    if prefixes.is_on() {
        let followed = prefixes.followed.load(std::sync::atomic::Ordering::Relaxed);
        metrics::gauge!("gateway_prefix_entries").set(prefixes.count(clock::steady()) as f64);
        metrics::gauge!("node_caches_followed").set(followed as f64);
    }
    for follower in context.followers.iter() {
        let seconds = follower.behind_ms(clock::steady()) as f64 / 1e3;
        metrics::gauge!("node_list_behind_seconds", "list" => follower.list.name()).set(seconds);
    }
    context.metrics.render()
}
