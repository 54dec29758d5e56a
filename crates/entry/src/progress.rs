//! Whether a caller reads what is written to its connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use policy::time::Millis;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock;

/// Write progress of a caller's connection.
#[derive(Debug, Default)]
pub struct Progress {
    /// Since when the connection has accepted no byte, in milliseconds; 0 while it accepts them.
    blocked_since: AtomicU64,
    /// Notified when a blocked connection accepts bytes again.
    pub resumed: Notify,
    /// Cancelled to disconnect the caller.
    pub cut: CancellationToken,
}

impl Progress {
    /// Since when the connection has accepted no byte; `None` while it accepts them.
    #[must_use]
    pub fn blocked_since(&self) -> Option<Millis> {
        match self.blocked_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(Millis(since)),
        }
    }

    /// Records that the connection accepts no byte now.
    pub fn record_blocked(&self) {
        let now = clock::steady().0;
        // A write that stays blocked keeps the time at which it began.
        let _ = self.blocked_since.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records that the connection has accepted bytes, or has ended.
    pub fn record_accepted(&self) {
        if self.blocked_since.swap(0, Ordering::Relaxed) != 0 {
            self.resumed.notify_waiters();
        }
    }
}

/// A caller's connection, whose writes are recorded if it has a [`Progress`].
#[derive(Debug)]
pub struct Watched {
    stream: TcpStream,
    progress: Option<Arc<Progress>>,
}

impl Watched {
    /// Watches the writes of a connection, if `progress` is given.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Option<Arc<Progress>>) -> Self {
        Self { stream, progress }
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Some(progress) = &self.progress {
            match &written {
                Poll::Pending => progress.record_blocked(),
                Poll::Ready(_) => progress.record_accepted(),
            }
        }
        written
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Waits until the connection is to be closed; for ever without a [`Progress`].
pub async fn wait_until_cut(progress: Option<&Progress>) {
    match progress {
        Some(progress) => progress.cut.cancelled().await,
        None => std::future::pending().await,
    }
}
