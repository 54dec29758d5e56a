//! Placement of keys: the failure domain and shard of a key, and the hosts that hold a shard.
//!
//! Placement uses rendezvous hashing. Every host computes the same result from the same names, and
//! adding or removing a name moves only the keys that the name gains or had.

use policy::domain;
use policy::name::Name;
use sha2::{Digest, Sha256};

domain! {
    /// The failure domains and shards over which keys are spread, identical on all hosts.
    ///
    /// Two hosts with different layouts would send one key to two shards, and its request could
    /// run twice. So the layout is one row on the platform, written once and never derived from
    /// settings.
    #[derive(Default, Eq)]
    pub struct Layout {
        /// Failure domains over which keys are spread.
        pub failure_domains: Vec<Name>,
        /// Number of shards in each failure domain; 0 counts as 1.
        pub shards: u32,
    }

    /// The shard to which a key belongs.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Home {
        /// Failure domain whose hosts hold the shard.
        pub failure_domain: Name,
        /// Number of the shard within its failure domain, from 0.
        pub shard: u32,
    }
}

impl Home {
    /// Key of the shard's row in the platform's table: `DOMAIN/N`.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("{}/{}", self.failure_domain, self.shard)
    }
}

impl Layout {
    /// The shard of a key. `None` if the layout has no failure domains.
    ///
    /// The result depends on nothing but the key: a retry by the caller must reach the shard of the
    /// first request, whatever else differs between the two.
    #[must_use]
    pub fn home(&self, key: &str) -> Option<Home> {
        let failure_domain = rank(key, &self.failure_domains).into_iter().next()?;
        let shard = score("shard", key) % u64::from(self.shards.max(1));
        Some(Home { failure_domain, shard: u32::try_from(shard).unwrap_or_default() })
    }
}

/// Joins a client account with its idempotency key or session, so that equal names of two accounts
/// stay apart.
#[must_use]
pub fn account_key(account: &str, key: &str) -> Name {
    Name::from(format!("{account}/{key}"))
}

/// Sorts the candidates for holding a place, preferred ones first. The order is the same on every
/// host, whatever the order of `candidates`.
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
