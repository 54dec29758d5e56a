//! Moves running streams off engines that leave.
//!
//! While the stream runs on, its KV cache is copied to another engine. A second, short copy stops
//! the run and adds what has come since. The relay then closes the connection to the source and
//! resumes the stream at the target, which continues from the copy. `policy::streams::relocate`
//! decides when and where to. A move that fails leaves the stream where it is, or has it resumed
//! like a stream that broke off.

mod call;
mod relocation;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use policy::streams::relocate;
use tokio::sync::mpsc;

use self::call::CALL_QUEUE_MAX;
pub use self::call::{Call, Copied, Engines, Trouble, serve};
pub use self::relocation::{Course, Outcome, Relocation, Stopped};
use crate::backend::Backend;

/// How long an engine's answer is remembered. One that still leaves after that is asked again.
const DEPARTURE_KEPT: Duration = Duration::from_secs(600);

/// What an engine that leaves has said of its end.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// The engine has been asked, and has not answered.
    Asked,
    /// The engine ends at this time; `None` if it did not say so.
    Ends(Option<Instant>),
}

/// The moves of a host's streams.
pub struct Moves {
    calls: mpsc::Sender<Call>,
    in_progress: Mutex<relocate::Moves>,
    /// Engines that leave, by their starts, with the time when they were asked.
    departures: Mutex<HashMap<u64, (Instant, Departure)>>,
}

impl Moves {
    /// No moves yet, and the queue of the calls that they make, for [`serve`].
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Call>) {
        let (calls, queue) = mpsc::channel(CALL_QUEUE_MAX);
        let (in_progress, departures) = (Mutex::default(), Mutex::default());
        (Self { calls, in_progress, departures }, queue)
    }

    /// What an engine that leaves has said of its end. The first call for an engine has it asked.
    fn departure(&self, backend: &Backend) -> Departure {
        let mut departures = self.lock_departures();
        if let Some((_, departure)) = departures.get(&backend.start) {
            return *departure;
        }
        departures.retain(|_, (at, _)| at.elapsed() < DEPARTURE_KEPT);
        let call = Call::LeavesIn { engine: backend.server.address, start: backend.start };
        let departure = match self.calls.try_send(call) {
            Ok(()) => Departure::Asked,
            Err(_) => Departure::Ends(None),
        };
        departures.insert(backend.start, (Instant::now(), departure));
        departure
    }

    fn record_departure(&self, start: u64, ends_at: Option<Instant>) {
        let departure = (Instant::now(), Departure::Ends(ends_at));
        self.lock_departures().insert(start, departure);
    }

    fn lock_departures(&self) -> MutexGuard<'_, HashMap<u64, (Instant, Departure)>> {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, relocate::Moves> {
        self.in_progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Moves {
    /// Moves whose calls all fail.
    fn default() -> Self {
        Self::new().0
    }
}
