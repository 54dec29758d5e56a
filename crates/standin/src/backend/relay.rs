//! Hands an answer over piece by piece, until a fault or the end.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::Ticket;
use crate::run::Outcome;
use crate::server::{Body, Cut};

/// Time before a cut in which the bytes before it get out.
const FLUSH: Duration = Duration::from_millis(2);

/// A piece of an answer's body, and the pause before it.
pub struct Piece {
    /// Time since the piece before.
    pub pause: Duration,
    /// Its bytes.
    pub bytes: Bytes,
}

impl Ticket {
    /// The body that hands over the pieces, until a fault or the end.
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

/// How the body goes on after a piece.
type Step = Option<(Result<Bytes, Cut>, Option<Relay>)>;

async fn step(relay: Option<Relay>) -> Step {
    let mut relay = relay?;
    let plan = relay.ticket.plan;
    if plan.silent_after.is_some_and(|limit| relay.sent >= limit) {
        std::future::pending::<()>().await;
    }
    if plan.cut_after.is_some_and(|limit| relay.sent >= limit) {
        tokio::time::sleep(FLUSH).await;
        relay.ticket.guard.end(Outcome::Cut);
        return Some((Err(Cut), None));
    }
    let piece = relay.pieces.next()?;
    wait(piece.pause).await;
    let room = plan.silent_after.or(plan.cut_after).map(|limit| limit - relay.sent);
    let bytes = match room.and_then(|room| usize::try_from(room).ok()) {
        Some(room) if room < piece.bytes.len() => piece.bytes.slice(..room),
        _ => piece.bytes,
    };
    relay.sent += bytes.len() as u64;
    // The server may not ask again after the last piece, so the end is recorded with it.
    let reached = |limit: Option<u64>| limit.is_some_and(|limit| relay.sent >= limit);
    let broken = reached(plan.silent_after) || reached(plan.cut_after);
    if !broken && relay.pieces.peek().is_none() {
        relay.ticket.guard.end(Outcome::Whole);
    }
    Some((Ok(bytes), Some(relay)))
}

/// Waits; no time at all is no wait, where the timer would make a millisecond of it.
pub async fn wait(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
