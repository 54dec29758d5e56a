//! The controls this process may ask, in the order it asks them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::Context;
use wire::peer::{Error, Key, Link};
use wire::rpc::ControlClient;
use wire::settings;

/// Longest wait for one control before the next is asked.
const TRY: Duration = Duration::from_millis(1500);

/// Links to all controls of the settings, own failure domain first.
pub struct Controls {
    links: Vec<Link>,
    /// The one that answered last; asked first while it does.
    preferred: AtomicUsize,
}

impl Controls {
    /// Nothing is dialled yet.
    #[must_use]
    pub fn new(settings: &settings::Entry, key: &Key) -> Self {
        let own = |peer: &&settings::Peer| peer.failure_domain == settings.failure_domain;
        let near = settings.controls.iter().filter(own);
        let far = settings.controls.iter().filter(|peer| !own(peer));
        let links = near.chain(far).map(|peer| Link::new(peer.address, key.clone())).collect();
        Self { links, preferred: AtomicUsize::new(0) }
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Asks one control after another until one answers or the time is over.
    ///
    /// Only for questions that may be asked twice: a control whose answer was lost may have
    /// done what it was asked.
    ///
    /// # Errors
    /// The last control's.
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
            match self.links[index].call(left.min(TRY), &ask).await {
                Ok(answer) => {
                    self.prefer(index);
                    return Ok(answer);
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Asks one control, by its place in the order.
    ///
    /// # Errors
    /// That control's.
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

    /// Prefers a control from now on.
    pub fn prefer(&self, index: usize) {
        if self.preferred.swap(index, Ordering::Relaxed) != index {
            log::info!("entry: asks control {} from now on", self.links[index].address());
        }
    }

    /// The one asked first.
    #[must_use]
    pub fn preferred(&self) -> usize {
        self.preferred.load(Ordering::Relaxed)
    }
}
