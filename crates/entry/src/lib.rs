//! The data plane: callers in, backend servers out, a filter chain between.
//!
//! One request passes, in this order: account → task → session → version → admission → backend
//! server → key claim → dispatch → check of the answer → bill. Each step is one small module
//! under [`filter`]; [`chain`] joins them. Everything a request's decisions need is in one
//! [`snapshot::Snapshot`], made anew from each view that control sends.

pub mod answer;
pub mod bills;
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
