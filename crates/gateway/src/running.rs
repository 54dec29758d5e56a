//! The requests in flight on this host, found by their ids.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use policy::name::Name;

use crate::backend::Backend;
use crate::copies::Continuation;

/// The requests in flight on this host.
#[derive(Default)]
pub struct Running(Mutex<HashMap<Name, Vec<Arc<Run>>>>);

/// A request in flight.
pub struct Run {
    /// The request's id, which its caller chooses. Several requests may have the same one.
    id: Name,
    /// The service that answers it.
    pub service: Name,
    /// Its client account.
    pub account: Option<Name>,
    /// When its head was read.
    pub started: Instant,
    /// The server or host of the last attempt; `None` before the first one.
    last: Mutex<Option<Arc<Backend>>>,
    /// The copies of a running stream; `None` if it has none.
    copies: Mutex<Option<Continuation>>,
    /// The engine that a copy of the stream is being made at for its move.
    moves_to: Mutex<Option<Arc<Backend>>>,
}

/// Keeps a request among those in flight until dropped.
pub struct Registered {
    running: Arc<Running>,
    run: Arc<Run>,
}

impl Running {
    /// Registers a request.
    #[must_use]
    pub fn register(
        self: &Arc<Self>,
        id: &Name,
        service: &Name,
        account: Option<&Name>,
        started: Instant,
    ) -> Registered {
        let run = Arc::new(Run {
            id: id.clone(),
            service: service.clone(),
            account: account.cloned(),
            started,
            last: Mutex::default(),
            copies: Mutex::default(),
            moves_to: Mutex::default(),
        });
        self.lock().entry(id.clone()).or_default().push(Arc::clone(&run));
        Registered { running: Arc::clone(self), run }
    }

    /// The requests in flight with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Vec<Arc<Run>> {
        self.lock().get(id).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Vec<Arc<Run>>>> {
        lock(&self.0)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Run {
    /// The server or host of the last attempt; `None` before the first one.
    #[must_use]
    pub fn backend(&self) -> Option<Arc<Backend>> {
        lock(&self.last).clone()
    }

    /// The copies of a running stream; `None` if it has none.
    #[must_use]
    pub fn copies(&self) -> Option<Continuation> {
        lock(&self.copies).clone()
    }

    /// The engine that the stream is being moved to; `None` if it is not being moved.
    #[must_use]
    pub fn moves_to(&self) -> Option<Arc<Backend>> {
        lock(&self.moves_to).clone()
    }

    /// Records where the stream is being moved to.
    pub fn record_move(&self, target: Option<&Arc<Backend>>) {
        *lock(&self.moves_to) = target.map(Arc::clone);
    }
}

impl Registered {
    /// Records that an attempt begins at this server or host.
    pub fn record_attempt(&self, backend: &Arc<Backend>) {
        *lock(&self.run.last) = Some(Arc::clone(backend));
    }

    /// Records the copies of the running stream.
    pub fn record_copies(&self, copies: Option<Continuation>) {
        *lock(&self.run.copies) = copies;
    }

    /// The request among those in flight.
    #[must_use]
    pub fn run(&self) -> &Arc<Run> {
        &self.run
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        let mut running = self.running.lock();
        if let Some(same) = running.get_mut(&self.run.id) {
            same.retain(|run| !Arc::ptr_eq(run, &self.run));
            if same.is_empty() {
                running.remove(&self.run.id);
            }
        }
    }
}
