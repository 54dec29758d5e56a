//! Turns a backend server's reply into the caller's answer.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use wire::refusal::{Code, Refusal};

use crate::answer::Answer;
use crate::ending::Ending;
use crate::filter::service::forwarded_headers;
use crate::reply::{Content, Reply};
use crate::state::State;
use crate::{rating, relay};

/// Values of the product's own headers on an answer.
#[derive(Default)]
pub struct OwnHeaders {
    /// The signed token of the session that began with this request; `None` if none began.
    pub session: Option<String>,
}

/// Makes the caller's answer. A complete body is returned once controls hold its bill; a stream is
/// billed by its relay.
///
/// # Errors
/// [`Code::BillsFull`] if no control held the bill of a complete body before the deadline.
pub async fn respond(
    state: &Arc<State>,
    reply: Reply,
    ending: Ending,
    own_headers: OwnHeaders,
) -> Result<Response<Answer>, Refusal> {
    let head = head(&reply.head, &ending, own_headers);
    match reply.content {
        Content::Whole(bytes) => {
            let text = ending.wants_rating.then(|| text(&reply.head, &bytes)).flatten();
            match ending.record_whole(text).await {
                true => Ok(Response::from_parts(head, Answer::whole(bytes))),
                false => Err(Refusal::may_have_run(
                    Code::BillsFull,
                    "the answer is withheld because its bill could not be stored safely",
                )),
            }
        }
        Content::Stream(stream) => {
            let mut head = head;
            if let Some(rest) = stream.body.size_hint().exact() {
                let length = HeaderValue::from(rest + stream.received.len() as u64);
                head.headers.insert(CONTENT_LENGTH, length);
            }
            Ok(Response::from_parts(head, relay::start(state, stream, ending)))
        }
    }
}

/// The text of a whole answer, from a JSON body or from a stream of events.
#[must_use]
pub fn text(head: &Parts, bytes: &Bytes) -> Option<String> {
    match crate::reply::is_event_stream(head) {
        true => rating::stream_text(bytes),
        false => rating::answer_text(bytes),
    }
}

fn head(from: &Parts, ending: &Ending, own_headers: OwnHeaders) -> Parts {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = from.status;
    head.headers = forwarded_headers(&from.headers);
    let own = [
        (wire::backend::VERSION, ending.version.as_ref().map(ToString::to_string)),
        (wire::backend::SESSION, own_headers.session),
    ];
    for (name, value) in own {
        if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
            head.headers.insert(HeaderName::from_static(name), value);
        }
    }
    head
}
