//! Answers of the operators' port.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// An answer.
pub type Answer = Response<Full<Bytes>>;

#[derive(Serialize)]
struct Error<'a> {
    error: &'a str,
}

/// Any text.
#[must_use]
pub fn text(status: StatusCode, kind: &'static str, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    answer
}

/// A value as JSON.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => text(status, "application/json", bytes),
        Err(why) => error(StatusCode::INTERNAL_SERVER_ERROR, &why.to_string()),
    }
}

/// `{"error":…}`.
#[must_use]
pub fn error(status: StatusCode, why: &str) -> Answer {
    json(status, &Error { error: why })
}
