//! Helper functions that read requests and build answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{Body, Cut};

/// A body whose bytes are all there at once.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes an answer with a status and a body.
#[must_use]
pub fn bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// Makes an answer with a JSON body; 500 if the value can't be written as JSON.
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

/// Makes an answer without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Body> {
    bytes(status, Bytes::new())
}

/// Makes an answer without a body that asks the sender to try again in a second.
#[must_use]
pub fn retry_later(status: StatusCode) -> Response<Body> {
    let mut response = bytes(status, Bytes::new());
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Parses a JSON body and passes it to `set`. Answers 204, or 400 with the parser's error.
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

/// Reads the whole body of a request.
///
/// # Errors
/// [`Cut`] when the caller breaks off before the end.
pub async fn body(request: Request<Incoming>) -> Result<Bytes, Cut> {
    match request.into_body().collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(Cut),
    }
}

/// The value of a request's header; empty if it is absent or no visible ASCII text.
#[must_use]
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Decodes percent encoding; malformed escapes stay as they are.
#[must_use]
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape =
            text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], escape) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A header value from a string literal.
#[must_use]
pub fn static_value(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}
