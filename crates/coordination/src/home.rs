//! Where a key lives: its failure domain and shard, and which hosts hold that shard.
//!
//! Rendezvous hashing: every host computes the same answer from the same names, and a name that
//! comes or goes moves only what it wins or held.

use policy::domain;
use policy::name::Name;
use sha2::{Digest, Sha256};

domain! {
    /// What all hosts must agree on before they can agree on a key's home.
    ///
    /// Two hosts with different lists would send one key to two homes, and it could run twice.
    /// So the list is one row of the platform, written once, and never derived from settings.
    #[derive(Default, Eq)]
    pub struct Layout {
        /// The failure domains that keys are spread over.
        pub failure_domains: Vec<Name>,
        /// Shards of each.
        pub shards: u32,
    }

    /// The home of a key.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Home {
        /// The failure domain.
        pub failure_domain: Name,
        /// The shard there.
        pub shard: u32,
    }
}

impl Home {
    /// The key of its row in the platform's table, `DOMAIN/N`.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("{}/{}", self.failure_domain, self.shard)
    }
}

impl Layout {
    /// The home of a key; none while no failure domain is known.
    ///
    /// A function of the key alone: whatever else a retry carries, it must meet the first try.
    #[must_use]
    pub fn home(&self, key: &str) -> Option<Home> {
        let failure_domain = rank(key, &self.failure_domains).into_iter().next()?;
        let shard = score("shard", key) % u64::from(self.shards.max(1));
        Some(Home { failure_domain, shard: u32::try_from(shard).unwrap_or_default() })
    }
}

/// The key of an account's idempotency key or session, in which accounts never meet.
#[must_use]
pub fn account_key(account: &str, key: &str) -> Name {
    Name::from(format!("{account}/{key}"))
}

/// Candidates for a place, the best first, in the same order on every host.
#[must_use]
pub fn rank(place: &str, candidates: &[Name]) -> Vec<Name> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|name| (std::cmp::Reverse(score(name, place)), name.clone()));
    ranked
}

fn score(name: &str, place: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(name.as_bytes());
    hash.update([0]);
    hash.update(place.as_bytes());
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(first)
}
