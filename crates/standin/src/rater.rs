//! Stand-in for the service that rates answers: the text of a stand-in engine's answer says whether
//! it is good.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use policy::domain;
use policy::name::Name;
use wire::backend::{Rating, RatingRequest};

use crate::answer::Answer;
use crate::fault::Outage;
use crate::platform::fault::RateLimiter;
use crate::reply;
use crate::server::{self, Body, Cut, Handler, Running};

domain! {
    /// The faults of a rater; all are off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether the rater is out of service, and how it shows.
        pub down: Outage,
        /// Time that each rating takes, in milliseconds.
        pub delay_ms: u64,
        /// Most ratings a second; further requests get 429. 0 is no limit.
        pub per_second: u32,
    }

    /// A rating that was given.
    pub struct RatingRecord {
        /// Id of the request whose answer was rated.
        pub request: Name,
        /// The version that made the answer.
        pub version: Name,
        /// The task of the request.
        pub task: Name,
        /// Whether the answer was good.
        pub good: bool,
    }
}

/// The state of a rater.
#[derive(Default)]
pub struct Rater {
    faults: Mutex<Faults>,
    limiter: RateLimiter,
    ratings: Mutex<Vec<RatingRecord>>,
}

/// Starts a rater.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, faults: Faults) -> io::Result<Running<Rater>> {
    let rater = Rater { faults: Mutex::new(faults), ..Rater::default() };
    server::start(listen, rater)
}

impl Rater {
    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All ratings given, in order.
    #[must_use]
    pub fn records(&self) -> Vec<RatingRecord> {
        self.ratings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn rate(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let faults = self.faults();
        let body = reply::body(request).await?;
        match faults.down {
            Outage::No => {}
            Outage::Cut => return Err(Cut),
            Outage::Unavailable => return Ok(reply::retry_later(StatusCode::SERVICE_UNAVAILABLE)),
        }
        if !self.limiter.try_acquire(faults.per_second, Instant::now()) {
            return Ok(reply::retry_later(StatusCode::TOO_MANY_REQUESTS));
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let rate: RatingRequest = match serde_json::from_slice(&body) {
            Ok(rate) => rate,
            Err(error) => return Ok(reply::bytes(StatusCode::BAD_REQUEST, error.to_string())),
        };
        let Some(answer) = Answer::parse(&rate.answer) else {
            return Ok(reply::bytes(StatusCode::BAD_REQUEST, "not the text of an engine's answer"));
        };
        let record = RatingRecord {
            request: rate.request.into(),
            version: rate.version.into(),
            task: rate.task.into(),
            good: answer.good,
        };
        self.ratings.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        Ok(reply::json(StatusCode::OK, &Rating { good: answer.good }))
    }
}

impl Handler for Rater {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/records") => Ok(reply::json(StatusCode::OK, &self.records())),
            (&Method::PUT, "/faults") => {
                let body = reply::body(request).await?;
                Ok(reply::set(&body, |faults| self.set_faults(faults)))
            }
            (&Method::POST, "/rate") => self.rate(request).await,
            _ => Ok(reply::status(StatusCode::NOT_FOUND)),
        }
    }
}
