//! Session tokens: a session's version, signed, so that any host can keep it without a record.
//!
//! Text form: `cst1.PAYLOAD.MAC`, both parts base64url without padding. The payload is the key's
//! id and the token's fields, each field after its length, so no two tokens share a payload.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use policy::domain;
use policy::name::Name;
use sha2::Sha256;

/// What every token starts with; a session header without it is a caller-chosen name.
pub const PREFIX: &str = "cst1.";
/// Longest accepted token text, in bytes.
pub const TEXT_BYTES_MAX: usize = 1024;

const DOMAIN_SEPARATOR: &[u8] = b"chestnutspur session 1";

domain! {
    /// What a session token says.
    #[derive(Default)]
    pub struct Token {
        /// Failure domain in which the session began; its keys are claimed there.
        pub home: Name,
        /// The client account; no other may use the token.
        pub account: Name,
        /// The version that the session keeps for its whole life.
        pub version: Name,
        /// Tells sessions apart.
        pub serial: u64,
    }
}

/// Why a text is not a valid token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// Not of a token's form.
    Malformed,
    /// Signed with a key that is not in the ring.
    UnknownKey,
    /// The signature does not match.
    Forged,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not a session token",
            Self::UnknownKey => "signed with a key that is no longer accepted",
            Self::Forged => "the signature does not match",
        })
    }
}

/// The accepted keys by id: the highest id signs, all of them verify.
#[derive(Clone, Default)]
pub struct Keyring {
    keys: BTreeMap<u32, Hmac<Sha256>>,
}

impl Keyring {
    /// Adds a key.
    #[must_use]
    pub fn with_key(mut self, id: u32, secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(DOMAIN_SEPARATOR);
        self.keys.insert(id, mac);
        self
    }

    /// The token's text, or none if the ring is empty.
    #[must_use]
    pub fn sign(&self, token: &Token) -> Option<String> {
        let (id, mac) = self.keys.last_key_value()?;
        let payload = encode(*id, token);
        let mut mac = mac.clone();
        mac.update(&payload);
        let mut text = String::from(PREFIX);
        URL_SAFE_NO_PAD.encode_string(&payload, &mut text);
        text.push('.');
        URL_SAFE_NO_PAD.encode_string(mac.finalize().into_bytes(), &mut text);
        Some(text)
    }

    /// The token that a text holds.
    ///
    /// # Errors
    /// [`Error`], with nothing of the text trusted before its signature is checked.
    pub fn verify(&self, text: &str) -> Result<Token, Error> {
        let rest = match text.strip_prefix(PREFIX) {
            Some(rest) if text.len() <= TEXT_BYTES_MAX => rest,
            _ => return Err(Error::Malformed),
        };
        let (payload, signature) = rest.split_once('.').ok_or(Error::Malformed)?;
        let payload = URL_SAFE_NO_PAD.decode(payload).map_err(|_| Error::Malformed)?;
        let signature = URL_SAFE_NO_PAD.decode(signature).map_err(|_| Error::Malformed)?;
        let (id, rest) = take_id(&payload).ok_or(Error::Malformed)?;
        let mut mac = self.keys.get(&id).ok_or(Error::UnknownKey)?.clone();
        mac.update(&payload);
        mac.verify_slice(&signature).map_err(|_| Error::Forged)?;
        decode(rest).ok_or(Error::Malformed)
    }
}

/// Whether a session header's value claims to be a token of ours.
#[must_use]
pub fn is_token(text: &str) -> bool {
    text.starts_with(PREFIX)
}

fn encode(id: u32, token: &Token) -> Vec<u8> {
    let mut payload = id.to_be_bytes().to_vec();
    payload.extend(token.serial.to_be_bytes());
    for field in [&token.home, &token.account, &token.version] {
        let length = u16::try_from(field.len()).unwrap_or(u16::MAX);
        payload.extend(length.to_be_bytes());
        payload.extend(&field.as_bytes()[..usize::from(length)]);
    }
    payload
}

fn take_id(payload: &[u8]) -> Option<(u32, &[u8])> {
    let (id, rest) = payload.split_first_chunk()?;
    Some((u32::from_be_bytes(*id), rest))
}

fn decode(payload: &[u8]) -> Option<Token> {
    let (serial, mut rest) = payload.split_first_chunk()?;
    let home = take_field(&mut rest)?;
    let account = take_field(&mut rest)?;
    let version = take_field(&mut rest)?;
    let token = Token { home, account, version, serial: u64::from_be_bytes(*serial) };
    rest.is_empty().then_some(token)
}

fn take_field(rest: &mut &[u8]) -> Option<Name> {
    let (length, after) = rest.split_first_chunk()?;
    let (field, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*length)))?;
    *rest = after;
    std::str::from_utf8(field).ok().map(Name::from)
}
