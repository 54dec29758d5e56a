//! Passes a stream on to its caller piece by piece, and holds back the last piece until controls
//! hold the bill.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::answer::{Answer, Broken};
use crate::connection::Cause;
use crate::ending::Ending;
use crate::reply::{Piece, Stream};
use crate::state::State;

/// Number of pieces buffered for a caller that reads slowly. When they are used up, the relay stops
/// reading, so that the backend server waits as well.
const BUFFERED_PIECES_MAX: usize = 16;

type Pieces = mpsc::Sender<Result<Bytes, Broken>>;

/// Why a stream ended without its last piece.
enum Abort {
    Broken(Cause),
    CallerGone,
}

/// Starts a relay task; the returned answer is the body that the caller reads.
#[must_use]
pub fn start(state: &Arc<State>, stream: Box<Stream>, ending: Ending) -> Answer {
    let (pieces, answer) = mpsc::channel(BUFFERED_PIECES_MAX);
    state.relays.spawn(run(stream, ending, pieces));
    Answer::Pieces(answer)
}

async fn run(mut stream: Box<Stream>, ending: Ending, pieces: Pieces) {
    let deadline = ending.deadline;
    let end = pass_on(&mut stream, &pieces, deadline).await;
    match end {
        Ok(last) => {
            let text = stream.text();
            // The backend server has sent everything: free its connection before the wait for the
            // bill.
            drop(stream.finish());
            release(last, ending.record_whole(text).await, &pieces).await;
        }
        Err(Abort::CallerGone) => {
            // Dropping the stream closes its connection, which stops the backend server's work on
            // the request.
            drop(stream);
            ending.record_caller_gone();
        }
        Err(Abort::Broken(cause)) => {
            drop(stream);
            ending.record_broken(cause);
            let _ = pieces.send(Err(Broken)).await;
        }
    }
}

async fn release(last: Bytes, billed: bool, pieces: &Pieces) {
    let last = match billed {
        true if last.is_empty() => return,
        true => Ok(last),
        // No control holds the bill. A clean end would complete an answer that is never paid, so
        // the caller's connection breaks instead.
        false => Err(Broken),
    };
    // The send fails if the caller disconnected meanwhile; it has been billed, and nothing is left
    // to do.
    let _ = pieces.send(last).await;
}

/// Passes on all pieces but the last, which it returns; empty if the stream ended without one.
async fn pass_on(stream: &mut Stream, pieces: &Pieces, deadline: Instant) -> Result<Bytes, Abort> {
    send(pieces, stream.take_received(), deadline).await?;
    loop {
        let within = stream.between_bytes_timeout;
        let piece = tokio::select! {
            // Watched also while the backend server sends nothing: its work must stop as soon as
            // the caller disconnects.
            () = pieces.closed() => return Err(Abort::CallerGone),
            piece = stream.next(within, deadline) => piece,
        };
        match piece {
            Ok(Piece::Data(data)) => send(pieces, data, deadline).await?,
            Ok(Piece::Final(data)) => return Ok(data),
            Ok(Piece::End) => return Ok(Bytes::new()),
            Err(cause) => return Err(Abort::Broken(cause)),
        }
    }
}

async fn send(pieces: &Pieces, data: Bytes, deadline: Instant) -> Result<(), Abort> {
    match tokio::time::timeout_at(deadline.into(), pieces.send(Ok(data))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Abort::CallerGone),
        Err(_) => Err(Abort::Broken(Cause::Deadline)),
    }
}
