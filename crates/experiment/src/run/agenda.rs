//! What is to happen, in the order of its time; at one time in the order in which it was noted.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::request::Micros;

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A new request.
    Arrive,
    /// A request reaches its host, for the first time or again.
    Ask { request: usize },
    /// A try reaches its engine.
    Reach { request: usize, serial: u16 },
    /// A host hears of a try.
    Reply { request: usize, serial: u16, reply: Reply },
    /// An engine learns that a connection was closed.
    Close { engine: usize, id: u64 },
    /// An engine's step ends.
    Step { engine: usize, start: u32 },
    /// A request is looked at: whether its caller leaves, or its host the engine.
    Look { request: usize, look: u32 },
    /// A cause begins or ends.
    Cause { index: usize, begins: bool },
    /// Hosts take an engine off their lists, or put it there again.
    List { engine: usize, start: u32 },
}

/// What a host hears.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// No connection was taken.
    Refused,
    /// No connection opened in time.
    Silent,
    /// The engine is full and has so many requests.
    Full(u32),
    /// The answer began, and the engine has so many requests.
    Head(u32),
    /// The connection broke.
    Lost,
    /// The answer ended.
    End,
}

/// What is to happen.
#[derive(Debug, Default)]
pub struct Agenda {
    heap: BinaryHeap<Entry>,
    next: u64,
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    number: u64,
    event: Event,
}

impl Agenda {
    /// Notes what happens then.
    pub fn at(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.heap.push(Entry { at, number: self.next, event });
    }

    /// What happens next, and when.
    pub fn next(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest, for the heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}
