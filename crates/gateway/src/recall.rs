//! Takes requests back that were passed on to another host, and asks after them.
//!
//! A host that leaves another one closes its connection. Where that has fallen silent the other one never
//! learns of it and works on: the request runs on two servers at once, or for a caller who is gone. So it
//! is notified on a new connection.

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

/// Longest wait for a connection to the other host, and for its answer.
const WITHIN: Duration = Duration::from_millis(250);
/// Before the first question after a request, and between two while it may be over.
const ASK_AFTER: Duration = Duration::from_millis(250);
/// Longest time between two questions; it doubles while the request is under way.
const ASK_EVERY_MAX: Duration = Duration::from_secs(2);
/// Answers in a row that the other host has sent more than has come, from which on that is lost: it may
/// still be on its way when the first question is answered.
const LOST_AFTER: u32 = 2;
/// Recalls that are remembered: one may overtake its request.
const REMEMBERED: usize = 256;

/// Requests of other hosts that are under way here.
#[derive(Default)]
pub struct Registry(Mutex<Known>);

#[derive(Default)]
struct Known {
    under_way: HashMap<u64, Arc<Entry>>,
    recalled: VecDeque<u64>,
}

/// Another host's request, under way until dropped.
pub struct Registered {
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

/// Whether a request is under way at another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Not under way there: it was answered, or never came.
    Over,
    /// Under way.
    UnderWay {
        /// The last event of its stream that was passed on.
        last_event: Option<u64>,
    },
}

/// What another host wants to know or to have done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Question {
    /// The request is to end.
    Recall(u64),
    /// Whether the request is under way.
    Ask(u64),
}

impl Registry {
    /// A request comes in.
    #[must_use]
    pub fn enter(self: &Arc<Self>, number: u64) -> Registered {
        let entry = Arc::<Entry>::default();
        let mut known = self.lock();
        if known.recalled.contains(&number) {
            entry.recalled.cancel();
        }
        known.under_way.insert(number, Arc::clone(&entry));
        drop(known);
        Registered { registry: Arc::clone(self), number, entry }
    }

    /// Whether the request that is asked after is under way; one that is recalled ends.
    pub fn answer(&self, question: Question) -> Status {
        let mut known = self.lock();
        let number = match question {
            Question::Ask(number) => number,
            Question::Recall(number) => {
                if known.recalled.len() >= REMEMBERED {
                    known.recalled.pop_front();
                }
                known.recalled.push_back(number);
                number
            }
        };
        let Some(entry) = known.under_way.get(&number) else { return Status::Over };
        if matches!(question, Question::Recall(_)) {
            entry.recalled.cancel();
        }
        let last_event = Some(entry.last_event.load(Ordering::Relaxed)).filter(|last| *last > 0);
        Status::UnderWay { last_event }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registered {
    /// Cancelled when its host takes it back.
    #[must_use]
    pub fn recalled(&self) -> CancellationToken {
        self.entry.recalled.clone()
    }

    /// Its stream was passed on up to this event.
    pub fn note_passed(&self, last_event: u64) {
        self.entry.last_event.store(last_event, Ordering::Relaxed);
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.registry.lock().under_way.remove(&self.number);
    }
}

impl Question {
    /// The question that came in place of a request, if it is one.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        number(RECALL).map(Self::Recall).or_else(|| number(QUERY).map(Self::Ask))
    }

    fn header(self) -> (&'static str, u64) {
        match self {
            Self::Recall(number) => (RECALL, number),
            Self::Ask(number) => (QUERY, number),
        }
    }

    /// Asks a host whether the request is under way there; none if that is not known.
    async fn send(self, host: &Backend) -> Option<Status> {
        let mut connection = Connection::open(host.server.address, WITHIN).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        let (name, number) = self.header();
        request.headers_mut().insert(name, HeaderValue::from(number));
        request.headers_mut().insert(HOST, HeaderValue::from_static("host"));
        let response = connection.send(request, WITHIN).await.ok()?;
        match response.status() {
            StatusCode::OK => {
                let last_event = forward::number(response.headers(), LAST_EVENT);
                Some(Status::UnderWay { last_event })
            }
            StatusCode::NO_CONTENT => Some(Status::Over),
            // One that doesn't know such questions.
            _ => None,
        }
    }
}

/// The answer to a question.
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

/// A request at another host; dropped before its answer was read whole it is taken back.
pub struct Forwarding {
    host: Arc<Backend>,
    request: Name,
    number: u64,
    is_over: bool,
}

impl Forwarding {
    /// One that is sent to a host now, with a number that no other has.
    #[must_use]
    pub fn new(host: &Arc<Backend>, request: &Name) -> Self {
        let (host, request) = (Arc::clone(host), request.clone());
        Self { host, request, number: rand::random(), is_over: false }
    }

    /// See [`wire::forward::NUMBER`].
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Its answer was read whole.
    pub fn end(&mut self) {
        self.is_over = true;
    }

    /// Waits until the other host has sent more than has come, which is up to an event of a stream or nothing
    /// yet: the connection is silent.
    ///
    /// A host that can't be asked may still be at it.
    pub async fn lost(&self, last_event: Option<u64>) {
        let (mut ahead, mut pause) = (0, ASK_AFTER);
        while ahead < LOST_AFTER {
            tokio::time::sleep(pause).await;
            (ahead, pause) = match Question::Ask(self.number).send(&self.host).await {
                Some(Status::Over) => (ahead + 1, ASK_AFTER),
                Some(Status::UnderWay { last_event: sent }) if sent > last_event => {
                    (ahead + 1, ASK_AFTER)
                }
                Some(Status::UnderWay { .. }) | None => (0, (pause * 2).min(ASK_EVERY_MAX)),
            };
        }
    }
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let (host, request) = (Arc::clone(&self.host), self.request.clone());
        let number = self.number;
        // None outside of a runtime: then the process ends, and its connections with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let status = Question::Recall(number).send(&host).await;
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
