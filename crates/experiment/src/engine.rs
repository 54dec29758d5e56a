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
pub enum Output {
    /// First token of the answer.
    FirstToken(u64),
    /// A complete server-sent event of several tokens.
    Event(u64),
    /// Last token of the answer.
    End(u64),
}

/// A request inside an engine, running or waiting.
#[derive(Clone, Copy, Debug)]
struct Sequence {
    job: Job,
    /// Arrival number; breaks ties between equal ranks.
    number: u64,
    /// Tokens of this request in the engine's memory; while the request waits, tokens that caches
    /// still hold.
    held: u32,
    /// Tokens still to be read: of the prompt and, after a preemption, of the answer so far.
    to_read: u32,
    /// Answer tokens generated so far.
    generated: u32,
    /// Whether the request generates a token in the current step.
    is_generating: bool,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Engines,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    /// Arrival number of the request whose prompt is being read.
    reading: Option<u64>,
    /// Prompt tokens read in the current step.
    chunk: u32,
    last_number: u64,
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
            last_number: 0,
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
        self.last_number += 1;
        let number = self.last_number;
        let sequence = Sequence {
            job,
            number,
            held: 0,
            to_read: job.prompt,
            generated: 0,
            is_generating: false,
        };
        self.waiting.push(sequence);
        true
    }

    /// Cancels a request, running or waiting, whose connection was closed.
    pub fn cancel(&mut self, id: u64) {
        let reads =
            |sequence: &Sequence| sequence.job.id == id && self.reading == Some(sequence.number);
        if self.running.iter().any(reads) {
            self.reading = None;
            self.chunk = 0;
        }
        self.running.retain(|sequence| sequence.job.id != id);
        self.waiting.retain(|sequence| sequence.job.id != id);
    }

    /// Stops the engine and returns the ids of the requests lost with it.
    pub fn stop(&mut self) -> Vec<u64> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|sequence| sequence.job.id).collect();
        self.reading = None;
        lost
    }

    /// Begins a step and returns its duration in milliseconds, or `None` if no request is running.
    pub fn begin_step(&mut self) -> Option<f64> {
        self.admit();
        self.free_memory();
        let mut steps = 0;
        for sequence in &mut self.running {
            sequence.is_generating = sequence.to_read == 0;
            steps += u32::from(sequence.is_generating);
        }
        let next = self.running.iter().filter(|sequence| sequence.to_read > 0);
        let next = next
            .min_by_key(|sequence| (sequence.job.rank, sequence.number))
            .map(|sequence| sequence.number);
        self.reading = self.reading.or(next);
        let read = self.running.iter().find(|sequence| Some(sequence.number) == self.reading);
        self.chunk = read.map_or(0, |sequence| sequence.to_read.min(self.settings.chunk_tokens));
        let step_ms = match steps {
            0 => 0.0,
            _ => self.settings.step_ms + self.settings.step_ms_per_run * f64::from(steps),
        };
        let read_ms = f64::from(self.chunk) / self.settings.read_tokens_per_ms;
        (!self.running.is_empty()).then_some(self.slowness * (step_ms + read_ms))
    }

    /// Ends the current step and appends its output to `outputs`.
    pub fn end_step(&mut self, outputs: &mut Vec<Output>) {
        for sequence in &mut self.running {
            if self.reading == Some(sequence.number) {
                sequence.held += self.chunk;
                sequence.to_read -= self.chunk;
                if sequence.to_read > 0 {
                    continue;
                }
                self.reading = None;
                self.chunk = 0;
            } else if !sequence.is_generating {
                continue;
            }
            sequence.held += 1;
            sequence.generated += 1;
            push_outputs(sequence, self.settings.event_tokens, outputs);
        }
        self.running.retain(|sequence| sequence.generated < sequence.job.answer);
    }

    fn used_tokens(&self) -> u32 {
        self.running.iter().map(|sequence| sequence.held + sequence.to_read).sum()
    }

    /// Starts waiting requests, lowest rank first; preempts running requests of a higher rank value
    /// if the engine allows preemption.
    fn admit(&mut self) {
        loop {
            let first = self.waiting.iter().enumerate();
            let first = first.min_by_key(|(_, sequence)| (sequence.job.rank, sequence.number));
            let Some((index, &sequence)) = first else { return };
            let has_slot = (self.running.len() as u32) < self.settings.slots;
            let has_memory = self.used_tokens() + sequence.held + sequence.to_read
                <= self.settings.memory_tokens;
            match () {
                () if has_slot && has_memory => self.running.push(self.waiting.remove(index)),
                () if self.settings.preempts && self.preempt(Some(sequence.job.rank)) => {}
                () => return,
            }
        }
    }

    /// Preempts requests until the tokens of the next step fit into memory.
    fn free_memory(&mut self) {
        while self.used_tokens() + self.running.len() as u32 > self.settings.memory_tokens {
            if self.running.len() < 2 || !self.preempt(None) {
                return;
            }
        }
    }

    /// Preempts the newest request of the highest rank value. With `by`, does so only if that value
    /// is higher than `by`. Returns whether a request was preempted.
    fn preempt(&mut self, by: Option<u8>) -> bool {
        let others = self.running.iter().enumerate();
        let others = others.filter(|(_, sequence)| self.reading != Some(sequence.number));
        let last = others.max_by_key(|(_, sequence)| (sequence.job.rank, sequence.number));
        let Some((index, sequence)) = last else { return false };
        if by.is_some_and(|rank| sequence.job.rank <= rank) {
            return false;
        }
        let sequence = self.running.remove(index);
        self.preempted += 1;
        let held = (f64::from(sequence.held) * self.settings.kept) as u32;
        let to_read = sequence.to_read + sequence.held - held;
        self.waiting.push(Sequence { held, to_read, is_generating: false, ..sequence });
        true
    }
}

/// Appends the output that follows from one more generated token.
fn push_outputs(sequence: &Sequence, event_tokens: u32, outputs: &mut Vec<Output>) {
    let id = sequence.job.id;
    if sequence.generated == 1 {
        outputs.push(Output::FirstToken(id));
    }
    if sequence.generated.is_multiple_of(event_tokens) || sequence.generated == sequence.job.answer
    {
        outputs.push(Output::Event(id));
    }
    if sequence.generated == sequence.job.answer {
        outputs.push(Output::End(id));
    }
}
