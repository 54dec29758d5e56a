//! Random draws that come out the same on every run: they are hashes of a seed and of names.

use sha2::{Digest, Sha256};

/// A number from 0 to below 1, evenly distributed, that depends on nothing but its arguments.
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
    // An f64 holds 53 bits exactly.
    (high >> 11) as f64 / (1_u64 << 53) as f64
}

/// The first 64 bits of a text's SHA-256, in hexadecimal: enough to tell requests apart.
#[must_use]
pub fn digest(bytes: impl AsRef<[u8]>) -> String {
    Sha256::digest(bytes).iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}
