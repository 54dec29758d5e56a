//! Calls of plain services, passed through.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use policy::name::Name;
use wire::configuration::{Account, Service};
use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;

/// Headers that speak of one connection only.
const DROPPED: [HeaderName; 8] = [
    CONNECTION,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Headers that we set ourselves, or keep to ourselves, begin so.
const OURS: &str = "chestnutspur-";

/// The service that a path names.
///
/// # Errors
/// [`Code::NotFound`] or [`Code::NotAllowed`].
pub fn find<'a>(
    snapshot: &'a Snapshot,
    account: &Account,
    name: &Name,
) -> Result<&'a Service, Refusal> {
    match snapshot.document.services.get(name) {
        None => Err(Refusal::not_run(Code::NotFound, format!("no service {:?}", name.as_str()))),
        Some(_) if !account.services.contains(name) => {
            let message = format!("the account may not use service {name}");
            Err(Refusal::not_run(Code::NotAllowed, message))
        }
        Some(service) => Ok(service),
    }
}

/// Headers to pass on, in either direction, without the caller's key and those that are ours.
#[must_use]
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(AUTHORIZATION);
    kept.remove(wire::backend::REQUEST_ID);
    let ours: Vec<HeaderName> =
        kept.keys().filter(|name| name.as_str().starts_with(OURS)).cloned().collect();
    for name in ours {
        kept.remove(name);
    }
    kept
}

/// Headers without those that speak of one connection only, or of one message's framing.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = connection
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let keeps = |name: &HeaderName| {
        !DROPPED.contains(name)
            && *name != CONTENT_LENGTH
            && *name != "keep-alive"
            && !named.iter().any(|listed| listed == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| keeps(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
