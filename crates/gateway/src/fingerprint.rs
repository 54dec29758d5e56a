//! Knows a request again that comes with another id, at any host.

use policy::poison::Digest;
use sha2::{Digest as _, Sha256};

use crate::codec::Codec;
use crate::job::Job;

/// The digest of what a caller sent. Every host works out the same one; nobody can make a request
/// that is taken for another account's.
#[must_use]
pub fn digest(account: &str, method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [account.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        // With its length, so that no two splits of the same bytes are alike.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    Digest(bytes.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte)))
}

impl<C: Codec> Job<C> {
    /// Names the request, whichever try of its caller's this is; worked out once.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let account = self.account.as_deref().unwrap_or_default();
            let path = self.path.path_and_query().map(|path| path.as_str()).unwrap_or_default();
            digest(account, self.method.as_str(), path, &self.body)
        })
    }
}
