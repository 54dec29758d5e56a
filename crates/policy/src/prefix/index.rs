//! A bounded table of the engines that hold cached parts of prompts.

use super::{ASSUMED_LIFETIME_MS, CONFIRMED_LIFETIME_MS, Key};
use crate::place::mix;
use crate::time::Millis;

/// Slots among which an entry may be stored. If all are in use, the least recently used one is
/// replaced.
const WAYS: usize = 8;
/// Engines that are remembered as holders of one part.
pub const HOLDERS_MAX: usize = 4;
/// Entries for each part whose holders are remembered.
const ENTRIES_PER_PART: usize = 4;
/// Bytes that the index takes for each entry.
pub const ENTRY_BYTES: usize = size_of::<Kept>() + size_of::<Holders>().div_ceil(ENTRIES_PER_PART);

/// A part in the cache of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    part: u64,
    /// The engine's start.
    start: u64,
    /// Last use; 0 in an empty slot.
    used: Millis,
    /// Tokens of the part that are cached; 0 if the engine evicted it at the time of `used`. What is
    /// older than that must not bring the entry back.
    tokens: u32,
    /// Whether the engine itself has said that it has the part.
    is_confirmed: bool,
}

impl Kept {
    /// The order in which entries are replaced: evicted parts first, then the least recently used.
    fn order(&self) -> (bool, Millis) {
        (self.tokens > 0, self.used)
    }

    fn is_valid(&self, now: Millis) -> bool {
        let lifetime_ms =
            if self.is_confirmed { CONFIRMED_LIFETIME_MS } else { ASSUMED_LIFETIME_MS };
        self.tokens > 0 && now.since(self.used) < lifetime_ms
    }
}

/// The engines that held a part last, the most recent one first.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    part: u64,
    /// Last use; 0 in an empty slot.
    used: Millis,
    /// The engines' starts; 0 for none.
    starts: [u64; HOLDERS_MAX],
    /// Whether requests share the part.
    is_shared: bool,
}

/// Parts of prompts that engines have cached.
///
/// Both tables are set-associative: an entry's hash gives the few slots that may hold it. Memory is
/// bounded by construction, and neither an insertion nor a lookup depends on the number of entries.
#[derive(Clone, Debug)]
pub struct Index {
    kept: Vec<Kept>,
    holders: Vec<Holders>,
}

impl Index {
    /// An empty index of at most `entries_max` entries, rounded up to a whole set of slots. An entry
    /// is one part at one engine.
    #[must_use]
    pub fn new(entries_max: usize) -> Self {
        let sets = entries_max.div_ceil(WAYS).max(1);
        let holder_sets = sets.div_ceil(ENTRIES_PER_PART);
        Self {
            kept: vec![Kept::default(); sets * WAYS],
            holders: vec![Holders::default(); holder_sets * WAYS],
        }
    }

    /// Records that a prompt with this part was sent to an engine, which will have the part cached.
    pub fn record_sent(
        &mut self,
        part: Key,
        start: u64,
        tokens: u32,
        is_shared: bool,
        now: Millis,
    ) {
        if tokens > 0 {
            self.insert(part, start, tokens, false, now);
        }
        if is_shared {
            self.set_shared(part);
        }
    }

    /// Records that requests share a part, if it is known.
    pub fn set_shared(&mut self, part: Key) {
        let set = set(&mut self.holders, mix(part.0));
        if let Some(holders) = set.iter_mut().find(|holders| holders.part == part.0) {
            holders.is_shared = true;
        }
    }

    /// Whether requests are known to share a part.
    #[must_use]
    pub fn is_shared(&self, part: Key) -> bool {
        let set = set_ref(&self.holders, mix(part.0));
        set.iter().any(|holders| holders.part == part.0 && holders.is_shared)
    }

    /// Records that an engine said at the time `at` that it had cached this many tokens of a part; 0
    /// if it evicted the part. What is known from a later time stays.
    pub fn confirm(&mut self, part: Key, start: u64, tokens: u32, at: Millis) {
        let set = set(&mut self.kept, mix(part.0 ^ start));
        let known = set.iter_mut().find(|kept| kept.part == part.0 && kept.start == start);
        match known {
            Some(newer) if newer.used > at => newer.is_confirmed |= tokens > 0 && newer.tokens > 0,
            Some(known) if tokens == 0 => *known = Kept { tokens, used: at, ..*known },
            None if tokens == 0 => {
                let slot = slot(set, |_| false, Kept::order);
                let evicted = Kept { part: part.0, start, used: at, ..Kept::default() };
                *slot = if slot.tokens == 0 { evicted } else { *slot };
            }
            _ => self.insert(part, start, tokens, true, at),
        }
    }

    fn insert(&mut self, part: Key, start: u64, tokens: u32, is_confirmed: bool, now: Millis) {
        let is_same = |kept: &Kept| kept.part == part.0 && kept.start == start;
        let set = set(&mut self.kept, mix(part.0 ^ start));
        let slot = slot(set, is_same, Kept::order);
        // A part that the engine has confirmed stays confirmed when it is used again.
        let was_confirmed = is_same(slot) && slot.is_confirmed && slot.is_valid(now);
        let tokens =
            if is_confirmed { tokens } else { tokens.max(slot_tokens(slot, is_same, now)) };
        let is_confirmed = is_confirmed || was_confirmed;
        *slot = Kept { part: part.0, start, used: now, tokens, is_confirmed };
        self.record_holder(part, start, now);
    }

    fn record_holder(&mut self, part: Key, start: u64, now: Millis) {
        let set = set(&mut self.holders, mix(part.0));
        let slot = slot(set, |holders| holders.part == part.0, |holders| holders.used);
        if slot.part != part.0 {
            *slot = Holders { part: part.0, ..Holders::default() };
        }
        slot.used = now;
        let known = slot.starts.iter().position(|known| *known == start);
        slot.starts[..=known.unwrap_or(HOLDERS_MAX - 1)].rotate_right(1);
        slot.starts[0] = start;
    }

    /// Records that an engine's cache was empty at the time `at`.
    pub fn forget(&mut self, start: u64, at: Millis) {
        let known = self.kept.iter_mut().filter(|kept| kept.start == start && kept.used <= at);
        known.for_each(|kept| *kept = Kept { tokens: 0, used: at, ..*kept });
    }

    /// How many tokens of a part an engine has cached; 0 if it has none.
    #[must_use]
    pub fn tokens(&self, part: Key, start: u64, now: Millis) -> u32 {
        let set = set_ref(&self.kept, mix(part.0 ^ start));
        let kept = set.iter().find(|kept| kept.part == part.0 && kept.start == start);
        kept.filter(|kept| kept.is_valid(now)).map_or(0, |kept| kept.tokens)
    }

    /// The engines that hold a part, the one that used it last first.
    pub fn holders(&self, part: Key, now: Millis) -> impl Iterator<Item = u64> {
        let set = set_ref(&self.holders, mix(part.0));
        let holders = set.iter().find(|holders| holders.part == part.0);
        let starts = holders.map(|holders| holders.starts).unwrap_or_default();
        starts.into_iter().filter(move |start| *start != 0 && self.tokens(part, *start, now) > 0)
    }

    /// All valid entries that engines have confirmed: part, start, tokens and age in milliseconds.
    pub fn confirmed(&self, now: Millis) -> impl Iterator<Item = (Key, u64, u32, u64)> {
        let valid = self.kept.iter().filter(move |kept| kept.is_confirmed && kept.is_valid(now));
        valid.map(move |kept| (Key(kept.part), kept.start, kept.tokens, now.since(kept.used)))
    }

    /// The number of valid entries.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        self.kept.iter().filter(|kept| kept.is_valid(now)).count()
    }

    /// The bytes that the index takes, whether its slots are used or not.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of_val(self.kept.as_slice()) + size_of_val(self.holders.as_slice())
    }
}

fn slot_tokens(slot: &Kept, is_same: impl Fn(&Kept) -> bool, now: Millis) -> u32 {
    if is_same(slot) && slot.is_valid(now) { slot.tokens } else { 0 }
}

/// The index of the first slot of the set for a hash.
fn first_slot(slots: usize, hash: u64) -> usize {
    let sets = (slots / WAYS).max(1);
    usize::try_from(hash % sets as u64).unwrap_or_default() * WAYS
}

fn set<T>(slots: &mut [T], hash: u64) -> &mut [T] {
    let first = first_slot(slots.len(), hash);
    &mut slots[first..first + WAYS]
}

fn set_ref<T>(slots: &[T], hash: u64) -> &[T] {
    let first = first_slot(slots.len(), hash);
    slots.get(first..first + WAYS).unwrap_or_default()
}

/// The slot that holds an entry, or else the first slot of the set in an order.
fn slot<T, K: Ord>(set: &mut [T], is_same: impl Fn(&T) -> bool, order: impl Fn(&T) -> K) -> &mut T {
    let known = set.iter().position(is_same);
    let oldest = (0..set.len()).min_by_key(|index| order(&set[*index]));
    &mut set[known.or(oldest).unwrap_or_default()]
}
