//! Draws that come out the same on every run.

use sha2::{Digest, Sha256};

/// A number from 0 to below 1 that depends on nothing but its arguments.
#[must_use]
pub fn uniform(seed: u64, parts: &[&str]) -> f64 {
    let mut hash = Sha256::new();
    hash.update(seed.to_be_bytes());
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    let bytes = hash.finalize();
    let high = bytes.iter().take(8).fold(0_u64, |number, byte| number << 8 | u64::from(*byte));
    // 53 bits are what a double holds exactly.
    (high >> 11) as f64 / (1_u64 << 53) as f64
}

/// The start of a text's SHA-256, in hexadecimal: 64 bits, enough to tell requests apart.
#[must_use]
pub fn digest(bytes: impl AsRef<[u8]>) -> String {
    Sha256::digest(bytes).iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}
