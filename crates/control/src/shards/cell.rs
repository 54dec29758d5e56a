//! One shard on this control, under its own lock, and what wakes those who wait for it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use coordination::home::Home;
use coordination::shard::Shard;
use tokio::sync::{Notify, watch};

use crate::shards::alone::Pieces;

/// The shard.
pub struct Cell {
    /// Which one.
    pub home: Home,
    shard: Mutex<Shard>,
    /// Wakes the task that looks after it.
    pub work: Notify,
    /// Rises whenever waiting claims should look again.
    pub turn: watch::Sender<u64>,
    /// Someone could not reach the owner, or says that the row has changed.
    suspected: AtomicBool,
    /// The log in the object store, while there is no deputy.
    pub pieces: tokio::sync::Mutex<Pieces>,
    /// Held by who changes hands, so that one process does one change at a time.
    pub change: tokio::sync::Mutex<()>,
}

impl Cell {
    /// Idle.
    #[must_use]
    pub fn new(home: Home) -> Self {
        Self {
            home,
            shard: Mutex::default(),
            work: Notify::new(),
            turn: watch::Sender::new(0),
            suspected: AtomicBool::new(false),
            pieces: tokio::sync::Mutex::default(),
            change: tokio::sync::Mutex::default(),
        }
    }

    /// The state; never held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Shard> {
        self.shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets all who wait look again.
    pub fn wake(&self) {
        self.turn.send_modify(|turn| *turn += 1);
    }

    /// Has the row read soon.
    pub fn suspect(&self) {
        self.suspected.store(true, Ordering::Relaxed);
        self.work.notify_one();
    }

    /// Whether the row should be read, asked once.
    pub fn suspected(&self) -> bool {
        self.suspected.swap(false, Ordering::Relaxed)
    }
}
