//! What this host knows of the prompt parts that engines have cached.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::prefix::far::{FarPart, Outgoing};
use policy::prefix::{self, Index, Key, Part, Scope, Taken, Weights};
use policy::time::Millis;

use crate::backend::Backend;

/// Parts of the index with a lock each.
const SHARDS_COUNT: usize = 16;
/// Most holders that [`Prefixes::holders`] returns.
pub const HOLDERS_MAX: usize = 4;
/// Most entries that a host looks through when it begins to announce parts to other failure domains.
const FIRST_ANNOUNCED_MAX: usize = 4_096;
/// Holders of a part that are enough for fetches. Of a part with as many, this host records no
/// further ones of other failure domains.
const FAR_HOLDERS_MAX: usize = 2;

/// An engine that holds leading parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// The start of the engine, [`Backend::start`].
    pub backend: u64,
    /// Leading tokens of the prompt that the engine is believed to have cached.
    pub tokens: f64,
}

/// The prefix cache index of this host, or nothing if it is off.
///
/// For engines whose caches are not followed, and where the index is off, only the prompts count
/// that this host has sent to them itself ([`prefix::Recent`]).
#[derive(Default)]
pub struct Prefixes {
    shards: Vec<Mutex<Index>>,
    /// Engines whose cache events this host follows.
    pub followed: AtomicUsize,
    /// Whether this host announces cached parts to other failure domains.
    announces_far: AtomicBool,
    /// The parts that it has to announce to them.
    outgoing: Mutex<Outgoing>,
}

impl Prefixes {
    /// An index of at most this many entries; off if absent.
    #[must_use]
    pub fn new(entries_max: Option<usize>) -> Self {
        let shard = |entries: usize| Mutex::new(Index::new(entries.div_ceil(SHARDS_COUNT)));
        let shards = entries_max.map(|max| (0..SHARDS_COUNT).map(|_| shard(max)).collect());
        Self { shards: shards.unwrap_or_default(), ..Self::default() }
    }

    /// Whether the index is on.
    #[must_use]
    pub fn is_on(&self) -> bool {
        !self.shards.is_empty()
    }

    /// Whether the index tells what a server has cached.
    #[must_use]
    pub fn covers(&self, backend: &Backend) -> bool {
        self.is_on() && backend.has_cache_events()
    }

    /// The leading tokens of a prompt that a server is believed to have cached.
    #[must_use]
    pub fn cached_tokens(&self, backend: &Backend, model: u64, parts: &[Part], now: Millis) -> f64 {
        if !self.covers(backend) {
            return backend.recently_sent(model, parts, now);
        }
        self.leading_tokens(backend.weights(model), backend.start, parts, now)
    }

    /// The engines that hold leading parts of a prompt for these weights
    /// ([`Backend::weights`]), those with the most tokens first.
    #[must_use]
    pub fn holders(&self, weights: Weights, parts: &[Part], now: Millis) -> Vec<Holder> {
        let mut holders: Vec<Holder> = Vec::new();
        if !self.is_on() {
            return holders;
        }
        for part in parts.iter().rev() {
            let key = weights.key(part.id);
            let starts: Vec<u64> = self.shard(key).holders(key, now).collect();
            for start in starts {
                if holders.iter().all(|known| known.backend != start) {
                    let tokens = self.leading_tokens(weights, start, parts, now);
                    holders.push(Holder { backend: start, tokens });
                }
            }
        }
        holders.retain(|holder| holder.tokens > 0.0);
        holders.sort_by(|one, other| other.tokens.total_cmp(&one.tokens));
        holders.truncate(HOLDERS_MAX);
        holders
    }

    /// Records that this host sends a prompt to a server. The last part belongs to the request or
    /// its session alone.
    pub fn record_sent(&self, backend: &Backend, model: u64, parts: &[Part], now: Millis) {
        if !self.covers(backend) {
            backend.record_parts(model, parts, now);
            return;
        }
        let weights = backend.weights(model);
        for (number, part) in parts.iter().enumerate() {
            let (key, is_shared) = (weights.key(part.id), number + 1 < parts.len());
            self.shard(key).record_sent(key, backend.start, part.tokens, is_shared, now);
        }
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        self.announce_sent(backend, weights, shared, now);
    }

    /// Records that another host has sent a prompt with these shared parts to a server.
    pub fn record_announced(&self, backend: &Backend, model: u64, shared: &[Part], now: Millis) {
        if !self.covers(backend) {
            return;
        }
        let weights = backend.weights(model);
        for part in shared {
            let key = weights.key(part.id);
            self.shard(key).record_sent(key, backend.start, part.tokens, true, now);
        }
        self.announce_sent(backend, weights, shared, now);
    }

    /// Records what a server's cache events or listing tell. Returns the parts among them that are
    /// known to be shared, for the other hosts.
    pub fn record_taken(&self, backend: &Backend, taken: &Taken, now: Millis) -> Vec<(Key, u32)> {
        if !self.is_on() {
            return Vec::new();
        }
        let before = match taken.scope {
            Scope::Whole => self.shared_parts(backend.start, now),
            Scope::Changes | Scope::NewEpoch => Vec::new(),
        };
        if taken.scope != Scope::Changes {
            self.forget(backend.start, now);
        }
        let mut shared = Vec::new();
        for held in &taken.parts {
            let key = backend.weights(held.model).key(held.part);
            let mut shard = self.shard(key);
            shard.confirm(key, backend.start, held.tokens, now);
            if shard.is_shared(key) {
                shared.push((key, held.tokens));
            }
        }
        let listed: HashSet<Key> = shared.iter().map(|(key, _)| *key).collect();
        let evicted = before.into_iter().filter(|key| !listed.contains(key));
        shared.extend(evicted.map(|key| (key, 0)));
        if taken.scope == Scope::NewEpoch {
            self.announce_lost(backend.start, now);
        }
        self.announce(backend.start, shared.iter().copied(), now);
        shared
    }

    /// Records what another host has heard of a server's cache, `age_ms` ago. What this host knows
    /// from later stays.
    pub fn record_heard(&self, start: u64, parts: &[(Key, u32)], age_ms: u64, now: Millis) {
        if self.is_on() {
            for (key, tokens) in parts {
                let mut shard = self.shard(*key);
                shard.confirm(*key, start, *tokens, now - age_ms);
                shard.set_shared(*key);
            }
            self.announce(start, parts.iter().copied(), now);
        }
    }

    /// Records shared parts that engines of other failure domains have cached.
    pub fn record_far(&self, parts: &[FarPart], now: Millis) {
        for FarPart(key, start, tokens) in parts.iter().filter(|_| self.is_on()) {
            let mut shard = self.shard(*key);
            let known = shard.holders(*key, now).filter(|holder| holder != start).count();
            if known < FAR_HOLDERS_MAX || *tokens == 0 {
                shard.confirm(*key, *start, *tokens, now);
                shard.set_shared(*key);
            }
        }
    }

    /// Sets whether this host announces cached parts to other failure domains. When it begins to, it
    /// announces what the engines of its own have confirmed; `near` gives their starts.
    pub fn set_announces_far(
        &self,
        announces_far: bool,
        near: impl FnOnce() -> HashSet<u64>,
        now: Millis,
    ) {
        let announced_before = self.announces_far.swap(announces_far, Ordering::Relaxed);
        if !announces_far || announced_before {
            return;
        }
        *self.outgoing() = Outgoing::default();
        let near = near();
        let known = self.shared_entries(FIRST_ANNOUNCED_MAX, now).into_iter();
        for (key, start, tokens, _) in known.filter(|(_, start, ..)| near.contains(start)) {
            self.announce(start, [(key, tokens)].into_iter(), now);
        }
    }

    /// The parts to announce to other failure domains now, at most `max`.
    pub fn take_outgoing(&self, max: usize) -> Vec<FarPart> {
        self.outgoing().take(max)
    }

    fn announce_sent(&self, backend: &Backend, weights: Weights, shared: &[Part], now: Millis) {
        if backend.is_near {
            let parts = shared.iter().map(|part| (weights.key(part.id), part.tokens));
            self.announce(backend.start, parts, now);
        }
    }

    fn announce(&self, start: u64, parts: impl Iterator<Item = (Key, u32)>, now: Millis) {
        if self.announces_far.load(Ordering::Relaxed) {
            let mut outgoing = self.outgoing();
            parts.for_each(|(key, tokens)| outgoing.record(key, start, tokens, now));
        }
    }

    fn announce_lost(&self, start: u64, now: Millis) {
        if self.announces_far.load(Ordering::Relaxed) {
            self.outgoing().forget(start, now);
        }
    }

    fn outgoing(&self) -> MutexGuard<'_, Outgoing> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the cache of a server's start was empty at the time `at`.
    pub fn forget(&self, start: u64, at: Millis) {
        self.shards.iter().for_each(|shard| lock(shard).forget(start, at));
    }

    /// The confirmed entries of shared parts, at most `max`: part, start of the engine, tokens and
    /// age in milliseconds. One holder of each part comes before others, since a fetch needs one.
    #[must_use]
    pub fn shared_entries(&self, max: usize, now: Millis) -> Vec<(Key, u64, u32, u64)> {
        let per_shard = max.div_ceil(SHARDS_COUNT);
        let entries = |shard: &Mutex<Index>| {
            let shard = lock(shard);
            let shared = shard.confirmed(now).filter(|(key, ..)| shard.is_shared(*key));
            let mut shared: Vec<_> = shared.collect();
            shared.sort_unstable_by_key(|(.., age_ms)| *age_ms);
            let mut seen = HashSet::new();
            let (first, others): (Vec<_>, Vec<_>) =
                shared.into_iter().partition(|(key, ..)| seen.insert(*key));
            first.into_iter().chain(others).take(per_shard).collect::<Vec<_>>()
        };
        self.shards.iter().flat_map(entries).collect()
    }

    /// The shared parts that a server's start is believed to have cached.
    fn shared_parts(&self, start: u64, now: Millis) -> Vec<Key> {
        let parts = |shard: &Mutex<Index>| {
            let shard = lock(shard);
            let own = shard.confirmed(now).filter(|(_, other, ..)| *other == start);
            own.map(|(key, ..)| key).filter(|key| shard.is_shared(*key)).collect::<Vec<_>>()
        };
        self.shards.iter().flat_map(parts).collect()
    }

    /// The number of entries.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        self.shards.iter().map(|shard| lock(shard).count(now)).sum()
    }

    fn leading_tokens(&self, weights: Weights, start: u64, parts: &[Part], now: Millis) -> f64 {
        prefix::leading_tokens(parts, |part| {
            let key = weights.key(part.id);
            self.shard(key).tokens(key, start, now)
        })
    }

    /// The shard of a part. Must not be called while the index is off.
    fn shard(&self, key: Key) -> MutexGuard<'_, Index> {
        let shard = usize::try_from(key.0 >> 32).unwrap_or_default() % self.shards.len();
        lock(&self.shards[shard])
    }
}

fn lock(shard: &Mutex<Index>) -> MutexGuard<'_, Index> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
