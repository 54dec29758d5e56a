//! Passes a stream on to its caller, piece by piece, and its last piece only once it is billed.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::answer::{Answer, Broken};
use crate::connection::Cause;
use crate::ending::Ending;
use crate::reply::{Piece, Stream};
use crate::state::State;

/// Pieces on their way to a caller that reads slowly; then the backend server waits as well.
const AHEAD: usize = 16;

type Pieces = mpsc::Sender<Result<Bytes, Broken>>;

/// Why a stream has no last piece.
enum End {
    Broken(Cause),
    CallerGone,
}

/// Starts a relay; the answer is what the caller reads from it.
#[must_use]
pub fn start(state: &Arc<State>, stream: Box<Stream>, ending: Ending) -> Answer {
    let (pieces, answer) = mpsc::channel(AHEAD);
    state.relays.spawn(run(stream, ending, pieces));
    Answer::Pieces(answer)
}

async fn run(mut stream: Box<Stream>, ending: Ending, pieces: Pieces) {
    let deadline = ending.deadline;
    let end = pass_on(&mut stream, &pieces, deadline).await;
    match end {
        Ok(last) => {
            let text = stream.text();
            // The backend server is done; its connection need not wait for the bill.
            drop(stream.finish());
            release(last, ending.record_whole(text).await, &pieces).await;
        }
        Err(End::CallerGone) => {
            // Dropping the stream closes its connection, which stops the backend server's work.
            drop(stream);
            ending.record_caller_gone();
        }
        Err(End::Broken(cause)) => {
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
        // No control holds the bill: a clean end would be an answer that is never paid.
        false => Err(Broken),
    };
    // A caller that left meanwhile has been billed; there is nobody to tell.
    let _ = pieces.send(last).await;
}

/// Passes on all but the last piece, which it gives back.
async fn pass_on(stream: &mut Stream, pieces: &Pieces, deadline: Instant) -> Result<Bytes, End> {
    let received = std::mem::take(&mut stream.received);
    send(pieces, received, deadline).await?;
    loop {
        let within = stream.between_bytes_timeout;
        let piece = tokio::select! {
            // Also while nothing comes: the caller's leaving must stop the work at once.
            () = pieces.closed() => return Err(End::CallerGone),
            piece = stream.next(within, deadline) => piece,
        };
        match piece {
            Ok(Piece::Data(data)) => send(pieces, data, deadline).await?,
            Ok(Piece::Final(data)) => return Ok(data),
            Ok(Piece::End) => return Ok(Bytes::new()),
            Err(cause) => return Err(End::Broken(cause)),
        }
    }
}

async fn send(pieces: &Pieces, data: Bytes, deadline: Instant) -> Result<(), End> {
    match tokio::time::timeout_at(deadline.into(), pieces.send(Ok(data))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(End::CallerGone),
        Err(_) => Err(End::Broken(Cause::Deadline)),
    }
}
