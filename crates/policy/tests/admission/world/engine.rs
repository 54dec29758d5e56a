//! Engines that admit by urgency and read prompts in chunks between the tokens of running streams.

use std::collections::BTreeMap;

use policy::report::Report;

use super::case::ENGINES;
use super::server::{Request, Stage};

/// Most prompt tokens that are read in one step, and tokens read in a millisecond.
const CHUNK: f64 = 1_024.0;
const TOKENS_PER_MS: f64 = 56.6;
/// Time of a step, and what each running stream adds, in milliseconds.
const STEP_MS: f64 = 8.0;
const STREAM_MS: f64 = 0.25;
/// Prompt tokens to read, and tokens to make, of usual and of long requests.
const PROMPT: [f64; 2] = [826.0, 4_000.0];
const ANSWER: [u32; 2] = [288, 384];

pub struct Stream {
    request: Request,
    unread: f64,
    unsent: u32,
}

#[derive(Default)]
pub struct Engine {
    pub running: Vec<Stream>,
    /// By urgency, then in the order of arrival.
    waiting: BTreeMap<(u8, u64), Request>,
    arrivals: u64,
    /// End of the step under way.
    step_end: f64,
}

impl Engine {
    pub fn report(&self) -> Report {
        let requests = (self.running.len() + self.waiting.len()) as u32;
        Report { requests, slots: ENGINES.slots, percent: 100 }
    }

    pub fn accepts(&mut self, request: Request) -> bool {
        self.arrivals += 1;
        self.waiting.insert((request.priority, self.arrivals), request);
        true
    }

    /// Ends the step under way, if its time has come, and begins the next one.
    pub fn work(&mut self, now: u64) -> Vec<(Stage, Request)> {
        let is_left = |_: &(u8, u64), request: &mut Request| request.deadline <= now;
        let left = self.waiting.extract_if(.., is_left).map(|(_, request)| (Stage::Left, request));
        let mut told: Vec<_> = left.collect();
        if self.step_end > now as f64 {
            return told;
        }
        for stream in self.running.iter_mut().filter(|stream| stream.unread <= 0.0) {
            if stream.unsent == ANSWER[usize::from(stream.request.is_long)] {
                told.push((Stage::Begun, stream.request));
            }
            stream.unsent -= 1;
        }
        let ended = self.running.extract_if(.., |stream| stream.unsent == 0);
        told.extend(ended.map(|stream| (Stage::Ended, stream.request)));
        while self.running.len() < ENGINES.slots as usize {
            let Some((_, request)) = self.waiting.pop_first() else { break };
            let kind = usize::from(request.is_long);
            self.running.push(Stream { request, unread: PROMPT[kind], unsent: ANSWER[kind] });
        }
        let streams = self.running.iter().filter(|stream| stream.unread <= 0.0).count();
        let mut unread: Vec<&mut Stream> =
            self.running.iter_mut().filter(|stream| stream.unread > 0.0).collect();
        unread.sort_by_key(|stream| stream.request.priority);
        let mut chunk = CHUNK;
        for stream in unread {
            let read = chunk.min(stream.unread);
            stream.unread -= read;
            chunk -= read;
        }
        let ms = STEP_MS + STREAM_MS * streams as f64 + (CHUNK - chunk) / TOKENS_PER_MS;
        let is_idle = self.running.is_empty();
        self.step_end = if is_idle { now as f64 } else { self.step_end.max(now as f64 - 1.0) + ms };
        told
    }
}
