//! An engine: a batch that runs in steps, prompts read in chunks between them, a queue.
//!
//! Of equally urgent requests the one that came first goes first. A prompt that is being read is
//! not broken off. A request that is preempted gives its memory back, and reads its prompt and what
//! it has generated once more, but for what caches still hold.

use crate::scenario::Engines;

/// A request as an engine gets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Names the try.
    pub id: u64,
    /// Its place: 0 goes first.
    pub rank: u8,
    /// Tokens to read.
    pub prompt: u32,
    /// Tokens to generate.
    pub answer: u32,
}

/// What an engine says at the end of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// The first token of a try.
    Head(u64),
    /// A whole event.
    Event(u64),
    /// The last token.
    End(u64),
}

/// A request in an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    job: Job,
    /// The order in which requests came.
    number: u64,
    /// Tokens that it holds in memory; while it waits, that caches hold for it.
    held: u32,
    /// Tokens still to be read.
    to_read: u32,
    /// Tokens generated.
    made: u32,
    /// It generates in the step under way.
    steps: bool,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Engines,
    running: Vec<Run>,
    waiting: Vec<Run>,
    /// The number of the request whose prompt is being read.
    reading: Option<u64>,
    /// Tokens that the step under way reads.
    chunk: u32,
    next: u64,
    /// How many times slower it is than usual.
    pub slowness: f64,
    /// Requests preempted so far.
    pub preempted: u64,
}

impl Engine {
    /// One without requests.
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

    /// Requests in it.
    #[must_use]
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Takes a request; false if it is full.
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

    /// A request is no longer waited for.
    pub fn drop(&mut self, id: u64) {
        let reads = |run: &Run| run.job.id == id && self.reading == Some(run.number);
        if self.running.iter().any(reads) {
            self.reading = None;
            self.chunk = 0;
        }
        self.running.retain(|run| run.job.id != id);
        self.waiting.retain(|run| run.job.id != id);
    }

    /// It ends; the requests that were in it.
    pub fn end(&mut self) -> Vec<u64> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|run| run.job.id).collect();
        self.reading = None;
        lost
    }

    /// Begins a step; how long it takes, in milliseconds, or none if there is nothing to do.
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

    /// Ends the step under way, and tells what came of it.
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

    /// Lets requests in, the most urgent first, also in place of less urgent ones.
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

    /// Preempts while what the next step generates finds no room.
    fn free_memory(&mut self) {
        while self.used() + self.running.len() as u32 > self.settings.memory_tokens {
            if self.running.len() < 2 || !self.preempt(None) {
                return;
            }
        }
    }

    /// Preempts the newest of the least urgent; if a rank is given, only for one of that rank.
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

/// What a run says after a token more.
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
