//! Session tokens: the version of a session, signed, so that any host can look it up without a
//! stored record.
//!
//! The text form is `cst1.PAYLOAD.MAC`; payload and MAC are base64url without padding. The payload
//! holds the id of the signing key and the fields of the token. Each text field follows its length,
//! so no two tokens have the same payload.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use policy::domain;
use policy::name::Name;
use sha2::Sha256;

/// Prefix of every token. A session header without this prefix is a name chosen by the caller.
pub const PREFIX: &str = "cst1.";
/// Longest token text that is accepted, in bytes.
pub const TEXT_BYTES_MAX: usize = 1024;

const DOMAIN_SEPARATOR: &[u8] = b"chestnutspur session 1";

domain! {
    /// The signed contents of a session token.
    #[derive(Default)]
    pub struct Token {
        /// Failure domain of the host at which the session began.
        pub home: Name,
        /// Client account that the session belongs to; no other account may use the token.
        pub account: Name,
        /// Version that serves the session until it ends.
        pub version: Name,
        /// Random number that distinguishes sessions with otherwise equal fields.
        pub serial: u64,
    }
}

/// Why a text is not a valid token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The text does not have the form of a token.
    Malformed,
    /// The token is signed with a key that is not in the key ring.
    UnknownKey,
    /// The signature does not match the payload.
    Forged,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the value is not a session token",
            Self::UnknownKey => "the session token is signed with a key that is not accepted",
            Self::Forged => "the signature of the session token does not match",
        })
    }
}

/// The accepted signing keys by id. The key with the highest id signs; all keys verify.
#[derive(Clone, Default)]
pub struct Keyring {
    keys: BTreeMap<u32, Hmac<Sha256>>,
}

impl Keyring {
    /// Adds a key, or replaces the key that has the same id.
    #[must_use]
    pub fn with_key(mut self, id: u32, secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(DOMAIN_SEPARATOR);
        self.keys.insert(id, mac);
        self
    }

    /// Signs a token and returns its text form. `None` if the key ring is empty.
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

    /// Checks the signature of a token's text form and returns the token.
    ///
    /// # Errors
    /// [`Error`] if the text is not a token signed by a key of this ring. No field of the text is
    /// used before the signature is checked, except the key id.
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

/// Whether the value of a session header has the prefix of a token. The signature is not checked.
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
