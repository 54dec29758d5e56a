//! Recognises a request that comes again with another id, at any host, and the parts of its prompt.

use policy::poison::{Digest, Fingerprint};
use sha2::{Digest as _, Sha256};

use crate::codec::Codec;
use crate::job::Job;

/// The number of parts of a prompt that are watched. Without a limit a caller could fill the table
/// with one request.
const WATCHED_PARTS_MAX: usize = 64;

/// The digest of what a caller sent. It is the same on all hosts, and nobody can make a request
/// that is taken for another account's.
#[must_use]
pub fn request_digest(account: &str, method: &str, path: &str, body: &[u8]) -> Digest {
    hash(&[account.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

/// The digest of a prompt part for a service. It does not depend on the account, because neither
/// does what the service's servers do with the part.
#[must_use]
pub fn part_digest(service: &str, id: u64) -> Digest {
    hash(&[service.as_bytes(), &id.to_be_bytes()])
}

fn hash(pieces: &[&[u8]]) -> Digest {
    let mut hash = Sha256::new();
    for piece in pieces {
        // The length is hashed too, so that no two splits of the same bytes have the same digest.
        hash.update((piece.len() as u64).to_be_bytes());
        hash.update(piece);
    }
    let bytes = hash.finalize();
    Digest(bytes.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte)))
}

impl<C: Codec> Job<C> {
    /// The digests of the request and of its prompt parts, computed on first use. They are the same
    /// each time the caller sends the request.
    #[must_use]
    pub fn fingerprint(&self) -> &Fingerprint {
        self.fingerprint.get_or_init(|| {
            let account = self.account.as_deref().unwrap_or_default();
            let path = self.path.path_and_query().map(|path| path.as_str()).unwrap_or_default();
            let parts = self.info.shared_parts().iter().take(WATCHED_PARTS_MAX);
            Fingerprint {
                request: request_digest(account, self.method.as_str(), path, &self.body),
                parts: parts.map(|shared| part_digest(&self.service, shared.id)).collect(),
                service: self.service.clone(),
            }
        })
    }
}
