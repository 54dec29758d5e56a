//! Retry budget: this host's quota of the extra attempts that all hosts together may send.

use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::repeat::{self, Allowance};
use wire::settings;

/// What the quota is computed from.
struct Inputs {
    repeats: settings::Repeats,
    /// Failure domains of the deployment; `None` if the settings don't name them.
    domain_count: Option<usize>,
    /// Hosts of this host's failure domain, this host included; `None` until it has found the
    /// others.
    host_count: Option<usize>,
}

/// This host's quota of extra attempts. It changes with the settings and with the number of hosts
/// that share the quota of the failure domain.
pub struct Budget(Mutex<Inputs>);

impl Budget {
    /// Budget of a host that starts. A host without an address for peers counts as alone in its
    /// failure domain.
    #[must_use]
    pub fn new(settings: &settings::Node) -> Self {
        Self(Mutex::new(Inputs {
            repeats: settings.repeats.clone(),
            domain_count: domain_count(settings),
            host_count: settings.peers.is_none().then_some(1),
        }))
    }

    /// Applies settings that were read again while the process runs.
    pub fn update_settings(&self, settings: &settings::Node) {
        let mut inputs = self.lock();
        inputs.repeats = settings.repeats.clone();
        inputs.domain_count = domain_count(settings);
    }

    /// Sets the number of hosts in the failure domain, this host included.
    pub fn set_host_count(&self, host_count: usize) {
        self.lock().host_count = Some(host_count);
    }

    /// Extra attempts that this host may send now.
    #[must_use]
    pub fn allowance(&self) -> Allowance {
        let inputs = self.lock();
        let settings::Repeats { share, slack, window_ms } = inputs.repeats;
        Allowance {
            share,
            spare: repeat::spare_per_host(slack, inputs.domain_count, inputs.host_count),
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
