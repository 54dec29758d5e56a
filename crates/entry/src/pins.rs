//! Versions of caller-chosen sessions, remembered for a while.
//!
//! A session's version never changes while its home remembers it, so an answer may be kept here
//! as long as that is much shorter than the home's own memory: the home is then asked, and
//! reminded, long before it forgets.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use policy::name::Name;

const KEEP: Duration = Duration::from_secs(600);
const SHARDS: usize = 16;
/// Sessions remembered in one shard at most.
const SHARD_MAX: usize = 4096;

type Key = (Name, Name);

/// The cache, in shards under their own locks.
#[derive(Default)]
pub struct Pins {
    shards: [Mutex<HashMap<Key, (Name, Instant)>>; SHARDS],
}

impl Pins {
    fn shard(&self, key: &Key) -> &Mutex<HashMap<Key, (Name, Instant)>> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        &self.shards[usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or_default()]
    }

    /// The version, if it is remembered.
    #[must_use]
    pub fn get(&self, account: &Name, session: &Name) -> Option<Name> {
        let key = (account.clone(), session.clone());
        let shard = self.shard(&key).lock().unwrap_or_else(PoisonError::into_inner);
        match shard.get(&key) {
            Some((version, at)) if at.elapsed() < KEEP => Some(version.clone()),
            _ => None,
        }
    }

    /// Remembers a version. A full shard forgets what is old, or else all of it.
    pub fn put(&self, account: &Name, session: &Name, version: Name) {
        let key = (account.clone(), session.clone());
        let mut shard = self.shard(&key).lock().unwrap_or_else(PoisonError::into_inner);
        if shard.len() >= SHARD_MAX {
            shard.retain(|_, (_, at)| at.elapsed() < KEEP);
        }
        if shard.len() >= SHARD_MAX {
            shard.clear();
        }
        shard.insert(key, (version, Instant::now()));
    }
}
