//! What an engine has still to read, and when it would begin to read one more prompt.
//!
//! An engine reads prompts one after another, whoever sent them: the most urgent first, of equal
//! ones the one that came first, and it never breaks off one that it has begun. Each host works
//! out from what it sent, from what others announced and from the time since which prompt the
//! engine should be at. Its own answers set that right: a prompt whose answer has begun is read, and so is
//! all that had to be read before; one whose answer should have begun and has not waits for a prompt
//! that nobody announced.
//!
//! The load this answers: prompts of a second and more among others of some milliseconds, while
//! engines are missing. A request that waits behind such a prompt is late whatever its urgency, and
//! one that is urgent passes all others. Adding up what was sent foresees neither.

use std::cmp::Ordering;

use crate::domain;
use crate::time::Millis;

/// Lateness that says nothing, in milliseconds: an engine's step, the way there and back, and the
/// beginning of an answer take as long together.
const GRACE_MS: f64 = 30.0;
/// Longest time that is believed, in milliseconds: estimates add up, and so do their errors.
const MOST_MS: f64 = 10_000.0;
/// Prompts kept of one engine at most. More would be late whatever is believed.
const PROMPTS_MAX: usize = 256;

domain! {
    /// A prompt as an engine sees it.
    #[derive(Copy, Default)]
    pub struct Prompt {
        /// Its place among those that wait: 0 is read first.
        pub rank: u8,
        /// How long it takes to read, in milliseconds.
        pub read_ms: f64,
    }

    /// A prompt that was sent and that the engine has not come to.
    #[derive(Copy)]
    struct Waiting {
        /// Names one of this host's own; 0 for one announced by another host.
        number: u64,
        prompt: Prompt,
        sent: f64,
    }

    /// The prompt that the engine should be reading.
    #[derive(Copy)]
    struct Current {
        waiting: Waiting,
        until: f64,
    }

    /// A prompt of this host's that should have been read and whose answer has not begun.
    #[derive(Copy)]
    struct Due {
        number: u64,
        prompt: Prompt,
        sent: f64,
        due: f64,
    }

    /// Prompts at one engine.
    #[derive(Default)]
    pub struct Backlog {
        next: u64,
        /// When the engine was, or will be, done with all that it has begun.
        free_at: f64,
        current: Option<Current>,
        waiting: Vec<Waiting>,
        due: Vec<Due>,
    }
}

impl Backlog {
    /// A prompt of this host's was sent. The number names it until its answer begins.
    pub fn sent(&mut self, prompt: Prompt, now: Millis) -> u64 {
        self.next += 1;
        self.push(self.next, prompt, now);
        self.next
    }

    /// Another host has sent a prompt.
    pub fn announced(&mut self, prompt: Prompt, now: Millis) {
        self.push(0, prompt, now);
    }

    fn push(&mut self, number: u64, prompt: Prompt, now: Millis) {
        self.advance(now);
        if self.waiting.len() < PROMPTS_MAX {
            self.waiting.push(Waiting { number, prompt, sent: ms(now) });
        }
        self.advance(now);
    }

    /// The answer to one of this host's prompts has begun.
    pub fn began(&mut self, number: u64, now: Millis) {
        self.advance(now);
        let now = ms(now);
        let due = self.due.iter().position(|due| due.number == number);
        if let Some(due) = due.map(|at| self.due.remove(at)) {
            self.overtook(due.prompt.rank, due.sent);
            if now > due.due + GRACE_MS {
                // The engine came to it late, so it is not as far as was worked out.
                self.resume_at(now);
            }
            return;
        }
        // The engine is further than was worked out: it has read this one, and with it all that
        // goes before.
        if let Some(current) = self.current.filter(|current| current.waiting.number == number) {
            self.current = None;
            self.free_at = now;
            self.overtook(current.waiting.prompt.rank, current.waiting.sent);
        } else if let Some(at) = self.waiting.iter().position(|one| one.number == number) {
            let read = self.waiting.remove(at);
            self.current = None;
            self.free_at = now;
            self.waiting.retain(|one| compare(one, &read).is_gt());
            self.overtook(read.prompt.rank, read.sent);
        }
    }

    /// One of this host's prompts is no longer waited for.
    pub fn dropped(&mut self, number: u64) {
        self.due.retain(|due| due.number != number);
        self.waiting.retain(|one| one.number != number);
        if let Some(current) = &mut self.current {
            // The engine may go on reading it; its answer is awaited no more.
            current.waiting.number *= u64::from(current.waiting.number != number);
        }
    }

    /// How long until the engine would begin to read one more prompt of a rank, in milliseconds.
    #[must_use]
    pub fn wait_ms(&mut self, rank: u8, now: Millis) -> f64 {
        self.advance(now);
        let late_ms = self.late_ms(now);
        let current_ms = self.current.map_or(0.0, |current| (current.until - ms(now)).max(0.0));
        let before = self.waiting.iter().filter(|one| one.prompt.rank <= rank);
        let waiting_ms: f64 = before.map(|one| one.prompt.read_ms).sum();
        (late_ms + current_ms + waiting_ms).min(MOST_MS)
    }

    /// By how much this host's answers are late, in milliseconds. Whatever they wait for, it has
    /// been going on for so long and may go on for as long again.
    #[must_use]
    pub fn late_ms(&mut self, now: Millis) -> f64 {
        self.advance(now);
        let first = self.due.iter().map(|due| due.due).fold(f64::INFINITY, f64::min);
        (ms(now) - first - GRACE_MS).max(0.0)
    }

    /// Works out how far the engine is.
    fn advance(&mut self, now: Millis) {
        let now = ms(now);
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
            if !self.begin() {
                return;
            }
        }
    }

    /// Begins the next prompt; false if none waits.
    fn begin(&mut self) -> bool {
        // What had not been sent when the engine became free could not be chosen then.
        let earliest = self.waiting.iter().map(|one| one.sent).fold(f64::INFINITY, f64::min);
        let free_at = self.free_at.max(earliest);
        let there = self.waiting.iter().enumerate().filter(|(_, one)| one.sent <= free_at);
        let next = there.min_by(|(_, a), (_, b)| compare(a, b)).map(|(index, _)| index);
        let Some(next) = next.map(|index| self.waiting.remove(index)) else { return false };
        self.current = Some(Current { waiting: next, until: free_at + next.prompt.read_ms });
        true
    }

    /// The engine has just become free, later than was worked out.
    fn resume_at(&mut self, now: f64) {
        self.free_at = now;
        if let Some(current) = &mut self.current {
            current.until = now + current.waiting.prompt.read_ms;
        }
    }

    /// A prompt was read that goes behind others: those are read as well. If their answers have
    /// not begun, they are lost on the way, and say nothing of the engine any more.
    fn overtook(&mut self, rank: u8, sent: f64) {
        self.due.retain(|due| due.prompt.rank > rank || due.sent >= sent);
    }
}

/// The order in which an engine reads.
fn compare(a: &Waiting, b: &Waiting) -> Ordering {
    a.prompt.rank.cmp(&b.prompt.rank).then(a.sent.total_cmp(&b.sent))
}

fn ms(at: Millis) -> f64 {
    at.0 as f64
}
