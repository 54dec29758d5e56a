//! Simulates which prompts one model engine still has to read, to predict when the engine would
//! begin to read one more.
//!
//! An engine reads prompts one at a time, whichever host sent them: lowest rank first, equal ranks
//! in order of arrival, and without interrupting a prompt once begun. Each host simulates this from
//! the prompts that it sent, those that other hosts announced, and the time passed. The answers to
//! its own prompts correct the simulation. When an answer begins, the engine has read that prompt
//! and everything ahead of it. An answer that should have begun and hasn't shows that the engine is
//! reading a prompt that nobody announced.
//!
//! This matters while there are too few engines and prompts that take a second or more are mixed
//! with prompts of a few milliseconds. A request behind a long prompt is late whatever its urgency,
//! while an urgent request overtakes all that wait. A sum of the reading times sent predicts
//! neither.

use std::cmp::Ordering;

use crate::domain;
use crate::time::Millis;

/// Lateness of an answer that is ignored, in milliseconds: one step of the engine, the network
/// round trip and the start of an answer take this long together.
const GRACE_MS: f64 = 30.0;
/// Maximum predicted wait, in milliseconds. The prediction is a sum of estimates, whose errors add
/// up.
const WAIT_MAX_MS: f64 = 10_000.0;
/// Maximum number of waiting prompts kept for one engine. With more, any further request would be
/// late whatever is predicted.
const PROMPTS_MAX: usize = 256;

domain! {
    /// Scheduling data of one prompt.
    #[derive(Copy, Default)]
    pub struct Prompt {
        /// Position in the engine's reading order; 0 is read first.
        pub rank: u8,
        /// Time that the engine takes to read the prompt, in milliseconds.
        pub read_ms: f64,
    }

    /// A prompt that the engine has not begun to read.
    #[derive(Copy)]
    struct Waiting {
        /// Number that [`Backlog::add_own`] returned; 0 for a prompt announced by another host.
        number: u64,
        prompt: Prompt,
        /// Time of sending, in milliseconds.
        sent: f64,
    }

    /// The prompt that the engine reads now, according to the simulation.
    #[derive(Copy)]
    struct Current {
        waiting: Waiting,
        /// Expected end of reading, in milliseconds.
        until: f64,
    }

    /// A prompt of this host that the engine should have read, but whose answer has not begun.
    #[derive(Copy)]
    struct Due {
        number: u64,
        prompt: Prompt,
        sent: f64,
        /// Expected end of reading, in milliseconds.
        due: f64,
    }

    /// Simulated state of one engine's prompts.
    #[derive(Default)]
    pub struct Backlog {
        /// Number given to this host's latest prompt.
        next: u64,
        /// Time at which the engine has read, or will have read, every prompt that it began.
        free_at: f64,
        current: Option<Current>,
        waiting: Vec<Waiting>,
        due: Vec<Due>,
    }
}

impl Backlog {
    /// Adds a prompt that this host sent. The returned number identifies it until its answer begins
    /// or it is removed.
    pub fn add_own(&mut self, prompt: Prompt, now: Millis) -> u64 {
        self.next += 1;
        self.push(self.next, prompt, now);
        self.next
    }

    /// Adds a prompt that another host sent and announced.
    pub fn add_announced(&mut self, prompt: Prompt, now: Millis) {
        self.push(0, prompt, now);
    }

    fn push(&mut self, number: u64, prompt: Prompt, now: Millis) {
        self.advance(now);
        if self.waiting.len() < PROMPTS_MAX {
            self.waiting.push(Waiting { number, prompt, sent: as_ms(now) });
        }
        self.advance(now);
    }

    /// Records that the answer to one of this host's prompts has begun.
    pub fn record_answer_start(&mut self, number: u64, now: Millis) {
        self.advance(now);
        let now = as_ms(now);
        let due = self.due.iter().position(|due| due.number == number);
        if let Some(due) = due.map(|at| self.due.remove(at)) {
            self.discard_overtaken(due.prompt.rank, due.sent);
            if now > due.due + GRACE_MS {
                // The engine read this prompt late, so it is behind the simulation.
                self.resume_at(now);
            }
            return;
        }
        // The engine is ahead of the simulation: it has read this prompt, and with it every prompt
        // that comes before it in the reading order.
        if let Some(current) = self.current.filter(|current| current.waiting.number == number) {
            self.current = None;
            self.free_at = now;
            self.discard_overtaken(current.waiting.prompt.rank, current.waiting.sent);
        } else if let Some(at) = self.waiting.iter().position(|waiting| waiting.number == number) {
            let read = self.waiting.remove(at);
            self.current = None;
            self.free_at = now;
            self.waiting.retain(|waiting| compare_reading_order(waiting, &read).is_gt());
            self.discard_overtaken(read.prompt.rank, read.sent);
        }
    }

    /// Removes one of this host's prompts whose answer is no longer awaited.
    pub fn remove(&mut self, number: u64) {
        self.due.retain(|due| due.number != number);
        self.waiting.retain(|waiting| waiting.number != number);
        if let Some(current) = &mut self.current {
            // The engine may continue to read the prompt, but its answer is no longer awaited.
            current.waiting.number *= u64::from(current.waiting.number != number);
        }
    }

    /// Predicted time until the engine would begin to read a new prompt of this rank, in
    /// milliseconds.
    #[must_use]
    pub fn wait_ms(&mut self, rank: u8, now: Millis) -> f64 {
        self.advance(now);
        let late_ms = self.late_ms(now);
        let current_ms = self.current.map_or(0.0, |current| (current.until - as_ms(now)).max(0.0));
        let before = self.waiting.iter().filter(|waiting| waiting.prompt.rank <= rank);
        let waiting_ms: f64 = before.map(|waiting| waiting.prompt.read_ms).sum();
        (late_ms + current_ms + waiting_ms).min(WAIT_MAX_MS)
    }

    /// Lateness of this host's most overdue answer, in milliseconds; 0 if none is late. Whatever
    /// delays the answer has lasted this long and may last as long again.
    #[must_use]
    pub fn late_ms(&mut self, now: Millis) -> f64 {
        self.advance(now);
        let first = self.due.iter().map(|due| due.due).fold(f64::INFINITY, f64::min);
        (as_ms(now) - first - GRACE_MS).max(0.0)
    }

    /// Advances the simulation to the present.
    fn advance(&mut self, now: Millis) {
        let now = as_ms(now);
        loop {
            match self.current {
                Some(Current { until, .. }) if until > now => return,
                Some(Current { waiting, until }) => {
                    let Waiting { number, prompt, sent } = waiting;
                    if number > 0 {
                        self.due.push(Due { number, prompt, sent, due: until });
                    }
                    self.free_at = until;
                    self.current = None;
                }
                None => {}
            }
            if !self.start_next() {
                return;
            }
        }
    }

    /// Starts reading the next prompt; false if none waits.
    fn start_next(&mut self) -> bool {
        // A prompt sent after the engine became free can't have been chosen at that time.
        let earliest =
            self.waiting.iter().map(|waiting| waiting.sent).fold(f64::INFINITY, f64::min);
        let free_at = self.free_at.max(earliest);
        let arrived =
            self.waiting.iter().enumerate().filter(|(_, waiting)| waiting.sent <= free_at);
        let next =
            arrived.min_by(|(_, a), (_, b)| compare_reading_order(a, b)).map(|(index, _)| index);
        let Some(next) = next.map(|index| self.waiting.remove(index)) else { return false };
        self.current = Some(Current { waiting: next, until: free_at + next.prompt.read_ms });
        true
    }

    /// Corrects the simulation for an engine that became free only now, later than simulated.
    fn resume_at(&mut self, now: f64) {
        self.free_at = now;
        if let Some(current) = &mut self.current {
            current.until = now + current.waiting.prompt.read_ms;
        }
    }

    /// Discards overdue prompts that come before a prompt which the engine has read: the engine has
    /// read them too. If their answers have not begun, they were lost on the way, and their
    /// lateness says nothing about the engine.
    fn discard_overtaken(&mut self, rank: u8, sent: f64) {
        self.due.retain(|due| due.prompt.rank > rank || due.sent >= sent);
    }
}

/// Order in which an engine reads prompts: by rank, then by time of sending.
fn compare_reading_order(a: &Waiting, b: &Waiting) -> Ordering {
    a.prompt.rank.cmp(&b.prompt.rank).then(a.sent.total_cmp(&b.sent))
}

fn as_ms(at: Millis) -> f64 {
    at.0 as f64
}
