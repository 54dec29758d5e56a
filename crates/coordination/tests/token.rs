//! Signing and verification of session tokens.

use coordination::token::{Error, Keyring, PREFIX, TEXT_BYTES_MAX, Token, is_token};
use policy::name::Name;

fn ring(ids: &[u32]) -> Keyring {
    ids.iter().fold(Keyring::default(), |ring, id| {
        ring.with_key(*id, format!("a secret of thirty-two bytes or so {id}").as_bytes())
    })
}

fn token() -> Token {
    Token {
        home: "hal-utr-a".into(),
        account: "dwu".into(),
        version: "letters-3".into(),
        serial: 7,
    }
}

#[test]
fn sign_verifies() {
    let text = ring(&[1]).sign(&token()).unwrap();
    assert!(is_token(&text));
    assert_eq!(ring(&[1]).verify(&text), Ok(token()));
}

#[test]
fn sign_without_a_key() {
    assert_eq!(Keyring::default().sign(&token()), None);
}

#[test]
fn verify_after_rotation() {
    // A newly added key signs; tokens of the old key stay valid until the old key is removed.
    let old = ring(&[1]).sign(&token()).unwrap();
    let both = ring(&[1, 2]);
    let new = both.sign(&token()).unwrap();
    assert_eq!(both.verify(&old), Ok(token()));
    assert_eq!(both.verify(&new), Ok(token()));
    assert_eq!(ring(&[2]).verify(&new), Ok(token()));
    assert_eq!(ring(&[2]).verify(&old), Err(Error::UnknownKey));
}

#[test]
fn verify_under_another_secret_of_the_same_id() {
    let text = ring(&[1]).sign(&token()).unwrap();
    let other = Keyring::default().with_key(1, b"another secret of thirty-two bytes");
    assert_eq!(other.verify(&text), Err(Error::Forged));
}

#[test]
fn verify_too_long() {
    let text = format!("{PREFIX}{}", "A".repeat(TEXT_BYTES_MAX));
    assert_eq!(ring(&[1]).verify(&text), Err(Error::Malformed));
}

#[test]
fn verify_rejects_any_other_text() {
    let ring = ring(&[1, 2]);
    fuzz::check(20_000, |bytes: &Vec<u8>| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        assert!(ring.verify(&text).is_err());
        assert!(ring.verify(&format!("{PREFIX}{text}")).is_err());
        assert!(ring.verify(&format!("{PREFIX}AAAAAQ.{text}")).is_err());
    });
}

#[test]
fn verify_accepts_tokens_and_rejects_altered_ones() {
    let ring = ring(&[3]);
    fuzz::check(
        5_000,
        |(account, version, serial, place, flip): &(Vec<u8>, Vec<u8>, u64, usize, u8)| {
            let name = |bytes: &Vec<u8>| {
                let kept = &bytes[..bytes.len().min(40)];
                Name::from(String::from_utf8_lossy(kept).into_owned())
            };
            let token = Token {
                home: "hal-amf-c".into(),
                account: name(account),
                version: name(version),
                serial: *serial,
            };
            let text = ring.sign(&token).unwrap();
            assert_eq!(ring.verify(&text).as_ref(), Ok(&token));
            let mut altered = text.clone().into_bytes();
            let place = place % altered.len();
            altered[place] ^= flip & 0x7f;
            let altered = String::from_utf8(altered).unwrap();
            assert!(altered == text || ring.verify(&altered).is_err());
        },
    );
}
