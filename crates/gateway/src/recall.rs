//! Recalls requests that were passed on to another host, and asks for their status.
//!
//! A host that gives up on another one closes its connection. If the connection has fallen silent,
//! the other host does not notice and works on: the request runs on two servers at once, or for a
//! caller who has gone. So the other host is told on a new connection.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use entry::answer::Answer;
use entry::connection::Connection;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use policy::name::Name;
use tokio_util::sync::CancellationToken;
use wire::forward::{LAST_EVENT, QUERY, RECALL};

use crate::backend::Backend;
use crate::forward;

/// The timeout of a connection to the other host, and of its answer.
const TIMEOUT: Duration = Duration::from_millis(250);
/// The time before the first status query, and between two queries while the request may be over.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two status queries. The interval doubles while the request is in
/// flight.
const QUERY_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// After this many consecutive reports that the other host has sent more than was received, the
/// rest counts as lost. When the first report comes, the data may still be on its way.
const LOST_ANSWERS_MIN: u32 = 2;
/// How many recalls are remembered. A recall may overtake its request.
const RECALLS_MAX: usize = 256;

/// The requests of other hosts that are in flight here.
#[derive(Default)]
pub struct Registry(Mutex<Requests>);

#[derive(Default)]
struct Requests {
    in_flight: HashMap<u64, Arc<Entry>>,
    recalled: VecDeque<u64>,
}

/// A request of another host, registered as in flight until dropped.
pub struct Registration {
    registry: Arc<Registry>,
    number: u64,
    entry: Arc<Entry>,
}

#[derive(Default)]
struct Entry {
    recalled: CancellationToken,
    /// The last event that was passed on; 0 if none was.
    last_event: AtomicU64,
}

/// The status of a request at another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The request is not in flight there: it was answered, or never arrived.
    Over,
    /// The request is in flight.
    UnderWay {
        /// The last event of the request's stream that was passed on.
        last_event: Option<u64>,
    },
}

/// What a host asks of another one about a request that it passed on, by the request's number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// End the request.
    Recall(u64),
    /// Report the status of the request.
    Query(u64),
}

impl Registry {
    /// Registers a request that has arrived. If it was recalled before, it is cancelled at once.
    #[must_use]
    pub fn register(self: &Arc<Self>, number: u64) -> Registration {
        let entry = Arc::<Entry>::default();
        let mut requests = self.lock();
        if requests.recalled.contains(&number) {
            entry.recalled.cancel();
        }
        requests.in_flight.insert(number, Arc::clone(&entry));
        drop(requests);
        Registration { registry: Arc::clone(self), number, entry }
    }

    /// Carries out a message, and returns the status of its request.
    pub fn handle(&self, message: Message) -> Status {
        let mut requests = self.lock();
        let number = match message {
            Message::Query(number) => number,
            Message::Recall(number) => {
                if requests.recalled.len() >= RECALLS_MAX {
                    requests.recalled.pop_front();
                }
                requests.recalled.push_back(number);
                number
            }
        };
        let Some(entry) = requests.in_flight.get(&number) else { return Status::Over };
        if matches!(message, Message::Recall(_)) {
            entry.recalled.cancel();
        }
        let last_event = Some(entry.last_event.load(Ordering::Relaxed)).filter(|last| *last > 0);
        Status::UnderWay { last_event }
    }

    fn lock(&self) -> MutexGuard<'_, Requests> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// A token that is cancelled when the request's host recalls it.
    #[must_use]
    pub fn recalled(&self) -> CancellationToken {
        self.entry.recalled.clone()
    }

    /// Records the last event of the request's stream that was passed on.
    pub fn record_passed_on(&self, last_event: u64) {
        self.entry.last_event.store(last_event, Ordering::Relaxed);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.lock().in_flight.remove(&self.number);
    }
}

impl Message {
    /// The message in a request's headers; `None` if it is an ordinary request.
    #[must_use]
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        number(RECALL).map(Self::Recall).or_else(|| number(QUERY).map(Self::Query))
    }

    fn header(self) -> (&'static str, u64) {
        match self {
            Self::Recall(number) => (RECALL, number),
            Self::Query(number) => (QUERY, number),
        }
    }

    /// Sends the message to a host, and returns the status of the request there; `None` if it is
    /// not known.
    async fn send(self, host: &Backend) -> Option<Status> {
        let mut connection = Connection::open(host.server.address, TIMEOUT).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        let (name, number) = self.header();
        request.headers_mut().insert(name, HeaderValue::from(number));
        request.headers_mut().insert(HOST, HeaderValue::from_static("host"));
        let response = connection.send(request, TIMEOUT).await.ok()?;
        match response.status() {
            StatusCode::OK => {
                let last_event = forward::header_number(response.headers(), LAST_EVENT);
                Some(Status::UnderWay { last_event })
            }
            StatusCode::NO_CONTENT => Some(Status::Over),
            // A host that doesn't know such messages.
            _ => None,
        }
    }
}

/// The response that reports a status.
#[must_use]
pub fn response(status: Status) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(Bytes::new()));
    match status {
        Status::Over => *response.status_mut() = StatusCode::NO_CONTENT,
        Status::UnderWay { last_event: Some(last) } => {
            response.headers_mut().insert(LAST_EVENT, HeaderValue::from(last));
        }
        Status::UnderWay { last_event: None } => {}
    }
    response
}

/// A request that was passed on to another host. Dropped before its answer was read whole, it is
/// recalled.
pub struct Forwarding {
    host: Arc<Backend>,
    request: Name,
    number: u64,
    is_complete: bool,
}

impl Forwarding {
    /// A request that is sent to a host now, with a new random number.
    #[must_use]
    pub fn new(host: &Arc<Backend>, request: &Name) -> Self {
        let (host, request) = (Arc::clone(host), request.clone());
        Self { host, request, number: rand::random(), is_complete: false }
    }

    /// The number of the request in messages between hosts, see [`wire::forward::NUMBER`].
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that the answer was read whole, so that the request is not recalled.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Waits until the connection has lost data: the other host reports repeatedly that it has sent
    /// more than was received, or that the request is over. `last_event` is the last event
    /// received; `None` before the first one.
    ///
    /// A host that does not answer the query may still be working on the request.
    pub async fn wait_until_lost(&self, last_event: Option<u64>) {
        let (mut ahead, mut pause) = (0, QUERY_INTERVAL);
        while ahead < LOST_ANSWERS_MIN {
            tokio::time::sleep(pause).await;
            (ahead, pause) = match Message::Query(self.number).send(&self.host).await {
                Some(Status::Over) => (ahead + 1, QUERY_INTERVAL),
                Some(Status::UnderWay { last_event: sent }) if sent > last_event => {
                    (ahead + 1, QUERY_INTERVAL)
                }
                Some(Status::UnderWay { .. }) | None => (0, (pause * 2).min(QUERY_INTERVAL_MAX)),
            };
        }
    }
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let (host, request) = (Arc::clone(&self.host), self.request.clone());
        let number = self.number;
        // Without a runtime the process is ending, and its connections end with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let status = Message::Recall(number).send(&host).await;
                log::info!(target: "route", request:% = request, host:% = host.id,
                    status:?; "request recalled from another host");
                let outcome = match status {
                    Some(Status::UnderWay { .. }) => "under_way",
                    Some(Status::Over) => "over",
                    None => "unknown",
                };
                metrics::counter!("gateway_recalls_total", "outcome" => outcome).increment(1);
            });
        }
    }
}
