//! What was injected in a run, and its effects on processes and tables.

use std::net::SocketAddr;
use std::time::Instant;

use crate::scenario::Scenario;

/// The evacuation of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    pub domain: &'static str,
    /// When the evacuation was ordered.
    pub at: Instant,
    /// When the order was withdrawn.
    pub ended_at: Instant,
}

/// The restart of a backend server that has to warm up.
#[derive(Clone, Debug)]
pub struct ColdStart {
    pub number: usize,
    /// The server's id after the restart. Requests meant for the id before don't count.
    pub id: String,
    pub at: Instant,
}

/// The time during which a backend server was leaving.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    pub number: usize,
    /// When the server began to leave.
    pub at: Instant,
    /// When the server was restarted under another id.
    pub ended_at: Instant,
}

/// Faults that were injected in a run, and their effects on processes and tables.
#[derive(Debug)]
pub struct History {
    pub scenario: Scenario,
    pub steps: Vec<String>,
    /// Departures that the store's list of backend servers announced.
    pub listed_departures: Vec<Departure>,
    /// Departures that only the servers themselves announced, in their answers.
    pub announced_departures: Vec<Departure>,
    pub evacuations: Vec<Evacuation>,
    pub cold_starts: Vec<ColdStart>,
    /// When nodes were restarted, with their callers' addresses.
    pub node_restarts: Vec<(SocketAddr, Instant)>,
    /// Nodes that did not exit in time after SIGTERM.
    pub stuck_nodes: Vec<usize>,
    /// Routing tables that were not in force on all nodes in time.
    pub late_tables: Vec<String>,
    /// Nodes that held more memory for requests than they may.
    pub excess_memory: Vec<String>,
    /// Streams with copies that were not whole and in order.
    pub wrong_streams: Vec<String>,
}
