//! The one client of the platform's service; nothing else speaks its HTTP form.
//!
//! Each call uses a connection of its own. Calls are few (a poll a second, batches), and a kept
//! connection can go silent while new ones work, which would look like an outage.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, ETAG, HOST, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use policy::time::Millis;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use wire::host::List;
use wire::platform::{AS_OF, Committed, Conflict, Row, Transaction};

/// Longest time one call may take, unless the caller says otherwise.
const CALL: Duration = Duration::from_secs(3);

/// Why a call has no answer.
#[derive(Clone, Debug)]
pub enum Error {
    /// Nothing took effect: no connection, or the platform said so.
    Refused(String),
    /// The answer was lost: it may have taken effect. Read back before trying again.
    Lost(String),
    /// The answer makes no sense.
    Malformed(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Lost(why) => write!(f, "answer lost: {why}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

/// Outcome of a transaction that the platform answered.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It took effect.
    Committed(Committed),
    /// It did not; here is what stands in the way.
    Conflict(Conflict),
}

/// The client.
///
/// It keeps the last answer of each read that has a tag. Most polls bring nothing new, and a host
/// list of a thousand lines read each second would be a hundred times what a node may spend.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    within: Duration,
    known: Arc<Mutex<HashMap<String, Known>>>,
}

/// Reads that are remembered at most; more than are polled.
const KNOWN_MAX: usize = 64;

/// An answer and the tag that it came with.
#[derive(Clone, Debug)]
struct Known {
    tag: HeaderValue,
    body: Bytes,
}

struct Answer {
    status: StatusCode,
    tag: Option<HeaderValue>,
    /// When a host list was made.
    as_of: Option<u64>,
    body: Bytes,
}

impl Client {
    /// For the platform at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, within: CALL, known: Arc::default() }
    }

    /// Sets the longest time one call may take.
    #[must_use]
    pub fn within(mut self, within: Duration) -> Self {
        self.within = within;
        self
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        match tokio::time::timeout(self.within, self.exchange(request)).await {
            Ok(Ok(answer)) if answer.status == StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::Refused("over the platform's rate".to_owned()))
            }
            Ok(Ok(answer)) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Refused("the platform is down".to_owned()))
            }
            Ok(Ok(answer)) if answer.status.is_server_error() => {
                Err(Error::Lost(answer.status.to_string()))
            }
            Ok(result) => result,
            Err(_) => Err(Error::Lost("timeout".to_owned())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let refused = |e: &dyn std::fmt::Display| Error::Refused(e.to_string());
        let lost = |e: &dyn std::fmt::Display| Error::Lost(e.to_string());
        let stream = TcpStream::connect(self.address).await.map_err(|e| refused(&e))?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|e| refused(&e))?;
        let connection = tokio::spawn(connection);
        let result = async {
            let response = sender.send_request(request).await.map_err(|e| lost(&e))?;
            let status = response.status();
            let tag = response.headers().get(ETAG).cloned();
            let as_of = response.headers().get(AS_OF).and_then(|value| value.to_str().ok());
            let as_of = as_of.and_then(|text| text.parse().ok());
            let body = response.into_body().collect().await.map_err(|e| lost(&e))?;
            Ok(Answer { status, tag, as_of, body: body.to_bytes() })
        }
        .await;
        connection.abort();
        result
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::Refused(e.to_string()))
    }

    async fn get(&self, path: &str) -> Result<Answer, Error> {
        let known = self.lock().get(path).cloned();
        let mut request = self.request(Method::GET, path, Bytes::new())?;
        if let Some(known) = &known {
            request.headers_mut().insert(IF_NONE_MATCH, known.tag.clone());
        }
        let answer = self.call(request).await?;
        match (answer.status, known) {
            (StatusCode::NOT_MODIFIED, Some(known)) => {
                let Known { tag, body } = known;
                Ok(Answer { status: StatusCode::OK, tag: Some(tag), body, ..answer })
            }
            _ => {
                self.remember(path, &answer);
                Ok(answer)
            }
        }
    }

    fn remember(&self, path: &str, answer: &Answer) {
        let mut known = self.lock();
        match &answer.tag {
            Some(tag) if known.len() < KNOWN_MAX || known.contains_key(path) => {
                let (tag, body) = (tag.clone(), answer.body.clone());
                known.insert(path.to_owned(), Known { tag, body });
            }
            _ => drop(known.remove(path)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One row, if it exists.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        let answer = self.get(&format!("/rows/{table}/{key}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => decode(&answer).map(Some),
        }
    }

    /// All rows of a table.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn rows(&self, table: &str) -> Result<Vec<Row>, Error> {
        decode(&self.get(&format!("/rows/{table}")).await?)
    }

    /// Commits a transaction if its conditions hold.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Lost`] it may have taken effect.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        let body = serde_json::to_vec(transaction).map_err(|e| Error::Refused(e.to_string()))?;
        let answer = self.call(self.request(Method::POST, "/transactions", body.into())?).await?;
        match answer.status {
            StatusCode::CONFLICT => serde_json::from_slice(&answer.body)
                .map(Outcome::Conflict)
                .map_err(|e| Error::Malformed(e.to_string())),
            _ => decode(&answer).map(Outcome::Committed),
        }
    }

    /// Puts an object unless one of that name exists; false if it does.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Lost`] it may have taken effect.
    pub async fn put_if_absent(&self, name: &str, bytes: Bytes) -> Result<bool, Error> {
        let mut request = self.request(Method::PUT, &format!("/objects/{name}"), bytes)?;
        request.headers_mut().insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
        let answer = self.call(request).await?;
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(Error::Malformed(status.to_string())),
        }
    }

    /// An object, if it exists.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let answer = self.get(&format!("/objects/{name}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(answer.body)),
            status => Err(Error::Malformed(status.to_string())),
        }
    }

    /// Names of all objects that begin with a prefix, sorted.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn objects(&self, prefix: &str) -> Result<Vec<String>, Error> {
        decode(&self.get(&format!("/objects?prefix={prefix}")).await?)
    }

    /// The lagging list of hosts.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no effect.
    pub async fn hosts(&self) -> Result<List, Error> {
        let answer = self.get("/hosts").await?;
        let mut list: List = decode(&answer)?;
        // An unchanged list is as new as the answer that said so. Without that a list that changed
        // and changed back would lose to what a peer had seen in between.
        list.as_of = answer.as_of.map_or(list.as_of, Millis);
        Ok(list)
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    match answer.status.is_success() {
        true => serde_json::from_slice(&answer.body).map_err(|e| Error::Malformed(e.to_string())),
        false => Err(Error::Malformed(answer.status.to_string())),
    }
}
