//! A small HTTP/1.1 client that reuses its connections, for the pass-through, the demo, the load
//! driver and tests.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::reply;
use crate::server::Body;

/// The reason why a call has no whole answer.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened: nothing was sent.
    Connect(std::io::Error),
    /// The connection broke, or the answer is not HTTP.
    Http(hyper::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "can't connect: {error}"),
            Self::Http(error) => write!(f, "no whole answer: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        Self::Http(error)
    }
}

/// An answer whose body has been read whole.
pub type Answer = Response<Bytes>;

/// A client of one address. A connection is used again once its answer has been read.
pub struct Client {
    address: SocketAddr,
    host: HeaderValue,
    idle: Mutex<Vec<SendRequest<Body>>>,
}

impl Client {
    /// Makes a client of an address. The first call opens the first connection.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.unwrap_or_else(|_| HeaderValue::from_static("localhost"));
        Self { address, host, idle: Mutex::default() }
    }

    async fn acquire(&self) -> Result<SendRequest<Body>, Error> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match idle {
                Some(connection) if connection.is_ready() => return Ok(connection),
                Some(_) => {}
                None => return self.dial().await,
            }
        }
    }

    async fn dial(&self) -> Result<SendRequest<Body>, Error> {
        let stream = TcpStream::connect(self.address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("client: connection failed: {error}");
            }
        });
        Ok(sender)
    }

    /// Sends one request and returns its answer, whose body is still to be read, and the
    /// connection. Hand the connection to [`Client::return_connection`] once the body has been
    /// read.
    ///
    /// # Errors
    /// When no answer comes. Only [`Error::Connect`] means that nothing was sent.
    pub async fn send(
        &self,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, SendRequest<Body>), Error> {
        let mut connection = self.acquire().await?;
        request.headers_mut().entry(HOST).or_insert_with(|| self.host.clone());
        let response = connection.send_request(request).await?;
        Ok((response, connection))
    }

    /// Keeps a connection, whose last answer has been read, for the next call.
    pub fn return_connection(&self, connection: SendRequest<Body>) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    /// The errors of [`Client::send`], and [`Error::Http`] when the answer breaks off.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Answer, Error> {
        let request = request.map(reply::full);
        let (response, mut connection) = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await?.to_bytes();
        if connection.ready().await.is_ok() {
            self.return_connection(connection);
        }
        Ok(Response::from_parts(parts, bytes))
    }
}

/// Makes a request with a body.
///
/// # Errors
/// When the path is no valid URI path.
pub fn request(
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Bytes>, hyper::http::Error> {
    Request::builder().method(method).uri(path).body(body.into())
}
