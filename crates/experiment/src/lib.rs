//! A fleet under overload in simulated time, and ways to decide compared on it.
//!
//! Engines, callers and the network are models; what a host decides is decided by the functions of
//! `policy` that the router itself calls. A run depends on its scenario, way and seed alone.

pub mod engine;
pub mod host;
pub mod plot;
pub mod report;
pub mod request;
pub mod run;
pub mod scenario;
pub mod tally;
pub mod way;
