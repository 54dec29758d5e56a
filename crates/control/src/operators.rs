//! The operators' port: API, health, metrics and console, over HTTP/1.1.

pub mod answer;
pub mod api;
pub mod console;
pub mod token;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::answer::Answer;
use crate::accept;
use crate::process::Process;

/// Longest document, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;
/// Longest time an operator may take to send headers, or a body.
const SLOW: Duration = Duration::from_secs(10);

/// A request, read whole.
pub struct Asked {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// Its query, undecoded; empty for none.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Accepts connections until asked to stop.
pub async fn serve(
    listener: TcpListener,
    process: Arc<Process>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let serve = |stream| connection(stream, process.clone(), stop.clone());
    accept::each(listener, tasks, stop.clone(), serve).await;
}

async fn connection(stream: TcpStream, process: Arc<Process>, stop: CancellationToken) {
    let service = service_fn(move |request| {
        let process = process.clone();
        async move { Ok::<_, Infallible>(handle(request, &process).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SLOW)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!("operators: {error}");
    }
}

async fn handle(request: Request<Incoming>, process: &Arc<Process>) -> Answer {
    let (parts, body) = request.into_parts();
    let body = match tokio::time::timeout(SLOW, Limited::new(body, BODY_BYTES_MAX).collect()).await
    {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            return answer::error(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string());
        }
        Err(_) => return answer::error(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let asked = Asked {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    match asked.path.starts_with("/console/") {
        true => console::route(&asked, process).await,
        false => api::route(&asked, process).await,
    }
}
