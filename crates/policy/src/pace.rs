//! How soon a stream's events follow one another, whatever holds its engine up in between.

use crate::domain;

/// Gaps between events by which a stream is judged.
const GAPS: u32 = 5;

domain! {
    /// The pace of one stream, from its first events.
    ///
    /// An engine that reads a long prompt holds all its other streams up for an event or two, and
    /// one whose caches are empty does so often. A mean over a few events would make such a stream
    /// slow, of a good version too. The shortest gap does not: of a slow version no event comes
    /// soon.
    #[derive(Copy, Default)]
    pub struct Pace {
        gaps: u32,
        shortest_ms: f64,
        /// The shortest so far, for as long as the stream lasts.
        best_ms: f64,
    }
}

impl Pace {
    /// Events came, so long after those before them, in milliseconds. What it returns is the pace
    /// that the stream is judged by, in milliseconds an event: once, when enough events have come,
    /// and as early for a good stream as for a slow one.
    pub fn note(&mut self, events: u32, ms: f64) -> Option<f64> {
        if events == 0 {
            return None;
        }
        let gap_ms = ms / f64::from(events);
        self.best_ms = if self.gaps == 0 { gap_ms } else { gap_ms.min(self.best_ms) };
        if self.is_known() {
            return None;
        }
        self.shortest_ms = if self.gaps == 0 { gap_ms } else { gap_ms.min(self.shortest_ms) };
        self.gaps += events;
        self.is_known().then_some(self.shortest_ms)
    }

    /// The shortest gap between two events, in milliseconds, of a stream that has been judged. A
    /// disturbance shorter than the stream does not lengthen it.
    #[must_use]
    pub fn best_ms(&self) -> Option<f64> {
        self.is_known().then_some(self.best_ms)
    }

    /// Whether the stream has been judged.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.gaps >= GAPS
    }
}
