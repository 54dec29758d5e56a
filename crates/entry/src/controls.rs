//! Links to the controls, and the order in which this process calls them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::Context;
use wire::peer::{Error, Key, Link};
use wire::rpc::ControlClient;
use wire::settings;

/// Timeout of a call to one control, after which the next control is called.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Links to all controls in the settings; those of the own failure domain come first.
pub struct Controls {
    links: Vec<Link>,
    /// Index of the control that answered last; it is called first.
    preferred: AtomicUsize,
}

impl Controls {
    /// Creates the links without connecting; a link connects at its first call.
    #[must_use]
    pub fn new(settings: &settings::Entry, key: &Key) -> Self {
        let is_near = |peer: &&settings::Peer| peer.failure_domain == settings.failure_domain;
        let near = settings.controls.iter().filter(is_near);
        let far = settings.controls.iter().filter(|peer| !is_near(peer));
        let links = near.chain(far).map(|peer| Link::new(peer.address, key.clone())).collect();
        Self { links, preferred: AtomicUsize::new(0) }
    }

    /// Number of controls in the settings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether the settings name no control.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Calls one control after another until one answers or `within` is over.
    ///
    /// Use it only for idempotent calls: a control whose answer was lost may have carried out the
    /// call.
    ///
    /// # Errors
    /// The error of the last control that was called.
    pub async fn ask<T, F, A>(&self, within: Duration, ask: F) -> Result<T, Error>
    where
        F: Fn(ControlClient, Context) -> A,
        A: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + within;
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = Error::Connect(std::io::ErrorKind::NotConnected.into());
        for offset in 0..self.links.len() {
            let index = (first + offset) % self.links.len();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            match self.links[index].call(left.min(CALL_TIMEOUT), &ask).await {
                Ok(answer) => {
                    self.prefer(index);
                    return Ok(answer);
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Calls one control, given by its index in the order.
    ///
    /// # Errors
    /// The error of that control; a connection error if there is no such index.
    pub async fn ask_one<T, F, A>(&self, index: usize, within: Duration, ask: F) -> Result<T, Error>
    where
        F: FnOnce(ControlClient, Context) -> A,
        A: Future<Output = Result<T, RpcError>>,
    {
        match self.links.get(index) {
            Some(link) => link.call(within, ask).await,
            None => Err(Error::Connect(std::io::ErrorKind::NotConnected.into())),
        }
    }

    /// Makes the control at `index` the one that [`Self::ask`] calls first.
    pub fn prefer(&self, index: usize) {
        if self.preferred.swap(index, Ordering::Relaxed) != index {
            log::info!("entry: now prefers control {}", self.links[index].address());
        }
    }

    /// Index of the control that [`Self::ask`] calls first.
    #[must_use]
    pub fn preferred(&self) -> usize {
        self.preferred.load(Ordering::Relaxed)
    }
}
