//! Cached shared parts that are announced to the hosts of other failure domains.
//!
//! Load: hundreds of shared parts that each failure domain uses about twice a minute. Without
//! knowing of the others, each failure domain prefills every part itself. A fetch needs one holder,
//! so a part is announced once and not for each engine that has it.

use std::collections::HashMap;

use super::{ASSUMED_LIFETIME_MS, Key, NOTICE_BYTES_MAX};
use crate::domain;
use crate::time::Millis;

/// A part is announced again when it is used after this time, before the other failure domains drop
/// it.
const REPEAT_MS: u64 = ASSUMED_LIFETIME_MS;
/// Most announced parts that are remembered.
const SENT_MAX: usize = 4_096;
/// Most parts that wait to be announced.
const QUEUE_MAX: usize = 512;
/// Longest encoding of a [`FarPart`], and of the rest of a message, in bytes.
const PART_BYTES: usize = 54;
const HEADER_BYTES: usize = 160;
/// Most parts in one message, so that it fits a datagram.
const PARTS_MAX: usize = 20;

domain! {
    /// A shared part at an engine of another failure domain: the part, the engine's start, and the
    /// tokens that are cached, 0 after an eviction.
    #[derive(Copy, Eq)]
    pub struct FarPart(pub Key, pub u64, pub u32);
}

/// The parts at the engines of one failure domain that are to be announced to the others.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    /// The engine that was last announced as a part's holder, and when.
    sent: HashMap<Key, (u64, Millis)>,
    queue: Vec<FarPart>,
}

impl Outgoing {
    /// Records that an engine of this failure domain has a shared part cached, or with 0 tokens that
    /// it has evicted the part.
    pub fn record(&mut self, part: Key, start: u64, tokens: u32, now: Millis) {
        let sent = self.sent.get(&part).copied();
        let is_news = match sent {
            Some((holder, _)) if tokens == 0 => holder == start,
            Some((_, at)) => now.since(at) >= REPEAT_MS,
            None => tokens > 0,
        };
        if !is_news || self.queue.len() >= QUEUE_MAX {
            return;
        }
        if self.sent.len() >= SENT_MAX {
            self.sent.retain(|_, (_, at)| now.since(*at) < REPEAT_MS);
        }
        match tokens {
            0 => drop(self.sent.remove(&part)),
            _ if self.sent.len() < SENT_MAX => drop(self.sent.insert(part, (start, now))),
            _ => {}
        }
        self.queue.push(FarPart(part, start, tokens));
    }

    /// Records that an engine has lost its cache.
    pub fn forget(&mut self, start: u64, now: Millis) {
        let lost = self.sent.iter().filter(|(_, (holder, _))| *holder == start);
        let lost: Vec<Key> = lost.map(|(part, _)| *part).collect();
        lost.into_iter().for_each(|part| self.record(part, start, 0, now));
    }

    /// The parts to announce now, at most `max` of them.
    pub fn take(&mut self, max: usize) -> Vec<FarPart> {
        self.queue.drain(..max.min(self.queue.len())).collect()
    }
}

/// What a host may still send its failure domain about caches, or about loads of other failure
/// domains, in the current second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    second: u64,
    bytes: usize,
}

impl Budget {
    /// Records that messages of this length were sent to some hosts.
    pub fn record(&mut self, bytes: usize, hosts: usize, now: Millis) {
        let second = now.0 / 1_000;
        let before = if second == self.second { self.bytes } else { 0 };
        *self = Self { second, bytes: before.saturating_add(bytes.saturating_mul(hosts)) };
    }

    /// How many of the hosts a message of this length may still be sent to.
    #[must_use]
    pub fn receivers(&self, bytes: usize, hosts: usize, now: Millis) -> usize {
        self.receivers_within(NOTICE_BYTES_MAX, bytes, hosts, now)
    }

    /// The same for messages of which `max` bytes may be sent in a second.
    #[must_use]
    pub fn receivers_within(&self, max: usize, bytes: usize, hosts: usize, now: Millis) -> usize {
        let sent = if now.0 / 1_000 == self.second { self.bytes } else { 0 };
        hosts.min(max.saturating_sub(sent) / bytes.max(1))
    }
}

/// Most parts in one message to a failure domain of this many hosts. The host that gets the message
/// passes it on to all of them, at the cost of what it may send in a second.
#[must_use]
pub fn parts_max(hosts: usize) -> usize {
    let bytes = NOTICE_BYTES_MAX / hosts.max(1);
    (bytes.saturating_sub(HEADER_BYTES) / PART_BYTES).clamp(1, PARTS_MAX)
}

/// Most parts that a host announces to another failure domain of this many hosts in a second.
#[must_use]
pub fn parts_per_second_max(hosts: usize) -> usize {
    let parts = parts_max(hosts);
    parts * (NOTICE_BYTES_MAX / (HEADER_BYTES + parts * PART_BYTES)).max(1)
}
