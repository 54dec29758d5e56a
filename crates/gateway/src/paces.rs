//! What streams of this host showed of their engines' speeds, until the other hosts are notified.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use policy::name::Name;
use policy::slowdown::Shown;

policy::domain! {
    /// What streams of one engine showed, as other hosts are notified of it.
    pub struct PaceSample {
        /// The backend server's start.
        pub backend: Name,
        /// What they showed.
        pub shown: Shown,
    }
}

/// By backend server.
#[derive(Default)]
pub struct Paces(Mutex<HashMap<Name, Shown>>);

impl Paces {
    /// A stream of a backend server has ended.
    pub fn record(&self, backend: &Name, shown: Shown) {
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = paces.entry(backend.clone()).or_default();
        *sample = sample.and(shown);
    }

    /// What the others have not been notified of yet.
    pub fn take(&self) -> Vec<PaceSample> {
        let paces = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        paces.into_iter().map(|(backend, shown)| PaceSample { backend, shown }).collect()
    }
}
