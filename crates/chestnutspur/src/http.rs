//! One HTTP call to a control's operators' port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest time one call may take; applying waits for hosts to adopt.
const CALL: Duration = Duration::from_secs(30);

/// An answer, whole.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// A call to make.
pub struct Call<'a> {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// A read.
    #[must_use]
    pub fn get(path: &'a str) -> Self {
        Self { method: Method::GET, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Makes it.
    ///
    /// # Errors
    /// A message for the operator.
    pub async fn send(self, to: SocketAddr) -> Result<Answer, String> {
        match tokio::time::timeout(CALL, self.exchange(to)).await {
            Ok(result) => result.map_err(|error| format!("{to}: {error}")),
            Err(_) => Err(format!("{to}: no answer within {} s", CALL.as_secs())),
        }
    }

    async fn exchange(self, to: SocketAddr) -> Result<Answer, String> {
        let text = |error: &dyn std::fmt::Display| error.to_string();
        let stream = TcpStream::connect(to).await.map_err(|e| text(&e))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| text(&e))?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, to.to_string());
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body)).map_err(|e| text(&e))?;
        let response = sender.send_request(request).await.map_err(|e| text(&e))?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|e| text(&e))?.to_bytes();
        Ok(Answer { status, body })
    }
}
