//! HTTP calls to the operators' port of a control process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use entry::body::{self, Limits, OpenGate};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout of one call. Applying a configuration waits until the hosts have adopted it, so the
/// timeout is long.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest response, in bytes. Bills of a whole deployment fit.
const RESPONSE_BYTES_MAX: usize = 1 << 30;

/// A response whose body was received completely.
pub struct Response {
    /// HTTP status, of any class: an error status is still a response.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// A call that has not been sent yet.
pub struct Call<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside `host`, which [`Call::send`] sets.
    pub headers: Vec<(&'static str, String)>,
    /// Request body; empty for a `GET`.
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// Creates a `GET` call without further headers.
    #[must_use]
    pub fn get(path: &'a str) -> Self {
        Self { method: Method::GET, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Sends the call on a new connection and reads the whole response.
    ///
    /// # Errors
    /// A message for the operator if there is no complete response within the timeout.
    pub async fn send(self, address: SocketAddr) -> Result<Response, String> {
        match tokio::time::timeout(CALL_TIMEOUT, self.exchange(address)).await {
            Ok(result) => result.map_err(|error| format!("{address}: {error}")),
            Err(_) => Err(format!("{address}: no response within {} s", CALL_TIMEOUT.as_secs())),
        }
    }

    async fn exchange(self, address: SocketAddr) -> Result<Response, String> {
        let to_message = |error: &dyn std::fmt::Display| error.to_string();
        let stream = TcpStream::connect(address).await.map_err(|e| to_message(&e))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| to_message(&e))?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, address.to_string());
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body)).map_err(|e| to_message(&e))?;
        let response = sender.send_request(request).await.map_err(|e| to_message(&e))?;
        let status = response.status();
        let limits = Limits::new(RESPONSE_BYTES_MAX);
        let body = body::read(&mut response.into_body(), &limits, &mut OpenGate).await;
        let body = body.map_err(|e| to_message(&e))?;
        Ok(Response { status, body })
    }
}
