//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off. hyper then closes the caller's connection without a clean end, so the
/// caller sees a broken answer and never takes it for a whole one.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// A body, whole or coming piece by piece from a relay.
pub enum Answer {
    /// All of it; none once sent.
    Whole(Option<Bytes>),
    /// Pieces; the relay stops when this end is dropped.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Answer {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
