//! Pace of a stream, measured so that short delays of its engine or its network don't count.

use crate::canary::{self, Outcome};
use crate::domain;

/// Number of gaps between events after which a stream is judged.
const JUDGED_GAPS: u32 = 5;
/// Number of gaps in a row that show that a stream is quick.
const STEADY_GAPS: u32 = 2;
/// Number of gaps after which a stream is slow that has not shown that it is quick.
pub const JUDGED_LAST_GAPS: u32 = 16;
/// Time after an event within which further events count as having come with it, in milliseconds. A
/// network, or a process that was not running, delivers together what was sent one by one.
const BURST_GAP_MS: f64 = 5.0;

domain! {
    /// Pace of one stream, from the times at which its events arrive.
    ///
    /// An engine that reads a long prompt delays all its other streams by an event or two, and an
    /// engine with empty caches does so often. By the mean of a few gaps, such a stream would look
    /// slow even if its version is good. A network delays events as well and then delivers several
    /// at once. By its shortest gap, a slow stream would look quick. So events that come together
    /// share the gap before them, and the pace is known between two bounds.
    #[derive(Copy, Default)]
    pub struct Pace {
        /// Number of gaps recorded, without those at the beginning that no pause preceded.
        gaps: u32,
        /// The events that came together last, and the gap before them.
        last: Piece,
        /// The two pieces before `last`, the latest first.
        before: [Piece; 2],
        /// The least time per event of any piece before `last`, in milliseconds.
        least_ms: Option<f64>,
        /// The least mean time per event of [`STEADY_GAPS`] gaps in a row before `last`, in
        /// milliseconds.
        steady_ms: Option<f64>,
    }

    /// Events that came together.
    #[derive(Copy, Default)]
    pub struct Piece {
        /// Number of events; 0 for no piece.
        events: u32,
        /// Time since the piece before, in milliseconds.
        ms: f64,
    }

    /// Bounds of a stream's pace, in milliseconds per event.
    #[derive(Copy, Default)]
    pub struct Bounds {
        /// The least time per event of events that came together.
        pub least_ms: f64,
        /// The least mean over several gaps in a row. A delay can't make a slow stream's seem
        /// short, since the events behind it come no sooner.
        pub steady_ms: f64,
        /// Whether enough gaps were recorded for a stream to show that it is quick.
        pub is_final: bool,
    }
}

impl Bounds {
    /// What the stream says about its version; `None` if it was delayed so often that its own pace
    /// is not known yet.
    #[must_use]
    pub fn outcome(self, usual_ms: f64) -> Option<Outcome> {
        match () {
            () if canary::is_slow(self.least_ms, usual_ms) => Some(Outcome::Slow),
            () if !canary::is_slow(self.steady_ms, usual_ms) => Some(Outcome::Good),
            () if self.is_final => Some(Outcome::Slow),
            () => None,
        }
    }
}

impl Pace {
    /// Records `events` that arrived together, `ms` milliseconds after the events before them.
    ///
    /// Returns what is known of the pace as soon as enough events have arrived, which is equally
    /// early for a good and for a slow stream.
    pub fn record(&mut self, events: u32, ms: f64) -> Option<Bounds> {
        if events == 0 {
            return None;
        }
        if ms < BURST_GAP_MS {
            self.last.events += events;
            self.last.ms += ms;
        } else {
            self.close_piece();
            self.last = Piece { events, ms };
        }
        self.gaps += events;
        self.bounds()
    }

    /// What is known of the pace; `None` until the stream is judged.
    #[must_use]
    pub fn bounds(&self) -> Option<Bounds> {
        if !self.is_judged() {
            return None;
        }
        let mut whole = *self;
        whole.close_piece();
        let is_final = self.gaps >= JUDGED_LAST_GAPS;
        Some(Bounds { least_ms: whole.least_ms?, steady_ms: whole.steady_ms?, is_final })
    }

    /// Least time per event so far, in milliseconds; `None` until the stream is judged. A delay
    /// shorter than the stream doesn't lengthen it.
    #[must_use]
    pub fn best_ms(&self) -> Option<f64> {
        self.bounds().map(|bounds| bounds.least_ms)
    }

    /// Whether enough gaps were recorded to judge the stream.
    #[must_use]
    pub fn is_judged(&self) -> bool {
        self.gaps >= JUDGED_GAPS
    }

    /// Takes the last piece into the bounds.
    fn close_piece(&mut self) {
        let Piece { events, ms } = self.last;
        // Events that came with the first one were sent before it arrived: their gap is not known.
        // If there are many, the engine is that quick.
        let is_first = self.least_ms.is_none() && ms < BURST_GAP_MS * f64::from(events);
        match () {
            () if events == 0 => return,
            () if is_first && events < JUDGED_GAPS => self.gaps = 0,
            () => self.take_piece(),
        }
        self.last = Piece::default();
    }

    fn take_piece(&mut self) {
        let least = |known: Option<f64>, ms: f64| Some(known.map_or(ms, |known| known.min(ms)));
        let last = self.last;
        self.least_ms = least(self.least_ms, last.ms / f64::from(last.events));
        let (mut events, mut ms) = (0, 0.0);
        for piece in [last, self.before[0], self.before[1]] {
            (events, ms) = (events + piece.events, ms + piece.ms);
            if events >= STEADY_GAPS {
                self.steady_ms = least(self.steady_ms, ms / f64::from(events));
                break;
            }
        }
        self.before = [last, self.before[0]];
    }
}
