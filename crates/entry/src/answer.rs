//! The HTTP body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The error of an answer that broke off. It makes hyper close the caller's connection without a
/// clean end, so that the caller can't take the broken answer for a whole one.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// A body that is either complete or arrives piece by piece from a relay.
pub enum Answer {
    /// The complete body; `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// The pieces that a relay sends. The relay stops when the receiver is dropped.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Answer {
    /// A complete body.
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
