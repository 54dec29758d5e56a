//! Small helpers to read requests and build answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{Body, Cut};

/// A body that is all there.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a status and a body.
#[must_use]
pub fn bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// An answer in JSON.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = bytes(status, text);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => bytes(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Body> {
    bytes(status, Bytes::new())
}

/// Says that nothing took effect, and to come back in a second.
#[must_use]
pub fn retry_later(status: StatusCode) -> Response<Body> {
    let mut response = bytes(status, Bytes::new());
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Hands a JSON body over to `set`: 204, or 400 with what is wrong.
#[must_use]
pub fn set<T: DeserializeOwned>(body: &[u8], set: impl FnOnce(T)) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => {
            set(value);
            status(StatusCode::NO_CONTENT)
        }
        Err(error) => bytes(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// The whole body of a request.
///
/// # Errors
/// [`Cut`] when the caller breaks off.
pub async fn body(request: Request<Incoming>) -> Result<Bytes, Cut> {
    match request.into_body().collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(Cut),
    }
}

/// A header's text; empty if absent or not text.
#[must_use]
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Undoes percent encoding; malformed escapes stay as they are.
#[must_use]
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], escape) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A header's value that is written in the source.
#[must_use]
pub fn static_value(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}
