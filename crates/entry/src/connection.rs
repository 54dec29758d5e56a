//! One connection to a backend server, and what is known of a request given to it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Why a try failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The backend server refuses connections.
    Refused,
    /// No connection can be opened from here: no way there, or nothing left to open one with.
    Unreachable,
    /// Nothing came within the time.
    Silent,
    /// The connection closed or broke the protocol.
    Broken,
    /// The answer belongs to another request.
    Crossed,
    /// The answer ended before its end.
    Truncated,
    /// The backend server answered that it failed or is busy.
    Failed(u16),
    /// The request's own deadline passed.
    Deadline,
}

/// A try that failed, and whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What happened.
    pub cause: Cause,
    /// Whether a byte of the request may have been written.
    pub sent: bool,
}

impl Failure {
    /// Not one byte was written.
    #[must_use]
    pub fn not_sent(cause: Cause) -> Self {
        Self { cause, sent: false }
    }

    /// Some may have been.
    #[must_use]
    pub fn sent(cause: Cause) -> Self {
        Self { cause, sent: true }
    }
}

/// Longest head of an answer. A backend server that has fallen into trouble may send one without end; what
/// servers mean to say takes a few hundred bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// One open connection. Dropping it closes the socket at once, which cancels what the backend
/// server works on: an answer that is late or crossed goes down with its connection and can
/// never reach a later request.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    /// When it last proved that it works: at its opening, or at the end of a whole answer.
    proven: Instant,
    reused: bool,
}

impl Connection {
    /// Opens one.
    ///
    /// Neither TCP_USER_TIMEOUT nor keep-alive is set on it, nor on any other socket of ours, and no
    /// library opens one for us. A silent connection is found by the times that requests on it are given;
    /// one of the system's would end those that are still waited for on purpose.
    ///
    /// # Errors
    /// Always with `sent: false`.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self, Failure> {
        let stream = match tokio::time::timeout(within, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::not_sent(Cause::of(&error))),
            Err(_) => return Err(Failure::not_sent(Cause::Silent)),
        };
        let nodelay = stream.set_nodelay(true);
        nodelay.map_err(|_| Failure::not_sent(Cause::Broken))?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|_| Failure::not_sent(Cause::Broken))?;
        let driver = tokio::spawn(async move {
            // How it ended reaches whoever waits for an answer on it.
            let _ = driver.await;
        });
        let driver = AbortOnDropHandle::new(driver);
        Ok(Self { sender, _driver: driver, proven: Instant::now(), reused: false })
    }

    /// Whether it has carried an answer before.
    #[must_use]
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Whether it is open and proved to work within a time.
    #[must_use]
    pub fn usable(&self, within: Duration) -> bool {
        !self.sender.is_closed() && self.proven.elapsed() < within
    }

    /// Whether it can take a request now: its driver has seen the end of the last answer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// hyper gives the request back exactly when it never took it up to be written; only then
    /// is it certain that no byte reached the backend server.
    ///
    /// # Errors
    /// [`Failure`], saying whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        first_byte: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::not_sent(Cause::Broken));
        }
        let answer = self.sender.try_send_request(request);
        match tokio::time::timeout(first_byte, answer).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => {
                let sent = error.take_message().is_none();
                Err(Failure { cause: Cause::Broken, sent })
            }
            Err(_) => Err(Failure::sent(Cause::Silent)),
        }
    }

    /// Marks the end of a whole answer.
    pub fn mark_proven(&mut self) {
        self.proven = Instant::now();
        self.reused = true;
    }

    /// Marks the end of a whole answer, and waits until the next request can be taken.
    pub async fn proved(&mut self, within: Duration) -> bool {
        self.mark_proven();
        matches!(tokio::time::timeout(within, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl Cause {
    /// Why a connection did not open. Only a refusal says that nothing listens there.
    fn of(error: &std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Self::Refused,
            _ => Self::Unreachable,
        }
    }

    /// For people, after "the backend server".
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::Refused => "refuses connections",
            Self::Unreachable => "can't be reached",
            Self::Silent => "went silent",
            Self::Broken => "closed the connection",
            Self::Crossed => "answered another request",
            Self::Truncated => "broke off its answer",
            Self::Failed(_) => "failed",
            Self::Deadline => "was too slow",
        }
    }

    /// For metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Crossed => "crossed",
            Self::Truncated => "truncated",
            Self::Failed(_) => "failed",
            Self::Deadline => "deadline",
        }
    }
}
