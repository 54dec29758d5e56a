//! The data plane: passes the requests of callers through a chain of filters to backend servers.
//!
//! A request passes these steps in order: account → task → session → version → admission → backend
//! server → key claim → dispatch → check of the answer → bill. Each step is a module under
//! [`filter`]; [`chain`] calls them. Decisions about a request read one immutable
//! [`snapshot::Snapshot`], which is rebuilt from each view that a control sends.

pub mod answer;
pub mod beginning;
pub mod bills;
pub mod body;
pub mod call;
pub mod callers;
pub mod carry;
pub mod chain;
pub mod chat;
pub mod clock;
pub mod connection;
pub mod controls;
pub mod dispatch;
pub mod ending;
pub mod error;
pub mod feed;
pub mod filter;
pub mod job;
pub mod loads;
pub mod operators;
pub mod pins;
pub mod process;
pub mod progress;
pub mod rating;
pub mod refuse;
pub mod relay;
pub mod reply;
pub mod reports;
pub mod respond;
pub mod server;
pub mod service;
pub mod sharded;
pub mod snapshot;
pub mod sse;
pub mod state;

pub use error::Error;
pub use process::{Listeners, run};
