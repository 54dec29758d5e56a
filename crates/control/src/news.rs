//! The numbered pieces of news held, of each origin.

use std::collections::{BTreeMap, VecDeque};

use policy::name::Name;
use policy::time::Millis;
use wire::gossip::{Counts, News};

/// Pieces of one origin held at most.
const PIECES_MAX: usize = 64;
/// Pieces sent in one answer at most.
const ANSWER_MAX: usize = 64;
/// A piece is forgotten after so long: whoever lacks it by then was cut off.
const PIECE_MS: u64 = 60_000;
/// An origin without news is forgotten after so long. Far longer than a piece, because a control
/// that forgot the number but could still be sent the piece would count it twice.
const ORIGIN_MS: u64 = 1_200_000;

/// The log.
#[derive(Default)]
pub struct Log {
    origins: BTreeMap<Name, Origin>,
}

#[derive(Default)]
struct Origin {
    newest: u64,
    heard: Millis,
    pieces: VecDeque<(Millis, News)>,
}

impl Log {
    /// Adds the next piece of an origin, its own control's.
    pub fn publish(&mut self, origin: &Name, counts: Counts, now: Millis) -> News {
        let number = self.newest(origin) + 1;
        let news = News { origin: origin.clone(), number, counts };
        self.take(&news, now);
        news
    }

    /// Takes a piece if it is newer than all held of its origin; says whether it was.
    pub fn take(&mut self, news: &News, now: Millis) -> bool {
        let origin = self.origins.entry(news.origin.clone()).or_default();
        if news.number <= origin.newest {
            return false;
        }
        origin.newest = news.number;
        origin.heard = now;
        origin.pieces.push_back((now, news.clone()));
        if origin.pieces.len() > PIECES_MAX {
            origin.pieces.pop_front();
        }
        true
    }

    /// The newest number of an origin; 0 for none.
    #[must_use]
    pub fn newest(&self, origin: &str) -> u64 {
        self.origins.get(origin).map_or(0, |origin| origin.newest)
    }

    /// What is held, for a digest.
    #[must_use]
    pub fn held(&self) -> Vec<(Name, u64)> {
        self.origins.iter().map(|(name, origin)| (name.clone(), origin.newest)).collect()
    }

    /// Pieces that one who holds so much lacks, in order for each origin.
    #[must_use]
    pub fn lacking(&self, held: &[(Name, u64)]) -> Vec<News> {
        let held: BTreeMap<&str, u64> = held.iter().map(|(name, n)| (name.as_str(), *n)).collect();
        let mut lacking = Vec::new();
        for (name, origin) in &self.origins {
            let newest = held.get(name.as_str()).copied().unwrap_or(0);
            let pieces = origin.pieces.iter().map(|(_, news)| news);
            lacking.extend(pieces.filter(|news| news.number > newest).cloned());
        }
        lacking.truncate(ANSWER_MAX);
        lacking
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Millis) {
        for origin in self.origins.values_mut() {
            origin.pieces.retain(|(taken, _)| now.since(*taken) < PIECE_MS);
        }
        self.origins.retain(|_, origin| now.since(origin.heard) < ORIGIN_MS);
    }
}
