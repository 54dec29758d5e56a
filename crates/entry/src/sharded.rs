//! A map from names to values, divided into shards with a lock each.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, PoisonError};

use policy::name::Name;

const SHARDS_COUNT: usize = 16;

/// Map whose values are created by `Default` at their first use. It never removes a value, which is
/// safe because the names come from the configuration and bound its size.
#[derive(Default)]
pub struct Sharded<V> {
    shards: [Mutex<HashMap<Name, V>>; SHARDS_COUNT],
}

impl<V: Default> Sharded<V> {
    /// Calls `apply` with the value of a name, under the lock of its shard.
    pub fn with<T>(&self, name: &Name, apply: impl FnOnce(&mut V) -> T) -> T {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS_COUNT as u64).unwrap_or_default();
        let mut shard = self.shards[index].lock().unwrap_or_else(PoisonError::into_inner);
        match shard.get_mut(name) {
            Some(value) => apply(value),
            None => apply(shard.entry(name.clone()).or_default()),
        }
    }
}
