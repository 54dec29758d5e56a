//! Selects answers to be rated, and asks a rating service about them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use policy::exposure::cusum::Cusum;
use policy::exposure::rating::{Interest, Sampler};
use policy::exposure::{Hypotheses, Test};
use policy::name::Name;
use wire::backend::{Rating, RatingRequest};
use wire::configuration::VersionState;

use crate::body::{self, Limits, OpenGate};
use crate::clock;
use crate::connection::Connection;
use crate::filter::place;
use crate::server::{Lease, Server};
use crate::snapshot::Snapshot;
use crate::state::State;

/// Timeout of one rating, and of each step in it.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the ratings in flight; above it answers go unrated.
const IN_FLIGHT_MAX: usize = 64;
const SAMPLERS_COUNT: usize = 8;
const RATING_BYTES_MAX: usize = 64 << 10;

/// Selects the answers to be rated and counts the ratings in flight.
pub struct Ratings {
    samplers: Vec<Mutex<Sampler>>,
    next: AtomicUsize,
    in_flight: AtomicUsize,
    /// Sequential test of each version on this host's ratings alone. Its verdict only raises the
    /// share of answers that is rated; controls decide on the ratings of all hosts.
    tests: crate::sharded::Sharded<Cusum>,
}

impl Ratings {
    /// Rates this share of answers, 0 to 1, where nothing calls for more.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let samplers = (0..SAMPLERS_COUNT).map(|_| Mutex::new(Sampler::new(share))).collect();
        Self {
            samplers,
            next: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            tests: crate::sharded::Sharded::default(),
        }
    }

    /// Whether to rate the next answer of a version; draws a random number. Always false without a
    /// rating service.
    #[must_use]
    pub fn selects(&self, snapshot: &Snapshot, version: &Name) -> bool {
        let is_candidate =
            snapshot.version(version).is_some_and(|v| v.state == VersionState::Candidate);
        let verdict = self.tests.with(version, |test| test.verdict());
        let interest = Interest::new(is_candidate, verdict);
        let index = self.next.fetch_add(1, Ordering::Relaxed) % SAMPLERS_COUNT;
        let mut sampler = self.samplers[index].lock().unwrap_or_else(PoisonError::into_inner);
        !snapshot.raters.is_empty() && sampler.should_rate(interest, rand::random())
    }
}

/// Has an answer rated in a background task, so that its caller does not wait for the rating.
pub fn start(state: &Arc<State>, request: Name, version: Name, task: Name, text: String) {
    let ratings = &state.ratings;
    if ratings.in_flight.fetch_add(1, Ordering::Relaxed) >= IN_FLIGHT_MAX {
        ratings.in_flight.fetch_sub(1, Ordering::Relaxed);
        metrics::counter!("entry_ratings_skipped_total").increment(1);
        return;
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        rate(&state, &request, &version, &task, text, Instant::now() + TIMEOUT).await;
        state.ratings.in_flight.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Asks a rating service whether an answer is good, and records the rating for the reports; none if
/// no service answered in time.
pub async fn rate(
    state: &Arc<State>,
    request: &Name,
    version: &Name,
    task: &Name,
    text: String,
    deadline: Instant,
) -> Option<bool> {
    let question = RatingRequest {
        request: request.to_string(),
        version: version.to_string(),
        task: task.to_string(),
        answer: text,
    };
    let body = Bytes::from(serde_json::to_vec(&question).unwrap_or_default());
    let deadline = deadline.min(Instant::now() + TIMEOUT);
    let snapshot = state.snapshot.load_full();
    let server = place::choose(&snapshot.raters, &[], None, clock::now())?;
    let asked = tokio::time::timeout_at(deadline.into(), ask(&server, request, body)).await;
    let good = match asked {
        Ok(Some(rating)) => rating.good,
        Ok(None) | Err(_) => {
            metrics::counter!("entry_ratings_failed_total").increment(1);
            server.record_failure(clock::now());
            return None;
        }
    };
    let prior = snapshot.version(version).and_then(|v| v.quality.get(task)).copied();
    let hypotheses = Hypotheses::from_expected(prior.unwrap_or(policy::estimate::UNKNOWN_MEAN));
    state.ratings.tests.with(version, |test| test.observe(good, &hypotheses));
    state.reports.record_rating(version, task, good);
    Some(good)
}

async fn ask(server: &Arc<Server>, request: &Name, body: Bytes) -> Option<Rating> {
    let mut connection = match server.take_idle() {
        Some(connection) => connection,
        None => Connection::open(server.address, TIMEOUT).await.ok()?,
    };
    let lease = Lease::new(Arc::clone(server));
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    let question = Request::post("/rate")
        .header(HOST, host)
        .header(CONTENT_TYPE, "application/json")
        .header(wire::backend::REQUEST_ID, request.as_str())
        .body(Full::new(body))
        .ok()?;
    let response = connection.send(question, TIMEOUT).await.ok()?;
    let limits = Limits::new(RATING_BYTES_MAX);
    let body = body::read(&mut response.into_body(), &limits, &mut OpenGate).await.ok()?;
    if connection.finish_answer(TIMEOUT).await {
        server.put_idle(connection);
    }
    drop(lease);
    serde_json::from_slice(&body).ok()
}

/// The text in the body of a chat completion, for the rating service.
#[must_use]
pub fn answer_text(answer: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(answer).ok()?;
    value["choices"][0]["message"]["content"].as_str().map(str::to_owned)
}

/// The text in a complete event stream of a chat completion.
#[must_use]
pub fn stream_text(answer: &[u8]) -> Option<String> {
    let mut watch = crate::sse::Watch::default().with_text(answer.len());
    watch.feed(answer);
    watch.into_text()
}
