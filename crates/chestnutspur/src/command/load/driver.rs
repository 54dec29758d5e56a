//! Sends requests at their intended times, whether or not earlier ones were answered.

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

/// Not counted: connections are made and caches filled.
const WARM_UP: Duration = Duration::from_secs(1);
/// How long the last requests are waited for.
const LAST: Duration = Duration::from_secs(10);
/// Longest latency distinguished, in microseconds.
const LONGEST_US: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// Why there was no load.
#[derive(Debug)]
pub enum Error {
    /// A key, task or model that no request can carry.
    Request(http::Error),
    /// The histogram's bounds.
    Histogram(hdrhistogram::CreationError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Request(error) => write!(f, "no request can be made of that: {error}"),
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

/// What came of one target.
pub struct Result {
    /// Where it is.
    pub address: SocketAddr,
    /// Latencies of whole answers from the intended send time, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests without a whole answer, or with another status than 2xx, by what went wrong.
    pub failed: BTreeMap<String, u64>,
    /// Processor time of its process over the counted time.
    pub processor: Option<Duration>,
}

struct Target {
    client: Client,
    in_flight: AtomicUsize,
}

/// One request's end.
struct End {
    target: usize,
    latency: std::result::Result<Duration, String>,
}

/// Makes the load's requests; each has its own id and prompt.
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

/// Drives the whole load.
///
/// # Errors
/// When nothing could be sent at all.
pub async fn drive(arguments: &Arguments) -> std::result::Result<Vec<Result>, Error> {
    let template = Template::new(arguments)?;
    let mut results = Vec::new();
    for address in arguments.targets() {
        let latency = Histogram::new_with_bounds(1, LONGEST_US, DIGITS)?;
        results.push(Result { address, latency, failed: BTreeMap::new(), processor: None });
    }
    let targets: Arc<[Target]> = arguments
        .targets()
        .into_iter()
        .map(|address| Target { client: Client::new(address), in_flight: 0.into() })
        .collect();
    let counted = Duration::from_secs_f64(arguments.seconds);
    send(&template, &targets, WARM_UP, |_| {}).await;
    let before: Vec<_> = arguments.pid.iter().map(|pid| processor::used(*pid)).collect();
    send(&template, &targets, counted, |end| record(&mut results, &end)).await;
    for ((result, pid), before) in results.iter_mut().zip(&arguments.pid).zip(before) {
        let after = processor::used(*pid);
        result.processor = after.zip(before).map(|(after, before)| after.saturating_sub(before));
    }
    Ok(results)
}

fn record(results: &mut [Result], end: &End) {
    let Some(result) = results.get_mut(end.target) else { return };
    match &end.latency {
        Ok(latency) => {
            let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            result.latency.saturating_record(us.max(1));
        }
        Err(why) => *result.failed.entry(why.clone()).or_default() += 1,
    }
}

/// Sends for a time, and waits for the last ends.
async fn send(
    template: &Template,
    targets: &Arc<[Target]>,
    length: Duration,
    mut record: impl FnMut(End),
) {
    let (ends, mut ended) = mpsc::unbounded_channel();
    let (template, targets) = (template.clone(), Arc::clone(targets));
    let runtime = tokio::runtime::Handle::current();
    // The runtime's timer counts whole milliseconds, too coarse for what is measured here; a
    // sleeping thread is woken within some tens of microseconds.
    let pace = std::thread::spawn(move || pace(&runtime, &template, &targets, length, &ends));
    let deadline = tokio::time::Instant::now() + length + LAST;
    while let Ok(Some(end)) = tokio::time::timeout_at(deadline, ended.recv()).await {
        record(end);
    }
    if pace.join().is_err() {
        log::error!("load: the pacing thread failed");
    }
}

fn pace(
    runtime: &tokio::runtime::Handle,
    template: &Template,
    targets: &Arc<[Target]>,
    length: Duration,
    ends: &mpsc::UnboundedSender<End>,
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
        let (targets, ends) = (Arc::clone(targets), ends.clone());
        let limit = template.arguments.in_flight;
        runtime.spawn(async move {
            let answered = one(&targets[index], request, limit).await;
            let latency = answered.map(|()| intended.elapsed());
            // The collector is gone once it has waited long enough.
            let _ = ends.send(End { target: index, latency });
        });
    }
}

async fn one(
    target: &Target,
    request: Request<Bytes>,
    limit: usize,
) -> std::result::Result<(), String> {
    let under_way = target.in_flight.fetch_add(1, Ordering::Relaxed);
    let answer = match under_way < limit {
        true => Some(target.client.call(request).await),
        false => None,
    };
    target.in_flight.fetch_sub(1, Ordering::Relaxed);
    match answer {
        Some(Ok(answer)) if answer.status().is_success() => Ok(()),
        Some(Ok(answer)) => Err(format!("status {}", answer.status().as_u16())),
        Some(Err(client::Error::Connect(error))) => Err(format!("no connection: {error}")),
        Some(Err(client::Error::Http(_))) => Err("broken off".to_owned()),
        None => Err("not sent: too many under way".to_owned()),
    }
}
