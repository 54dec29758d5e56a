//! Carries routed requests: finds the route by host and path, sends the request to a backend server
//! and passes its answer on unchanged.
//!
//! This crate is the second front end of the data plane. Connections, backend servers, callers'
//! connections and answers come from `entry`. A request passes through [`handle`] (route, account,
//! body), [`carry`] (choice of backend servers, repeats), [`judge`] (whether an answer is passed
//! on) and, if the answer is a stream, [`relay`]. The names that callers and backend servers use on
//! the wire are hidden behind [`codec::Codec`].

pub mod admission;
pub mod attempt;
pub mod backend;
pub mod blame;
pub mod carry;
pub mod codec;
pub mod copies;
pub mod detour;
pub mod detour_hosts;
pub mod end;
pub mod events;
pub mod evidence;
pub mod explain;
pub mod far_loads;
pub mod fetches;
pub mod fingerprint;
pub mod forward;
mod grace;
pub mod handle;
pub mod hedge;
pub mod holder;
pub mod index;
pub mod job;
pub mod judge;
pub mod limits;
pub mod moves;
pub mod open;
pub mod paces;
pub mod pick;
pub mod poison;
pub mod pool;
pub mod prefixes;
pub mod reach;
pub mod recall;
pub mod refuse;
pub mod relay;
pub mod restart;
pub mod resume;
pub mod running;
pub mod shed;
pub mod snapshot;
pub mod state;
pub mod timing;
pub mod trial;
pub mod unavailable;
pub mod volume;
pub mod wait;

pub use codec::Codec;
pub use state::State;
