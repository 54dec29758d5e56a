//! The operators' port: API, health, metrics and console, over HTTP/1.1.

pub mod answer;
pub mod api;
pub mod console;
pub mod token;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use entry::body::{self, Budget, Fault, Limits};
use entry::connection::BUFFER_BYTES_MAX;
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
/// Memory that all documents use together while they are read and processed, in bytes.
const DOCUMENTS_BYTES_MAX: usize = 4 * BODY_BYTES_MAX;
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
    let documents = Budget::new(DOCUMENTS_BYTES_MAX);
    let serve = |stream| connection(stream, process.clone(), documents.clone(), stop.clone());
    accept::each(listener, tasks, stop.clone(), serve).await;
}

async fn connection(
    stream: TcpStream,
    process: Arc<Process>,
    documents: Budget,
    stop: CancellationToken,
) {
    let service = service_fn(move |request| {
        let (process, documents) = (process.clone(), documents.clone());
        async move { Ok::<_, Infallible>(handle(request, &process, &documents).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SLOW)
        .max_buf_size(BUFFER_BYTES_MAX)
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

async fn handle(request: Request<Incoming>, process: &Arc<Process>, documents: &Budget) -> Answer {
    let (parts, mut body) = request.into_parts();
    let limits = Limits { whole: SLOW, ..Limits::new(BODY_BYTES_MAX) };
    let mut memory = documents.reserve();
    let body = match body::read(&mut body, &limits, &mut memory).await {
        Ok(body) => body,
        Err(fault) => return answer::error(fault_status(&fault), &fault.to_string()),
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

/// The status of an answer to a request whose body was not read.
fn fault_status(fault: &Fault) -> StatusCode {
    match fault {
        Fault::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        Fault::Slow { .. } | Fault::Late => StatusCode::REQUEST_TIMEOUT,
        Fault::Broken { .. } => StatusCode::BAD_REQUEST,
        Fault::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
