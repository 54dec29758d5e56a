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

/// Headers that speak of one connection only, and those that we set or keep to ourselves: the
/// caller's key must never reach a backend server.
const DROPPED: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
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

/// Headers to pass on, in either direction.
#[must_use]
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let connection = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = connection
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let keeps = |name: &HeaderName| {
        !DROPPED.contains(name)
            && *name != CONTENT_LENGTH
            && *name != "keep-alive"
            && *name != wire::backend::REQUEST_ID
            && !name.as_str().starts_with(OURS)
            && !named.iter().any(|listed| listed == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| keeps(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
