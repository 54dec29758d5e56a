//! One connection to a backend server, and whether a request that failed on it may have run.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The backend server refused or reset the connection while it was opened.
    Refused,
    /// This host can't open a connection: it has no route to the server, or no file descriptor or
    /// port left.
    Unreachable,
    /// The backend server sent nothing within the timeout.
    Silent,
    /// The connection was closed, or the backend server violated the protocol.
    Broken,
    /// The answer carries the id of another request.
    Crossed,
    /// The answer ended before it was complete.
    Truncated,
    /// The backend server answered with this HTTP status, which says that it failed or is busy.
    Failed(u16),
    /// The deadline of the request passed.
    Deadline,
}

/// A failed attempt, and whether the backend server may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why the attempt failed.
    pub cause: Cause,
    /// Whether a byte of the request may have been written to the connection.
    pub sent: bool,
}

impl Failure {
    /// A failure before any byte of the request was written: the request can't have run.
    #[must_use]
    pub fn not_sent(cause: Cause) -> Self {
        Self { cause, sent: false }
    }

    /// A failure after bytes of the request may have been written: the request may have run.
    #[must_use]
    pub fn sent(cause: Cause) -> Self {
        Self { cause, sent: true }
    }
}

/// Most memory of the buffer that a connection is read into, and with it the longest head of an
/// answer. A faulty backend server may send an endless head; a usual one has a few hundred bytes.
pub const BUFFER_BYTES_MAX: usize = 16 << 10;
/// How much longer a new connection is waited for once its timeout has passed. If this process stood
/// still in between, the runtime may process the timeout before it notices that the connection is
/// open. A second, short wait lets it look once more.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(10);

/// One open connection. Dropping it closes the socket at once, which cancels the backend server's
/// work for the request in flight: a late answer, or one to another request, is lost with its
/// connection and can never reach a later request.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    /// When the connection last proved that it works: at its opening, or at the end of a whole
    /// answer.
    proven_at: Instant,
    is_reused: bool,
}

impl Connection {
    /// Opens a connection to `address`, with `within` as the timeout.
    ///
    /// This code sets neither TCP_USER_TIMEOUT nor TCP keep-alive, on this socket or any other, and
    /// no library opens sockets for it. The timeouts of requests detect a silent connection; a
    /// timeout of the operating system would also end connections that a request waits for on
    /// purpose.
    ///
    /// # Errors
    /// Always with `sent: false`.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self, Failure> {
        let mut connecting = pin!(TcpStream::connect(address));
        let mut opened = tokio::time::timeout(within, connecting.as_mut()).await;
        if opened.is_err() {
            opened = tokio::time::timeout(NOTICE_TIMEOUT, connecting).await;
        }
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::not_sent(Cause::from_open_error(&error))),
            Err(_) => return Err(Failure::not_sent(Cause::Silent)),
        };
        let nodelay = stream.set_nodelay(true);
        nodelay.map_err(|_| Failure::not_sent(Cause::Broken))?;
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|_| Failure::not_sent(Cause::Broken))?;
        let driver = tokio::spawn(async move {
            // The task that waits for an answer on this connection receives the error.
            let _ = driver.await;
        });
        let driver = AbortOnDropHandle::new(driver);
        Ok(Self { sender, _driver: driver, proven_at: Instant::now(), is_reused: false })
    }

    /// Whether the connection has carried a whole answer before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether the connection is open and last proved that it works less than `within` ago.
    #[must_use]
    pub fn is_usable(&self, within: Duration) -> bool {
        !self.sender.is_closed() && self.proven_at.elapsed() < within
    }

    /// Whether the connection can take a request now: its driver task has seen the end of the last
    /// answer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer, up to the timeout `first_byte`.
    ///
    /// hyper returns the request with its error exactly when it had not begun to write it; only
    /// then is it certain that no byte reached the backend server.
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

    /// Records that a whole answer ended on the connection just now.
    pub fn mark_proven(&mut self) {
        self.proven_at = Instant::now();
        self.is_reused = true;
    }

    /// Records that a whole answer ended, and waits up to `within` until the connection can take
    /// the next request; false if it can't by then.
    pub async fn finish_answer(&mut self, within: Duration) -> bool {
        self.mark_proven();
        matches!(tokio::time::timeout(within, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl Cause {
    /// Why a connection could not be opened. Only a refusal shows that nothing listens at the
    /// address.
    fn from_open_error(error: &std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Self::Refused,
            _ => Self::Unreachable,
        }
    }

    /// Text for people that completes a sentence beginning with "the backend server".
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

    /// Value of the cause label in metrics.
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
