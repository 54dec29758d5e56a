//! Operators' tokens: only hashes of them are in settings.

use hyper::header::{AUTHORIZATION, HeaderMap};
use policy::name::Name;
use sha2::{Digest, Sha256};

/// SHA-256 of a text, in hexadecimal.
#[must_use]
pub fn hash(text: &str) -> String {
    use std::fmt::Write;
    Sha256::digest(text.as_bytes()).iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string does not fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Whether a token is one of those whose hashes are given. Comparing hashes leaks no prefix of
/// the token by the time it takes.
#[must_use]
pub fn is_known(token: &str, hashes: &[Name]) -> bool {
    let hash = hash(token);
    hashes.iter().any(|known| known.eq_ignore_ascii_case(&hash))
}

/// Whether a request carries a known token.
#[must_use]
pub fn is_operator(headers: &HeaderMap, hashes: &[Name]) -> bool {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    token.is_some_and(|token| is_known(token.trim(), hashes))
}
