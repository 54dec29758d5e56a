//! Pace of a stream, measured so that short delays of its engine don't count.

use crate::domain;

/// Number of gaps between events after which a stream is judged.
const JUDGED_GAPS: u32 = 5;

domain! {
    /// Pace of one stream: the shortest gap between its first events.
    ///
    /// An engine that reads a long prompt delays all its other streams by an event or two, and an
    /// engine with empty caches does so often. By the mean of a few gaps, such a stream would look
    /// slow even if its version is good. The shortest gap is not affected, while a slow version has
    /// no short gap at all.
    #[derive(Copy, Default)]
    pub struct Pace {
        /// Number of gaps recorded, until the stream is judged.
        gaps: u32,
        /// Shortest gap before the stream was judged, in milliseconds.
        shortest_ms: f64,
        /// Shortest gap of the whole stream, in milliseconds.
        best_ms: f64,
    }
}

impl Pace {
    /// Records `events` that arrived together, `ms` milliseconds after the events before them.
    ///
    /// Returns the pace by which to judge the stream, in milliseconds per event, once: as soon as
    /// enough events have arrived, which is equally early for a good and for a slow stream.
    pub fn record(&mut self, events: u32, ms: f64) -> Option<f64> {
        if events == 0 {
            return None;
        }
        let gap_ms = ms / f64::from(events);
        self.best_ms = if self.gaps == 0 { gap_ms } else { gap_ms.min(self.best_ms) };
        if self.is_judged() {
            return None;
        }
        self.shortest_ms = if self.gaps == 0 { gap_ms } else { gap_ms.min(self.shortest_ms) };
        self.gaps += events;
        self.is_judged().then_some(self.shortest_ms)
    }

    /// Shortest gap between two events so far, in milliseconds; `None` until the stream is judged.
    /// A delay shorter than the stream doesn't lengthen this gap.
    #[must_use]
    pub fn best_ms(&self) -> Option<f64> {
        self.is_judged().then_some(self.best_ms)
    }

    /// Whether enough gaps were recorded to judge the stream.
    #[must_use]
    pub fn is_judged(&self) -> bool {
        self.gaps >= JUDGED_GAPS
    }
}
