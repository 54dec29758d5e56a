//! Converts refusals to HTTP answers.

use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use wire::backend::REQUEST_ID;
use wire::refusal::{Body, Refusal};

use crate::answer::Answer;

/// The HTTP answer for a refusal, with its status, JSON body, `Retry-After` and request id.
#[must_use]
pub fn response(refusal: Refusal) -> Response<Answer> {
    let status = refusal.code.status();
    let retry_after = refusal.retry_after_ms.map(|ms| ms.div_ceil(1000).max(1));
    let request = refusal.request.clone();
    let body = serde_json::to_vec(&Body { error: refusal }).unwrap_or_default();
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(id) = request.and_then(|id| HeaderValue::from_str(&id).ok()) {
        headers.insert(HeaderName::from_static(REQUEST_ID), id);
    }
    response
}
