//! Routed requests: found by host and path, carried to a backend server, answered unchanged.
//!
//! This is the second front end of the data plane; connections, backend servers, callers'
//! connections and answers are those of `entry`. A request passes [`handle`] (route, account,
//! body), [`carry`] (which backend server, again or not), [`judge`] (what becomes of an answer)
//! and, if that is a stream, [`relay`]. What callers and backend servers call things on the wire is behind [`codec::Codec`].

pub mod attempt;
pub mod backend;
pub mod blame;
pub mod buffers;
pub mod carry;
pub mod codec;
pub mod detour;
pub mod detour_hosts;
pub mod end;
pub mod events;
pub mod evidence;
pub mod fingerprint;
pub mod forward;
pub mod handle;
pub mod index;
pub mod job;
pub mod judge;
pub mod limits;
pub mod paces;
pub mod pick;
pub mod poison;
pub mod pool;
pub mod reach;
pub mod recall;
pub mod refuse;
pub mod relay;
pub mod resume;
pub mod shed;
pub mod snapshot;
pub mod state;
pub mod timing;
pub mod unavailable;
pub mod wait;

pub use codec::Codec;
pub use state::State;
