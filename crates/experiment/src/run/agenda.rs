//! Queue of future events, ordered by time; events of equal time keep the order in which they were
//! added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::request::Micros;

/// An event in the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A caller sends a new request.
    Arrive,
    /// A request reaches its host, for the first time or after the caller came back.
    ReachHost { request: usize },
    /// An attempt reaches its engine.
    ReachEngine { request: usize, serial: u16 },
    /// A host receives the reply to an attempt.
    Reply { request: usize, serial: u16, reply: Reply },
    /// An engine detects that a connection was closed.
    Close { engine: usize, id: u64 },
    /// A step of an engine ends.
    Step { engine: usize, epoch: u32 },
    /// A request without news is checked: its caller may leave, or its host may abandon the engine.
    Check { request: usize, check: u32 },
    /// A cause of the scenario begins or ends.
    Cause { index: usize, begins: bool },
    /// Hosts remove an engine from their lists, or list it again.
    UpdateLists { engine: usize, epoch: u32 },
}

/// Reply that a host receives for an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// The connection was refused.
    Refused,
    /// The connection attempt timed out.
    Timeout,
    /// The engine is full; holds its number of requests.
    Full(u32),
    /// The answer began; holds the engine's number of requests.
    AnswerStart(u32),
    /// The connection broke before the answer's end.
    Lost,
    /// The answer is complete.
    End,
}

/// Events that have not happened yet.
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
    /// Schedules an event at a time.
    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.heap.push(Entry { at, number: self.next, event });
    }

    /// Removes and returns the next event and its time.
    pub fn next(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl Ord for Entry {
    /// Reverses the order, since [`BinaryHeap`] returns the greatest entry and the earliest is
    /// needed.
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
