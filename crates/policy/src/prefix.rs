//! Which engines have cached which parts of prompts.
//!
//! Load: prompts of tens of thousands of tokens whose first half is shared by many requests. An
//! engine that has the shared parts in its cache prefills only the rest, so a request that goes
//! elsewhere keeps another engine busy for a second or more. Each host sends too few requests to
//! know the caches from its own prompts alone: [`Index`] combines these with what other hosts and
//! the engines' cache events tell, and [`Feed`] decides when an engine's events are fetched.
//!
//! What is recorded here is a hint. A wrong entry costs one prefill, never a wrong response.

pub mod far;
mod feed;
mod index;
mod lag;

use std::collections::HashMap;

pub use feed::{
    Batch, Call, Change, Feed, Held, NOTICE_BYTES_MAX, Scope, Sign, Taken, Trouble, receivers_max,
};
pub use index::{ENTRY_BYTES, Index};
pub use lag::Lag;

use crate::domain;
use crate::place::{hash, mix};
use crate::time::Millis;

/// How long a part is assumed to stay in a cache after its last use, if the engine has not confirmed
/// it.
pub const ASSUMED_LIFETIME_MS: u64 = 30_000;
/// How long a part that the engine has confirmed is assumed to stay in its cache after its last use.
/// The engine reports a removal earlier, unless that event is lost.
pub const CONFIRMED_LIFETIME_MS: u64 = 300_000;
/// Parts that [`Recent`] keeps before outdated ones are removed.
const RECENT_MAX: usize = 4_096;

domain! {
    /// A part of a prompt. Requests share parts, and an engine that has all parts up to one in its
    /// cache need not prefill them again.
    #[derive(Copy, Eq, Hash)]
    pub struct Part {
        /// Identifies the content of the part.
        pub id: u64,
        /// The length of the part in tokens.
        pub tokens: u32,
    }
}

/// The identity of one start of an engine in the index. A restart has empty caches and gets another
/// identity, even under the same id.
#[must_use]
pub fn start(id_hash: u64, born: u64) -> u64 {
    mix(id_hash ^ mix(born))
}

/// The model and version of the weights that cached parts belong to. Parts cached by other weights
/// are of no use.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Weights(u64);

impl Weights {
    /// The weights of a model, given by the hash of its name, in a version.
    #[must_use]
    pub fn new(model: u64, version: &str) -> Self {
        Self(mix(model ^ mix(hash(version.as_bytes()))))
    }

    /// The key of a part that these weights have computed.
    #[must_use]
    pub fn key(self, part: u64) -> Key {
        Key(mix(self.0 ^ mix(part)))
    }
}

domain! {
    /// The hash of a part's id, the model and the version of the weights.
    #[derive(Copy, Eq, Hash)]
    #[serde(transparent)]
    pub struct Key(pub u64);
}

/// The leading tokens of a prompt that are cached, given how many tokens of each part are kept. A
/// part counts only if all parts before it are kept whole.
#[must_use]
pub fn leading_tokens(parts: &[Part], mut kept: impl FnMut(&Part) -> u32) -> f64 {
    let mut sum = 0.0;
    for part in parts {
        let tokens = kept(part).min(part.tokens);
        sum += f64::from(tokens);
        if tokens < part.tokens || tokens == 0 {
            break;
        }
    }
    sum
}

/// The parts that one host has recently sent to one engine.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    /// When each part was last used, by model and id of the part.
    used: HashMap<(u64, u64), Millis>,
}

impl Recent {
    /// Records that a prompt of these parts was sent.
    pub fn record(&mut self, model: u64, parts: &[Part], now: Millis) {
        if self.used.len() > RECENT_MAX {
            self.used.retain(|_, used| now.since(*used) < ASSUMED_LIFETIME_MS);
        }
        for part in parts {
            self.used.insert((model, part.id), now);
        }
    }

    /// The leading tokens of a prompt that are assumed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, model: u64, parts: &[Part], now: Millis) -> f64 {
        let is_cached = |part: &&Part| {
            let used = self.used.get(&(model, part.id));
            used.is_some_and(|used| now.since(*used) < ASSUMED_LIFETIME_MS)
        };
        parts.iter().take_while(is_cached).map(|part| f64::from(part.tokens)).sum()
    }
}
