//! The generation in force on this host, and how it changes.
//!
//! The platform's row decides which generation there is; peers only carry it. Adoption goes
//! upwards alone: a stale read, or a peer that lags, would otherwise bring a withdrawn version
//! back into use. Comparing numbers is enough, because acceptance gives each number once.

pub mod accept;
pub mod patch;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use log::{info, warn};
use policy::domain;
use policy::name::Name;
use policy::time::Millis;
use tokio::sync::watch;
use wire::configuration::{Document, check};
use wire::gossip::Change;

use crate::node::{self, Node};
use crate::store;

/// The platform's table.
pub const TABLE: &str = "configuration";
/// The row that says which generation there is.
pub const CURRENT: &str = "current";

domain! {
    /// The row `current`.
    #[derive(Default)]
    pub struct Current {
        /// The newest generation.
        pub generation: u64,
        /// The change that made it.
        pub change: Name,
    }

    /// The row `document/N`.
    pub struct Kept {
        /// The change that made generation N.
        pub change: Name,
        /// The document's JSON text.
        pub text: String,
    }
}

/// A generation in force.
#[derive(Default)]
pub struct InForce {
    /// Its number; 0 before any.
    pub generation: u64,
    /// Its document.
    pub document: Document,
    /// Its document as the platform keeps it.
    pub text: String,
    /// The change that made it, if the generation before was in force here.
    pub change: Option<Change>,
}

/// Why a generation was not adopted.
#[derive(Debug)]
pub enum Error {
    /// The platform gave no answer.
    Platform(store::Error),
    /// A row or document makes no sense; the fault is named.
    Malformed(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(error) => write!(f, "platform {error}"),
            Self::Malformed(why) => write!(f, "malformed: {why}"),
        }
    }
}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Self::Platform(error)
    }
}

/// The controller.
pub struct Controller {
    node: Arc<Node>,
    in_force: watch::Sender<Arc<InForce>>,
    confirmed: AtomicU64,
    settled: watch::Sender<bool>,
}

impl Controller {
    /// Nothing in force yet.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        let (in_force, _) = watch::channel(Arc::default());
        let (settled, _) = watch::channel(false);
        Self { node, in_force, confirmed: AtomicU64::new(0), settled }
    }

    /// What is in force.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.borrow().clone()
    }

    /// Notes that platform and peers were asked once. Before, a peer that lags could have given
    /// an old generation, which this host must not serve while a newer one is to be had.
    pub fn settle(&self) {
        self.settled.send_replace(true);
    }

    /// Wakes when that is done.
    #[must_use]
    pub fn watch_settled(&self) -> watch::Receiver<bool> {
        self.settled.subscribe()
    }

    /// Whether a generation may be served.
    #[must_use]
    pub fn ready(&self) -> bool {
        *self.settled.borrow() && self.in_force.borrow().generation > 0
    }

    /// Wakes with each adoption.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<InForce>> {
        self.in_force.subscribe()
    }

    /// Puts a document in force if its generation is higher; says whether it did.
    ///
    /// # Errors
    /// When it is not a whole document.
    pub fn adopt(&self, text: &str) -> Result<bool, Error> {
        let document =
            check::parse_accepted(text).map_err(|fault| Error::Malformed(fault.to_string()))?;
        let generation = document.generation;
        let mut next = InForce { generation, document, text: text.to_owned(), change: None };
        next.change = patch::between(&self.in_force(), &next);
        let next = Arc::new(next);
        // The comparison is under the channel's lock: two adoptions at once end with the higher.
        let adopted = self.in_force.send_if_modified(|now| match generation > now.generation {
            true => {
                *now = next;
                true
            }
            false => false,
        });
        if adopted {
            metrics::gauge!("configuration_generation").set(generation as f64);
            info!("configuration: generation {generation} in force");
        }
        Ok(adopted)
    }

    /// Notes that a generation was the platform's newest at a time.
    pub fn confirm(&self, generation: u64, at: Millis) {
        // A lower one says nothing of what is in force here; a higher one is adopted first.
        if generation >= self.in_force().generation {
            self.confirmed.fetch_max(at.0, Ordering::Relaxed);
        }
    }

    /// Milliseconds since the generation in force was last confirmed.
    #[must_use]
    pub fn unconfirmed_ms(&self, now: Millis) -> u64 {
        now.since(Millis(self.confirmed.load(Ordering::Relaxed)))
    }

    /// Reads the platform once, and adopts what is newer.
    ///
    /// # Errors
    /// Any [`Error`]; what was in force stays so.
    pub async fn poll(&self) -> Result<(), Error> {
        let asked = node::now();
        let Some(row) = self.node.store.row(TABLE, CURRENT).await? else { return Ok(()) };
        let current: Current = decode(&row.value)?;
        if current.generation > self.in_force().generation {
            self.fetch(current.generation).await?;
        }
        // From when it was asked: the answer may have been under way for long.
        self.confirm(current.generation, asked);
        Ok(())
    }

    async fn fetch(&self, generation: u64) -> Result<(), Error> {
        let key = document_key(generation);
        match self.node.store.row(TABLE, &key).await? {
            Some(row) => self.adopt(&decode::<Kept>(&row.value)?.text).map(drop),
            // Replaced while we read: the next poll finds a newer one.
            None => Err(Error::Malformed(format!("{key} is missing"))),
        }
    }

    /// The document of an earlier generation, while the platform keeps it.
    pub async fn document_of(&self, generation: u64) -> Option<Document> {
        let in_force = self.in_force();
        if in_force.generation == generation {
            return Some(in_force.document.clone());
        }
        let row = self.node.store.row(TABLE, &document_key(generation)).await.ok()??;
        check::parse_accepted(&decode::<Kept>(&row.value).ok()?.text).ok()
    }

    /// Takes a generation as the change from the one in force here, if it is that.
    pub fn change(&self, change: &Change) {
        let Some(text) = patch::apply(&self.in_force(), change) else { return };
        if let Err(error) = self.adopt(&text) {
            warn!("configuration: a change of generation {}: {error}", change.from);
        }
    }

    /// Fetches from a peer that has a newer generation.
    pub async fn fetch_from(&self, link: &wire::peer::Link, generation: u64) {
        let answer = link.call(crate::peers::CALL, |client, context| async move {
            client.document(context, generation).await
        });
        match answer.await {
            Ok(Some(text)) => {
                if let Err(error) = self.adopt(&text) {
                    warn!("configuration: generation {generation} from a peer: {error}");
                }
            }
            Ok(None) => {}
            Err(error) => warn!("configuration: no document from a peer: {error}"),
        }
    }
}

/// The key of a generation's document.
#[must_use]
pub fn document_key(generation: u64) -> String {
    format!("document/{generation}")
}

/// The key of a change's row.
#[must_use]
pub fn change_key(change: &str) -> String {
    format!("change/{change}")
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|e| Error::Malformed(e.to_string()))
}
