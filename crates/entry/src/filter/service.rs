//! Finds plain services, and filters the headers that pass between callers and backend servers.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use policy::name::Name;
use wire::configuration::{Account, Service};
use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;

/// Headers that are never passed on, because they concern a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Prefix of the product's own headers, which it sets itself and never passes on.
const OWN_PREFIX: &str = "chestnutspur-";

/// Finds the service that a path names.
///
/// # Errors
/// [`Code::NotFound`] for an unknown service, [`Code::NotAllowed`] for a service that the account
/// may not use.
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

/// The headers of a request or an answer that are passed on: without the caller's key, the request
/// id and the product's own headers.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(AUTHORIZATION);
    kept.remove(wire::backend::REQUEST_ID);
    let own: Vec<HeaderName> =
        kept.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        kept.remove(name);
    }
    kept
}

/// Headers without those that concern a single connection or the framing of a message.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = connection
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && *name != CONTENT_LENGTH
            && *name != "keep-alive"
            && !named.iter().any(|listed| listed == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_kept(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
