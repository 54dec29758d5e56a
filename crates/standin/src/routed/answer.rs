//! Answers as scripted: whole ones, and streams of events.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use platform::names;

use super::{Script, ScriptedReply, lock};
use crate::reply;
use crate::server::{Body, Cut};

/// Event id that stands for a cut of the connection. No stream is that long.
const CUT_ID: u64 = u64::MAX - 1;
/// Pause between two events of a burst, so that they arrive one by one.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// The runs of a server that calls for copies have stopped, by the ids of their requests.
pub(super) type StoppedRuns = Arc<Mutex<Vec<String>>>;

/// Records, when dropped, that a request was dropped before its answer ended, unless it is done.
pub(super) struct Work {
    pub(super) dropped_at: Arc<Mutex<Vec<Instant>>>,
    pub(super) is_done: bool,
}

impl Work {
    pub(super) fn finish(&mut self) {
        self.is_done = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if !self.is_done {
            lock(&self.dropped_at).push(Instant::now());
        }
    }
}

/// An answer that the server is about to send.
pub(super) enum Answer {
    Whole(Response<Body>),
    /// Header and course of a stream, and the id of its first event.
    Stream(Response<()>, Script, u64),
}

/// Makes the answer of a scripted reply.
pub(super) async fn respond(
    reply: ScriptedReply,
    headers: &HeaderMap,
    work: &mut Work,
) -> Result<Answer, Cut> {
    let id = headers.get(names::REQUEST_ID).cloned();
    let sign = |mut response: Response<Body>| {
        if let Some(id) = id.clone() {
            response.headers_mut().insert(names::REQUEST_ID, id);
        }
        response.headers_mut().insert(names::SIGNATURE, reply::static_value("a.1.2"));
        response
    };
    let status = |status: u16| StatusCode::from_u16(status).unwrap_or_default();
    Ok(Answer::Whole(match reply {
        ScriptedReply::Answer(code) => sign(reply::bytes(status(code), "answer")),
        ScriptedReply::AnswerAfter(time) => {
            tokio::time::sleep(time).await;
            sign(reply::bytes(StatusCode::OK, "answer"))
        }
        ScriptedReply::BreakAfter(time) => {
            let half = stream::iter([Ok(Frame::data(Bytes::from("ans")))]);
            let cut = stream::once(async move {
                tokio::time::sleep(time).await;
                Err(Cut)
            });
            let body = StreamBody::new(half.chain(cut)).boxed_unsync();
            sign(reply::bytes(StatusCode::OK, "").map(|_| body))
        }
        ScriptedReply::AnswerOther => {
            let mut response = sign(reply::bytes(StatusCode::OK, "another's answer"));
            response.headers_mut().insert(names::REQUEST_ID, reply::static_value("another"));
            response
        }
        ScriptedReply::Unsigned => {
            let mut response = sign(reply::bytes(StatusCode::OK, "anybody's answer"));
            response.headers_mut().remove(names::SIGNATURE);
            response
        }
        ScriptedReply::Reject => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::static_value("1"));
            response
        }
        ScriptedReply::RejectFor(retry_after) => {
            let mut response = reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(names::NOT_RUN, reply::static_value("1"));
            response.headers_mut().insert(RETRY_AFTER, reply::static_value(retry_after));
            response
        }
        ScriptedReply::Misdirected => reply::bytes(StatusCode::MISDIRECTED_REQUEST, ""),
        ScriptedReply::Reset => {
            work.finish();
            return Err(Cut);
        }
        ScriptedReply::Silence => std::future::pending().await,
        ScriptedReply::Stream(script) => {
            let last = headers.get(names::LAST_EVENT).and_then(|last| last.to_str().ok());
            let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or_default();
            let mut response = sign(reply::bytes(StatusCode::OK, "")).map(|_| ());
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, reply::static_value("text/event-stream"));
            if let Some(confidence) = script.confidence {
                headers.insert(names::CONFIDENCE, u16::from(confidence).into());
            }
            return Ok(Answer::Stream(response, script, last + 1));
        }
    }))
}

/// The pause before an event that is not the first; `number` counts the events from 0.
fn pause_before(script: &Script, number: u64) -> Duration {
    let events = script.burst.max(1) as u32;
    match (number - 1).is_multiple_of(u64::from(events)) {
        true => script.pause * events - BURST_PAUSE.min(script.pause) * (events - 1),
        false => BURST_PAUSE.min(script.pause),
    }
}

/// The events of a run, which is given by its request's id.
pub(super) fn events(script: Script, first: u64, work: Work, run: (String, StoppedRuns)) -> Body {
    let pieces = stream::unfold((first, work), move |(id, mut work)| {
        let (script, run) = (script.clone(), run.clone());
        async move {
            if id > script.events && id < CUT_ID {
                work.finish();
                return None;
            }
            if id > first {
                tokio::time::sleep(pause_before(&script, id - first)).await;
            }
            if id == first + 1 {
                tokio::time::sleep(script.prompt_delay).await;
            }
            match () {
                () if lock(&run.1).contains(&run.0) => {
                    work.finish();
                    Some((Err(Cut), (id, work)))
                }
                () if id < CUT_ID && script.silent_after_event.is_some_and(|last| id > last) => {
                    std::future::pending().await
                }
                () if id == CUT_ID => {
                    work.finish();
                    Some((Err(Cut), (CUT_ID, work)))
                }
                // The first half of the event is sent before the connection is cut.
                () if script.cut_in_event == Some(id) => {
                    let half = Frame::data(Bytes::from(format!("id: {id}\nda")));
                    Some((Ok(half), (CUT_ID, work)))
                }
                () => {
                    let event = format!("id: {id}\ndata: piece {id}\n\n");
                    Some((Ok(Frame::data(Bytes::from(event))), (id + 1, work)))
                }
            }
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}
