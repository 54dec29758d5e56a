//! Values by name, in shards under their own locks.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, PoisonError};

use policy::name::Name;

const SHARDS: usize = 16;

/// Values by name; each is made by `Default` when it is first used. The names come from the
/// configuration, so there are as many values as it has names.
#[derive(Default)]
pub struct Sharded<V> {
    shards: [Mutex<HashMap<Name, V>>; SHARDS],
}

impl<V: Default> Sharded<V> {
    /// Uses one value under its shard's lock.
    pub fn with<T>(&self, name: &Name, use_it: impl FnOnce(&mut V) -> T) -> T {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or_default();
        let mut shard = self.shards[index].lock().unwrap_or_else(PoisonError::into_inner);
        match shard.get_mut(name) {
            Some(value) => use_it(value),
            None => use_it(shard.entry(name.clone()).or_default()),
        }
    }
}
