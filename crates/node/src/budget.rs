//! How often this host may send requests again: its part of what all hosts together may.

use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::repeat::{self, Allowance};
use wire::settings;

/// What the part follows from.
struct Inputs {
    repeats: settings::Repeats,
    /// Failure domains of the deployment; none if the settings don't name them.
    domain_count: Option<usize>,
    /// Hosts of this one's domain, itself among them; none before it has found the others.
    host_count: Option<usize>,
}

/// The host's part. It changes with the settings, and with the hosts that share its domain's.
pub struct Budget(Mutex<Inputs>);

impl Budget {
    /// At the start of a host. One that has no address for others is alone in its domain.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        Self(Mutex::new(Inputs {
            repeats: settings.repeats.clone(),
            domain_count: domain_count(settings),
            host_count: settings.peers.is_none().then_some(1),
        }))
    }

    /// The settings have changed.
    pub fn update_settings(&self, settings: &settings::Node) {
        let mut inputs = self.lock();
        inputs.repeats = settings.repeats.clone();
        inputs.domain_count = domain_count(settings);
    }

    /// The domain has so many hosts, this one among them.
    pub fn set_host_count(&self, host_count: usize) {
        self.lock().host_count = Some(host_count);
    }

    /// What this host may send.
    #[must_use]
    pub fn allowance(&self) -> Allowance {
        let inputs = self.lock();
        let settings::Repeats { share, slack, window_ms } = inputs.repeats;
        Allowance {
            share,
            spare: repeat::spare(slack, inputs.domain_count, inputs.host_count),
            window_ms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inputs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn domain_count(settings: &settings::Node) -> Option<usize> {
    let count = settings.failure_domains.len();
    (count > 0).then_some(count)
}
