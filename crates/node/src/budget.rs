//! How often this host may send requests again: its part of what all hosts together may.

use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::repeat::{self, Allowance};
use wire::settings;

/// What the part follows from.
struct Known {
    repeats: settings::Repeats,
    /// Failure domains of the deployment; none if the settings don't name them.
    domains: Option<usize>,
    /// Hosts of this one's domain, itself among them; none before it has found the others.
    hosts: Option<usize>,
}

/// The host's part. It changes with the settings, and with the hosts that share its domain's.
pub struct Budget(Mutex<Known>);

impl Budget {
    /// At the start of a host. One that has no address for others is alone in its domain.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        Self(Mutex::new(Known {
            repeats: settings.repeats.clone(),
            domains: domains(settings),
            hosts: settings.peers.is_none().then_some(1),
        }))
    }

    /// The settings have changed.
    pub fn set(&self, settings: &settings::Node) {
        let mut known = self.lock();
        known.repeats = settings.repeats.clone();
        known.domains = domains(settings);
    }

    /// The domain has so many hosts, this one among them.
    pub fn set_hosts(&self, hosts: usize) {
        self.lock().hosts = Some(hosts);
    }

    /// What this host may send.
    #[must_use]
    pub fn allowance(&self) -> Allowance {
        let known = self.lock();
        let settings::Repeats { share, slack, window_ms } = known.repeats;
        Allowance {
            share,
            spare: repeat::spare_per_host(slack, known.domains, known.hosts),
            window_ms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn domains(settings: &settings::Node) -> Option<usize> {
    let count = settings.failure_domains.len();
    (count > 0).then_some(count)
}
