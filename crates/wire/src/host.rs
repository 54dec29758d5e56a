//! The platform's list of hosts, which lags behind the actual state.

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

domain! {
    /// Role of a host.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// A host of this product that runs `entry`.
        Entry,
        /// A host of this product that runs `control`.
        Control,
        /// A backend server: a worker of a model engine or of a plain service.
        Backend,
        /// The service that rates answers.
        Rater,
    }

    /// Stage of a host's life cycle.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum HostState {
        /// The host is in use.
        Live,
        /// The host is leaving and receives no new work.
        Leaving,
        /// The host has left for good; its name is never used again.
        Gone,
    }

    /// One entry of the host list.
    pub struct Host {
        /// Name of the host, which is never used for another host.
        pub name: Name,
        /// Role of the host.
        pub role: Role,
        /// IP address and port.
        pub address: Name,
        /// Failure domain of the host.
        pub failure_domain: Name,
        /// Pool of a backend server; empty for other roles.
        #[serde(default)]
        pub pool: Name,
        /// Versions that a backend server serves; empty for a plain service.
        #[serde(default)]
        pub versions: Vec<Name>,
        /// Stage of the host's life cycle.
        pub state: HostState,
    }

    /// The host list as of one revision of the store.
    #[derive(Default)]
    pub struct List {
        /// Revision of the store at which the list was read; 0 if there is no list yet.
        pub revision: Revision,
        /// All hosts, including those that left a short time ago.
        pub hosts: Vec<Host>,
    }
}
