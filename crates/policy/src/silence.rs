//! Whether to leave a backend server that says nothing.
//!
//! Silence has three causes that look alike: the server is unreachable, the connection has gone
//! silent, or the server is busy with others' prompts and will answer yet. Leaving a busy server
//! makes it worse, since another one must read the prompt again. What tells them apart is whether
//! the server says anything on its other connections, and, if it does not, whether it still takes
//! new ones.

use crate::domain;

/// A server that said something else, or took a connection, within this time is alive, in
/// milliseconds.
const ALIVE_MS: u64 = 800;
/// Between two looks at a server that is alive, in milliseconds.
const LOOK_MS: f64 = 100.0;

domain! {
    /// How long silence is tolerated, as parts of the longest useful wait.
    #[derive(Copy)]
    pub struct Bounds {
        /// Before a server that says nothing else either is asked whether it takes connections.
        pub unreachable: f64,
        /// Of a server that is alive; none if it is waited for to the end.
        pub alive: Option<f64>,
    }

    /// One silence.
    #[derive(Copy)]
    pub struct Silence {
        /// Since when nothing has come, in milliseconds ago.
        pub silent_ms: f64,
        /// The longest wait that leaves the answer of full use, in milliseconds.
        pub useful_ms: f64,
        /// When the server last said anything to this host, in milliseconds ago.
        pub heard_ms: u64,
    }

    /// What to do.
    #[derive(Copy)]
    pub enum Action {
        /// Look again after this time, in milliseconds.
        Wait(f64),
        /// Open a connection to the server: if it takes none, leave it.
        Probe,
        /// Another server is the better hope.
        Leave,
    }
}

/// Before the first byte of an answer, while the pool answers most requests soon.
pub const FIRST: Bounds = Bounds { unreachable: 0.35, alive: Some(2.0) };
/// The same while slow beginnings are the load's doing.
pub const FIRST_BUSY: Bounds = Bounds { unreachable: 0.35, alive: None };
/// Between two events. An engine that was short of memory may put a request back and read its
/// prompt again; that takes some seconds and ends well.
pub const BETWEEN: Bounds = Bounds { unreachable: 0.5, alive: Some(4.0) };

/// What to do about a silence.
#[must_use]
pub fn act(bounds: &Bounds, silence: &Silence) -> Action {
    let passed = |part: f64| silence.silent_ms >= part * silence.useful_ms;
    match bounds.alive {
        _ if !passed(bounds.unreachable) => {
            Action::Wait((bounds.unreachable * silence.useful_ms - silence.silent_ms).max(LOOK_MS))
        }
        Some(alive) if passed(alive) => Action::Leave,
        _ if silence.heard_ms >= ALIVE_MS => Action::Probe,
        _ => Action::Wait(LOOK_MS),
    }
}
