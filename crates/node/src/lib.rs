//! The process that runs on each host and routes requests by what the platform's store says.
//!
//! Everything that must outlast a process is in the store; a process holds only what it can read
//! again. [`watch`] follows the store's two lists, [`catalog`] builds from them the snapshot that
//! requests read, [`rollout`] carries out orders to change a service's version together with the
//! other hosts, and [`process`] starts and stops all of them. The store's protocol is behind the
//! trait [`store::Store`], the calls to engines behind [`caches::Engines`].

pub mod budget;
pub mod caches;
pub mod catalog;
pub mod counts;
pub mod directory;
pub mod error;
pub mod exchange;
pub mod far;
pub mod follow;
pub mod helpers;
pub mod history;
pub mod operators;
pub mod peers;
pub mod poison;
pub mod process;
pub mod record;
pub mod rollout;
pub mod status;
pub mod store;
pub mod watch;

pub use error::Error;
pub use process::{Listeners, run};
