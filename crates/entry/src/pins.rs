//! Cache of the versions that caller-chosen sessions are pinned to.
//!
//! The version of a session never changes while the session's home remembers it. A cached pin is
//! therefore valid if it expires much sooner than the home's own record: the home is then asked
//! again, which also renews its record, long before the record expires.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use policy::name::Name;

/// Time that a cached pin is used before the home of its session is asked again.
const PIN_TTL: Duration = Duration::from_secs(600);
const SHARDS_COUNT: usize = 16;
/// Limit on the sessions in one shard.
const SHARD_ENTRIES_MAX: usize = 4096;

type Key = (Name, Name);

/// The cache, divided into shards with a lock each.
#[derive(Default)]
pub struct Pins {
    shards: [Mutex<HashMap<Key, (Name, Instant)>>; SHARDS_COUNT],
}

impl Pins {
    fn shard(&self, key: &Key) -> &Mutex<HashMap<Key, (Name, Instant)>> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        &self.shards[usize::try_from(hasher.finish() % SHARDS_COUNT as u64).unwrap_or_default()]
    }

    /// The version that a session is pinned to; none if the cache holds no fresh entry.
    #[must_use]
    pub fn get(&self, account: &Name, session: &Name) -> Option<Name> {
        let key = (account.clone(), session.clone());
        let shard = self.shard(&key).lock().unwrap_or_else(PoisonError::into_inner);
        match shard.get(&key) {
            Some((version, at)) if at.elapsed() < PIN_TTL => Some(version.clone()),
            _ => None,
        }
    }

    /// Caches the version of a session. A full shard first drops its expired entries, and all of
    /// its entries if none has expired.
    pub fn put(&self, account: &Name, session: &Name, version: Name) {
        let key = (account.clone(), session.clone());
        let mut shard = self.shard(&key).lock().unwrap_or_else(PoisonError::into_inner);
        if shard.len() >= SHARD_ENTRIES_MAX {
            shard.retain(|_, (_, at)| at.elapsed() < PIN_TTL);
        }
        if shard.len() >= SHARD_ENTRIES_MAX {
            shard.clear();
        }
        shard.insert(key, (version, Instant::now()));
    }
}
