//! Simulates a fleet under overload and compares strategies of deciding.
//!
//! Engines, callers and the network are models. Hosts decide with the `policy` functions that the
//! router itself calls. The result depends only on scenario, strategy and seed.

pub mod engine;
pub mod host;
pub mod plot;
pub mod report;
pub mod request;
pub mod run;
pub mod scenario;
pub mod tally;
pub mod way;
