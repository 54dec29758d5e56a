//! Decides when to stop waiting for a silent backend server and use another one.
//!
//! Three causes of silence look alike: the server is unreachable, the connection is broken, or the
//! server is busy with other prompts and will still answer. Leaving a busy server adds load, since
//! another server must read the prompt again. The causes differ in whether the server sends
//! anything on its other connections and, if it doesn't, in whether it accepts new connections.

use crate::domain;

/// Time for which a server counts as alive after it sent anything or accepted a connection, in
/// milliseconds.
const ALIVE_MS: u64 = 800;
/// The same where leaving the server costs nothing. Together with the probe, which takes up to 200
/// ms, [`ALIVE_MS`] exceeds the pause of a second that most callers allow.
const ALIVE_WITH_COPY_MS: u64 = 400;
/// Interval between two checks of a silent server that is alive, in milliseconds; also the minimum
/// time until the next check of any silent server.
const CHECK_MS: f64 = 100.0;

domain! {
    /// Limits on silence, as multiples of [`Silence::useful_ms`].
    #[derive(Copy)]
    pub struct Bounds {
        /// Silence after which a server that isn't known to be alive is probed with a new
        /// connection.
        pub unreachable: f64,
        /// Silence after which even a server that is alive is left; `None` if it never is.
        pub alive: Option<f64>,
        /// Time for which a server counts as alive after it sent anything or accepted a connection,
        /// in milliseconds.
        pub alive_ms: u64,
    }

    /// Silence of a backend server on one request.
    #[derive(Copy)]
    pub struct Silence {
        /// Time since anything arrived for the request, in milliseconds.
        pub silent_ms: f64,
        /// Longest wait that doesn't make the answer late, in milliseconds.
        pub useful_ms: f64,
        /// Time since the server last sent anything to this host, in milliseconds.
        pub heard_ms: u64,
    }

    /// Outcome of [`decide`].
    #[derive(Copy)]
    pub enum Action {
        /// Keep waiting and check again after this time, in milliseconds.
        Wait(f64),
        /// Open a connection to the server, and leave the server if it accepts none.
        Probe,
        /// Stop waiting and use another server.
        Leave,
    }
}

/// Limits before the first byte of an answer, while the pool begins most answers soon.
pub const FIRST_BYTE: Bounds = Bounds { unreachable: 0.35, alive: Some(2.0), alive_ms: ALIVE_MS };
/// Limits before the first byte of an answer, while load makes answers begin late. A server that is
/// alive is never left then.
pub const FIRST_BYTE_BUSY: Bounds = Bounds { unreachable: 0.35, alive: None, alive_ms: ALIVE_MS };
/// Limits before the first byte of an answer whose engine first fetches from another one, by what
/// is known of that other one. They hold under load as well: an engine may wait for a source that
/// accepts connections and sends nothing, and then never begins.
pub const FETCH_SOURCE: Bounds = FIRST_BYTE;
/// Limits between two events of a stream. An engine short of memory may preempt a request and read
/// its prompt again, which takes some seconds, after which the stream continues.
pub const BETWEEN_EVENTS: Bounds =
    Bounds { unreachable: 0.5, alive: Some(4.0), alive_ms: ALIVE_MS };
/// Limits between two events of a stream that can continue from a copy of its KV cache, which no
/// engine has to read again.
pub const BETWEEN_EVENTS_WITH_COPY: Bounds =
    Bounds { alive_ms: ALIVE_WITH_COPY_MS, ..BETWEEN_EVENTS };

/// Decides what to do about a silent server.
#[must_use]
pub fn decide(bounds: &Bounds, silence: &Silence) -> Action {
    let has_passed = |limit: f64| silence.silent_ms >= limit * silence.useful_ms;
    match bounds.alive {
        _ if !has_passed(bounds.unreachable) => {
            Action::Wait((bounds.unreachable * silence.useful_ms - silence.silent_ms).max(CHECK_MS))
        }
        Some(alive) if has_passed(alive) => Action::Leave,
        _ if silence.heard_ms >= bounds.alive_ms => Action::Probe,
        _ => Action::Wait(CHECK_MS),
    }
}
