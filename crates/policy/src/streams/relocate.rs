//! Decides when a running stream is moved off an engine that leaves, and to which engine.
//!
//! Load: an engine that leaves runs many streams, which came through as many hosts. If it ends
//! under them, all are resumed in the same moment, and engines that are already busy prefill every
//! prompt again. A move copies the KV cache instead. Copies of one engine are made one after
//! another: if all hosts asked for them at once, the last ones would wait longer than the route
//! allows a stream to pause, and the engine that was the least loaded would get all streams.
//!
//! Hosts do not tell each other of their moves. The beginnings are spread by the ids of requests,
//! so that a source's link is busy half of the time whatever the number of hosts.

use std::collections::HashMap;

use crate::engine::fetch::Link;
use crate::place::mix;
use crate::sample::uniform;
use crate::time::Millis;

/// Share of the time for which the link of an engine that leaves is used by first copies. The rest
/// is for last copies, which a paused stream waits for.
const LINK_SHARE: f64 = 0.5;
/// Part of the time until an engine ends in which the moves off it begin.
const BEGIN_SHARE: f64 = 0.5;
/// Moves off one engine that a host has in progress at once.
const SOURCE_MAX: u32 = 2;
/// Moves to one engine that a host has in progress at once.
const TARGET_MAX: u32 = 2;
/// How long an engine that had no room for a copy is not asked for one of the same size or a larger
/// one, in milliseconds. Streams of some seconds free memory within that time.
const REFUSED_MS: u64 = 1_000;

/// A running stream at an engine that leaves.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Hash of the request's id.
    pub id: u64,
    /// Time for which the host has known that the engine leaves, in milliseconds.
    pub known_ms: u64,
    /// Tokens of the stream's KV cache.
    pub tokens: f64,
    /// Expected time to the stream's end, in milliseconds; `None` if unknown.
    pub remaining_ms: Option<f64>,
    /// Longest pause that the route allows, in milliseconds.
    pub pause_max_ms: f64,
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Speed of transfers between engines; `None` if unknown.
    pub link: Option<Link>,
    /// Time until the engine ends, in milliseconds; `None` if unknown.
    pub ends_in_ms: Option<f64>,
}

/// What is done with a stream at an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The stream is moved now.
    Move,
    /// The move begins after this time, in milliseconds.
    Wait(u64),
    /// The stream is left where it is, because it ends soon enough.
    EndsSoon,
    /// The stream is left where it is, because the engine ends before a copy is complete.
    TooLate,
}

impl Stream {
    /// Expected time of the first copy, in milliseconds.
    #[must_use]
    pub fn copy_ms(&self) -> f64 {
        match self.link {
            Some(link) => link.ms(self.tokens),
            // Without a known speed, the copies of all slots are assumed to take as long as a stream
            // may pause.
            None => self.pause_max_ms / f64::from(self.slots.max(1)),
        }
    }

    /// Decides what is done with the stream.
    #[must_use]
    pub fn decide(&self) -> Decision {
        let copy_ms = self.copy_ms();
        // An engine that leaves lets its requests end for some time. Where that time is unknown, a
        // stream that would end within one pause is not worth a pause and a slot elsewhere.
        let stays_ms = self.ends_in_ms.unwrap_or_else(|| self.pause_max_ms.max(2.0 * copy_ms));
        if self.remaining_ms.is_some_and(|remaining| remaining <= stays_ms) {
            return Decision::EndsSoon;
        }
        if self.ends_in_ms.is_some_and(|ends| ends <= copy_ms) {
            return Decision::TooLate;
        }
        let begins_ms = self.begins_ms(copy_ms);
        match begins_ms.saturating_sub(self.known_ms) {
            0 => Decision::Move,
            wait => Decision::Wait(wait),
        }
    }

    /// Time from the notice that the engine leaves to the beginning of this stream's move, in
    /// milliseconds. Long copies begin later on average, so that the link is used evenly whatever
    /// the lengths are.
    fn begins_ms(&self, copy_ms: f64) -> u64 {
        let spread_ms = f64::from(self.slots.max(1)) * copy_ms / LINK_SHARE;
        let until_end = self.ends_in_ms.map(|ends| (ends + self.known_ms as f64) * BEGIN_SHARE);
        let spread_ms = spread_ms.min(until_end.unwrap_or(f64::INFINITY));
        (spread_ms * uniform(mix(self.id))) as u64
    }
}

/// An engine that a stream may be moved to, of the same version and model.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Identifies the engine's start.
    pub start: u64,
    /// Whether the engine is in the failure domain of the one that leaves.
    pub is_near: bool,
    /// Requests believed to be at the engine.
    pub load: f64,
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Extra time that the engine's work takes, as a fraction of the usual time.
    pub slowdown: f64,
}

impl Target {
    /// The engine's load if one more stream came, relative to its slots and speed.
    fn cost(&self, moving: u32) -> f64 {
        let requests = self.load + f64::from(moving) + 1.0;
        requests / f64::from(self.slots.max(1)) * (1.0 + self.slowdown).max(0.0)
    }

    fn has_slot(&self, moving: u32) -> bool {
        self.load + f64::from(moving) + 1.0 <= f64::from(self.slots)
    }
}

/// A copy for which an engine had no room.
#[derive(Clone, Copy, Debug)]
struct Refused {
    tokens: f64,
    at: Millis,
}

/// The moves that a host has in progress.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    sources: HashMap<u64, u32>,
    targets: HashMap<u64, u32>,
    refused: HashMap<u64, Refused>,
}

impl Moves {
    /// Whether a move off an engine may begin now. If so, it counts as in progress until
    /// [`Self::end_source`].
    pub fn begin_source(&mut self, start: u64) -> bool {
        begin(&mut self.sources, start, SOURCE_MAX)
    }

    /// Records that a move off an engine has ended.
    pub fn end_source(&mut self, start: u64) {
        end(&mut self.sources, start);
    }

    /// Chooses the engine for a stream with a KV cache of so many tokens; `None` if none has room.
    /// It counts as a target until [`Self::end_target`]. `draw` is a uniform random number.
    ///
    /// Of two engines drawn at random the one with less load is taken. All hosts read the same load
    /// reports, so the least loaded engine of all would get every stream.
    pub fn begin_target(
        &mut self,
        targets: &[Target],
        tokens: f64,
        draw: u64,
        now: Millis,
    ) -> Option<usize> {
        self.refused.retain(|_, refused| now.since(refused.at) < REFUSED_MS);
        let moving = |target: &Target| self.targets.get(&target.start).copied().unwrap_or_default();
        let has_room = |target: &Target| {
            let refused = self.refused.get(&target.start);
            moving(target) < TARGET_MAX
                && target.has_slot(moving(target))
                && refused.is_none_or(|refused| tokens < refused.tokens)
        };
        let open = targets.iter().enumerate().filter(|(_, target)| has_room(target));
        let (near, far): (Vec<_>, Vec<_>) = open.partition(|(_, target)| target.is_near);
        let open = if near.is_empty() { far } else { near };
        let cost = |(_, target): &(usize, &Target)| target.cost(moving(target));
        let count = open.len() as u64;
        let one = *open.get(draw.checked_rem(count)? as usize)?;
        let other = *open.get((mix(draw) % count) as usize)?;
        let (index, target) = if cost(&other) < cost(&one) { other } else { one };
        begin(&mut self.targets, target.start, TARGET_MAX).then_some(index)
    }

    /// Records that a move to an engine has ended.
    pub fn end_target(&mut self, start: u64) {
        end(&mut self.targets, start);
    }

    /// Records that an engine had no room for a copy of so many tokens.
    pub fn record_refused(&mut self, start: u64, tokens: f64, now: Millis) {
        let known = self.refused.get(&start).filter(|known| now.since(known.at) < REFUSED_MS);
        let tokens = known.map_or(tokens, |known| known.tokens.min(tokens));
        self.refused.insert(start, Refused { tokens, at: now });
    }
}

fn begin(counts: &mut HashMap<u64, u32>, start: u64, max: u32) -> bool {
    let count = counts.entry(start).or_default();
    let may_begin = *count < max;
    *count += u32::from(may_begin);
    may_begin
}

fn end(counts: &mut HashMap<u64, u32>, start: u64) {
    if let Some(count) = counts.get_mut(&start) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(&start);
        }
    }
}
