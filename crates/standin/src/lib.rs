//! Small stand-ins for the processes around the system: platform, model engine, rater, plain
//! service, and a proxy that injects network faults. For tests and the demo only.
//!
//! The platform, engine, rater and plain service are each started with `start(listen, settings)`.
//! They record what they did and can be given faults, both in memory and over HTTP
//! (`GET /records`, `PUT /faults`).

pub mod answer;
pub mod audit;
pub mod backend;
pub mod client;
pub mod deployment;
pub mod draw;
pub mod engine;
pub mod fault;
pub mod passthrough;
pub mod platform;
mod port;
pub mod proxy;
pub mod rater;
pub mod reply;
pub mod routed;
pub mod run;
pub mod server;
pub mod service;
