//! Sends each request at its intended time, whether or not earlier ones were answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::http::request;
use hyper::{Request, http};
use serde_json::json;
use standin::client::{self, Client};
use tokio::sync::mpsc;
use wire::backend::{REQUEST_ID, TASK};

use super::{Arguments, processor};

/// Time before the measurement in which connections are opened and caches filled; its requests
/// don't count.
const WARM_UP: Duration = Duration::from_secs(1);
/// How long after the last request was sent its answer is waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Highest latency that the histogram records; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Why no load was sent.
#[derive(Debug)]
pub enum Error {
    /// The key or task can't stand in a header.
    Request(http::Error),
    /// The bounds of a latency histogram are invalid.
    Histogram(hdrhistogram::CreationError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Request(error) => write!(f, "the key or task can't be sent: {error}"),
            Self::Histogram(error) => write!(f, "histogram: {error}"),
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Request(error)
    }
}

impl From<hdrhistogram::CreationError> for Error {
    fn from(error: hdrhistogram::CreationError) -> Self {
        Self::Histogram(error)
    }
}

/// Measurements of one target.
pub struct Result {
    /// Address of the target.
    pub address: SocketAddr,
    /// Latencies of complete 2xx answers since the intended send time, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests without a complete answer or with a status other than 2xx, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Processor time that the target's process used during the measurement; none if its process id
    /// is unknown or can't be read.
    pub processor: Option<Duration>,
}

struct Target {
    client: Client,
    in_flight: AtomicUsize,
}

/// The outcome of one request; `target` is an index.
struct Completion {
    target: usize,
    latency: std::result::Result<Duration, String>,
}

/// Builds the requests of a load, each with its own id and prompt.
#[derive(Clone)]
struct Template {
    head: request::Parts,
    arguments: Arc<Arguments>,
}

impl Template {
    fn new(arguments: &Arguments) -> std::result::Result<Self, Error> {
        let request = Request::post("/v1/chat/completions")
            .header(CONTENT_TYPE, "application/json")
            .header(TASK, &arguments.task)
            .header(AUTHORIZATION, format!("Bearer {}", arguments.key))
            .body(())?;
        let (head, ()) = request.into_parts();
        Ok(Self { head, arguments: Arc::new(arguments.clone()) })
    }

    fn request(&self, number: u64) -> Request<Bytes> {
        let body = json!({
            "model": self.arguments.model,
            "stream": self.arguments.stream,
            "messages": [{
                "role": "user",
                "content": format!("{} load request {number}", self.arguments.task),
            }],
        });
        let mut request = Request::from_parts(self.head.clone(), Bytes::from(body.to_string()));
        if let Ok(id) = HeaderValue::from_str(&format!("load-{number}")) {
            request.headers_mut().insert(REQUEST_ID, id);
        }
        request
    }
}

/// Sends the warm-up and the measured load.
///
/// # Errors
/// If no request can be built.
pub async fn drive(arguments: &Arguments) -> std::result::Result<Vec<Result>, Error> {
    let template = Template::new(arguments)?;
    let mut results = Vec::new();
    for address in arguments.targets() {
        let latency = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)?;
        results.push(Result { address, latency, failed: BTreeMap::new(), processor: None });
    }
    let targets: Arc<[Target]> = arguments
        .targets()
        .into_iter()
        .map(|address| Target { client: Client::new(address), in_flight: 0.into() })
        .collect();
    let counted = Duration::from_secs_f64(arguments.seconds);
    send(&template, &targets, WARM_UP, |_| {}).await;
    let before: Vec<_> = arguments.pid.iter().map(|pid| processor::cpu_time(*pid)).collect();
    send(&template, &targets, counted, |completion| record(&mut results, &completion)).await;
    for ((result, pid), before) in results.iter_mut().zip(&arguments.pid).zip(before) {
        let after = processor::cpu_time(*pid);
        result.processor = after.zip(before).map(|(after, before)| after.saturating_sub(before));
    }
    Ok(results)
}

fn record(results: &mut [Result], completion: &Completion) {
    let Some(result) = results.get_mut(completion.target) else { return };
    match &completion.latency {
        Ok(latency) => {
            let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            result.latency.saturating_record(us.max(1));
        }
        Err(reason) => *result.failed.entry(reason.clone()).or_default() += 1,
    }
}

/// Sends requests for `length`, and passes each completion to `record`.
async fn send(
    template: &Template,
    targets: &Arc<[Target]>,
    length: Duration,
    mut record: impl FnMut(Completion),
) {
    let (completions, mut completed) = mpsc::unbounded_channel();
    let (template, targets) = (template.clone(), Arc::clone(targets));
    let runtime = tokio::runtime::Handle::current();
    // The runtime's timer has a resolution of one millisecond, too coarse for the latencies
    // measured here. A sleeping thread wakes up within some tens of microseconds.
    let pacer =
        std::thread::spawn(move || send_paced(&runtime, &template, &targets, length, &completions));
    let deadline = tokio::time::Instant::now() + length + DRAIN_TIMEOUT;
    while let Ok(Some(completion)) = tokio::time::timeout_at(deadline, completed.recv()).await {
        record(completion);
    }
    if pacer.join().is_err() {
        log::error!("load: the pacing thread failed");
    }
}

fn send_paced(
    runtime: &tokio::runtime::Handle,
    template: &Template,
    targets: &Arc<[Target]>,
    length: Duration,
    completions: &mpsc::UnboundedSender<Completion>,
) {
    let count = targets.len() as u64;
    let interval = 1.0 / (template.arguments.rate * count as f64);
    let total = (length.as_secs_f64() / interval) as u64;
    let start = Instant::now();
    for number in 0..total {
        let intended = start + Duration::from_secs_f64(number as f64 * interval);
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        let index = usize::try_from(number % count).unwrap_or_default();
        let request = template.request(number);
        let (targets, completions) = (Arc::clone(targets), completions.clone());
        let limit = template.arguments.in_flight;
        runtime.spawn(async move {
            let result = send_one(&targets[index], request, limit).await;
            let latency = result.map(|()| intended.elapsed());
            // The receiver is closed after the drain timeout.
            let _ = completions.send(Completion { target: index, latency });
        });
    }
}

async fn send_one(
    target: &Target,
    request: Request<Bytes>,
    limit: usize,
) -> std::result::Result<(), String> {
    let in_flight = target.in_flight.fetch_add(1, Ordering::Relaxed);
    let answer = match in_flight < limit {
        true => Some(target.client.call(request).await),
        false => None,
    };
    target.in_flight.fetch_sub(1, Ordering::Relaxed);
    match answer {
        Some(Ok(answer)) if answer.status().is_success() => Ok(()),
        Some(Ok(answer)) => Err(format!("status {}", answer.status().as_u16())),
        Some(Err(client::Error::Connect(error))) => Err(format!("no connection: {error}")),
        Some(Err(client::Error::Http(_))) => Err("connection broke".to_owned()),
        None => Err("not sent: too many requests in flight".to_owned()),
    }
}
