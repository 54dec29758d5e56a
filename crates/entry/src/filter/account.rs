//! Identifies the client account of a request, and finds the account's task that it is for.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use policy::name::Name;
use sha2::{Digest, Sha256};
use wire::configuration::{Account, Task};
use wire::refusal::{Code, Refusal};

use crate::call::Call;
use crate::snapshot::Snapshot;

/// Finds the client account by the key in the `Authorization` header.
///
/// # Errors
/// [`Code::UnknownAccount`]; the message never contains the key.
pub fn identify<'a>(
    snapshot: &'a Snapshot,
    headers: &HeaderMap,
) -> Result<(&'a Name, &'a Account), Refusal> {
    let value = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    let key = value.and_then(|value| match value.split_at_checked(SCHEME.len()) {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(SCHEME) => Some(key.trim_ascii()),
        _ => None,
    });
    let hash = key.map(|key| Sha256::digest(key).into());
    hash.and_then(|hash| snapshot.account(&hash)).ok_or_else(|| {
        Refusal::not_run(
            Code::UnknownAccount,
            "no client account has the key of the header Authorization: Bearer KEY",
        )
    })
}

const SCHEME: &[u8] = b"Bearer ";

/// The task that the request names in its header, or the account's default task.
///
/// # Errors
/// [`Code::NotFound`] if the account has no task of that name.
pub fn find_task<'a>(account: &'a Account, call: &Call) -> Result<(&'a Name, &'a Task), Refusal> {
    let name = call.header(wire::backend::TASK)?.unwrap_or(&account.default_task);
    account
        .tasks
        .get_key_value(name)
        .ok_or_else(|| Refusal::not_run(Code::NotFound, format!("no task {name:?}")))
}
