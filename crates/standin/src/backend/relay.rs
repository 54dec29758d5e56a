//! Sends an answer's body piece by piece, until a fault or its end.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::Ticket;
use crate::run::Outcome;
use crate::server::{Body, Cut};

/// Wait between the last bytes and a cut: without it the cut may overtake bytes that are still to
/// be sent.
const FLUSH_TIME: Duration = Duration::from_millis(2);

/// A piece of an answer's body, and the pause before the piece.
pub struct Piece {
    /// Time between the piece before and this piece.
    pub pause: Duration,
    /// Content of the piece.
    pub bytes: Bytes,
}

impl Ticket {
    /// Makes the body that sends these pieces, until a fault or the end of the last piece. The body
    /// holds the ticket, and with it the slot.
    #[must_use]
    pub fn body(self, pieces: Vec<Piece>) -> Body {
        let relay = Relay { ticket: self, pieces: pieces.into_iter().peekable(), sent: 0 };
        let frames = futures::stream::unfold(Some(relay), step);
        StreamBody::new(frames.map(|piece| piece.map(Frame::data))).boxed_unsync()
    }
}

struct Relay {
    ticket: Ticket,
    pieces: std::iter::Peekable<std::vec::IntoIter<Piece>>,
    sent: u64,
}

/// The result of one step of the body: the piece to send and the state for the next step; `None` at
/// the end.
type Step = Option<(Result<Bytes, Cut>, Option<Relay>)>;

async fn step(relay: Option<Relay>) -> Step {
    let mut relay = relay?;
    let faults = relay.ticket.faults;
    if faults.silent_after.is_some_and(|limit| relay.sent >= limit) {
        std::future::pending::<()>().await;
    }
    if faults.cut_after.is_some_and(|limit| relay.sent >= limit) {
        tokio::time::sleep(FLUSH_TIME).await;
        relay.ticket.guard.end(Outcome::Cut);
        return Some((Err(Cut), None));
    }
    let piece = relay.pieces.next()?;
    sleep(piece.pause).await;
    let room = faults.silent_after.or(faults.cut_after).map(|limit| limit - relay.sent);
    let bytes = match room.and_then(|room| usize::try_from(room).ok()) {
        Some(room) if room < piece.bytes.len() => piece.bytes.slice(..room),
        _ => piece.bytes,
    };
    relay.sent += bytes.len() as u64;
    // hyper may not poll the body again after the last piece, so the run ends with this piece.
    let is_reached = |limit: Option<u64>| limit.is_some_and(|limit| relay.sent >= limit);
    let is_broken = is_reached(faults.silent_after) || is_reached(faults.cut_after);
    if !is_broken && relay.pieces.peek().is_none() {
        relay.ticket.guard.end(Outcome::Whole);
    }
    Some((Ok(bytes), Some(relay)))
}

/// Sleeps for a time. Returns at once for zero, where the timer would take a millisecond.
pub async fn sleep(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
