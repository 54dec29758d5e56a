//! Model of an inference engine: generates tokens in batched steps, reads prompts in chunks between
//! the steps, and queues what exceeds its slots.
//!
//! Requests of equal rank run in order of arrival. A prompt is never interrupted while it is being
//! read. A preempted request releases its memory; when it runs again, it reads its prompt and the
//! tokens generated so far once more, except for the share that caches still hold.

use crate::scenario::Engines;

/// A request as an engine receives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Identifies the attempt.
    pub id: u64,
    /// Scheduling rank; 0 runs first.
    pub rank: u8,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Answer length in tokens.
    pub answer: u32,
}

/// Output of an engine at the end of a step; each carries the id of its [`Job`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// First token of the answer.
    Head(u64),
    /// A complete server-sent event of several tokens.
    Event(u64),
    /// Last token of the answer.
    End(u64),
}

/// A request inside an engine, running or waiting.
#[derive(Clone, Copy, Debug)]
struct Run {
    job: Job,
    /// Arrival number; breaks ties between equal ranks.
    number: u64,
    /// Tokens of this request in the engine's memory; while the request waits, tokens that caches
    /// still hold.
    held: u32,
    /// Tokens still to be read: of the prompt and, after a preemption, of the answer so far.
    to_read: u32,
    /// Answer tokens generated so far.
    made: u32,
    /// Whether the request generates a token in the current step.
    steps: bool,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Engines,
    running: Vec<Run>,
    waiting: Vec<Run>,
    /// Arrival number of the request whose prompt is being read.
    reading: Option<u64>,
    /// Prompt tokens read in the current step.
    chunk: u32,
    next: u64,
    /// Factor on the duration of every step; 1 is normal speed.
    pub slowness: f64,
    /// Number of preemptions so far.
    pub preempted: u64,
}

impl Engine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(settings: &Engines) -> Self {
        Self {
            settings: settings.clone(),
            running: Vec::new(),
            waiting: Vec::new(),
            reading: None,
            chunk: 0,
            next: 0,
            slowness: 1.0,
            preempted: 0,
        }
    }

    /// Number of requests running and waiting.
    #[must_use]
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Accepts a request; returns false if slots and queue are full, or if prompt and answer exceed
    /// the whole memory.
    pub fn offer(&mut self, job: Job) -> bool {
        let is_full = self.load() >= self.settings.slots + self.settings.queue;
        let is_too_large = job.prompt + job.answer > self.settings.memory_tokens;
        if is_full || is_too_large {
            return false;
        }
        self.next += 1;
        let number = self.next;
        let run = Run { job, number, held: 0, to_read: job.prompt, made: 0, steps: false };
        self.waiting.push(run);
        true
    }

    /// Cancels a request, running or waiting, whose connection was closed.
    pub fn drop(&mut self, id: u64) {
        let reads = |run: &Run| run.job.id == id && self.reading == Some(run.number);
        if self.running.iter().any(reads) {
            self.reading = None;
            self.chunk = 0;
        }
        self.running.retain(|run| run.job.id != id);
        self.waiting.retain(|run| run.job.id != id);
    }

    /// Stops the engine and returns the ids of the requests lost with it.
    pub fn end(&mut self) -> Vec<u64> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|run| run.job.id).collect();
        self.reading = None;
        lost
    }

    /// Begins a step and returns its duration in milliseconds, or `None` if no request is running.
    pub fn begin(&mut self) -> Option<f64> {
        self.admit();
        self.free_memory();
        let mut steps = 0;
        for run in &mut self.running {
            run.steps = run.to_read == 0;
            steps += u32::from(run.steps);
        }
        let next = self.running.iter().filter(|run| run.to_read > 0);
        let next = next.min_by_key(|run| (run.job.rank, run.number)).map(|run| run.number);
        self.reading = self.reading.or(next);
        let read = self.running.iter().find(|run| Some(run.number) == self.reading);
        self.chunk = read.map_or(0, |run| run.to_read.min(self.settings.chunk_tokens));
        let step_ms = match steps {
            0 => 0.0,
            _ => self.settings.step_ms + self.settings.step_ms_per_run * f64::from(steps),
        };
        let read_ms = f64::from(self.chunk) / self.settings.read_tokens_per_ms;
        (!self.running.is_empty()).then_some(self.slowness * (step_ms + read_ms))
    }

    /// Ends the current step and appends its output to `signs`.
    pub fn finish(&mut self, signs: &mut Vec<Sign>) {
        for run in &mut self.running {
            if self.reading == Some(run.number) {
                run.held += self.chunk;
                run.to_read -= self.chunk;
                if run.to_read > 0 {
                    continue;
                }
                self.reading = None;
                self.chunk = 0;
            } else if !run.steps {
                continue;
            }
            run.held += 1;
            run.made += 1;
            tell(run, self.settings.event_tokens, signs);
        }
        self.running.retain(|run| run.made < run.job.answer);
    }

    fn used(&self) -> u32 {
        self.running.iter().map(|run| run.held + run.to_read).sum()
    }

    /// Starts waiting requests, lowest rank first; preempts running requests of a higher rank value
    /// if the engine allows preemption.
    fn admit(&mut self) {
        loop {
            let first = self.waiting.iter().enumerate();
            let first = first.min_by_key(|(_, run)| (run.job.rank, run.number));
            let Some((index, &run)) = first else { return };
            let has_slot = (self.running.len() as u32) < self.settings.slots;
            let has_memory = self.used() + run.held + run.to_read <= self.settings.memory_tokens;
            match () {
                () if has_slot && has_memory => self.running.push(self.waiting.remove(index)),
                () if self.settings.preempts && self.preempt(Some(run.job.rank)) => {}
                () => return,
            }
        }
    }

    /// Preempts requests until the tokens of the next step fit into memory.
    fn free_memory(&mut self) {
        while self.used() + self.running.len() as u32 > self.settings.memory_tokens {
            if self.running.len() < 2 || !self.preempt(None) {
                return;
            }
        }
    }

    /// Preempts the newest request of the highest rank value. With `by`, does so only if that value
    /// is higher than `by`. Returns whether a request was preempted.
    fn preempt(&mut self, by: Option<u8>) -> bool {
        let others = self.running.iter().enumerate();
        let others = others.filter(|(_, run)| self.reading != Some(run.number));
        let last = others.max_by_key(|(_, run)| (run.job.rank, run.number));
        let Some((index, run)) = last else { return false };
        if by.is_some_and(|rank| run.job.rank <= rank) {
            return false;
        }
        let run = self.running.remove(index);
        self.preempted += 1;
        let held = (f64::from(run.held) * self.settings.kept) as u32;
        let to_read = run.to_read + run.held - held;
        self.waiting.push(Run { held, to_read, steps: false, ..run });
        true
    }
}

/// Appends the output that follows from one more generated token.
fn tell(run: &Run, event_tokens: u32, signs: &mut Vec<Sign>) {
    let id = run.job.id;
    if run.made == 1 {
        signs.push(Sign::Head(id));
    }
    if run.made.is_multiple_of(event_tokens) || run.made == run.job.answer {
        signs.push(Sign::Event(id));
    }
    if run.made == run.job.answer {
        signs.push(Sign::End(id));
    }
}
