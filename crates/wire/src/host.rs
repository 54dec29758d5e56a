//! The platform's lagging list of hosts.

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

domain! {
    /// What a host does.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// One of ours, running entry.
        Entry,
        /// One of ours, running control.
        Control,
        /// A model engine's worker, or a worker of a plain service.
        Backend,
        /// The service that rates answers.
        Rater,
    }

    /// Whether a host is staying.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum HostState {
        /// In use.
        Live,
        /// Going: no new work.
        Leaving,
        /// Gone for good; its name never comes back.
        Gone,
    }

    /// One line of the list.
    pub struct Host {
        /// Its name, unique for all time.
        pub name: Name,
        /// Its role.
        pub role: Role,
        /// IP number and port.
        pub address: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The pool of a backend server; empty otherwise.
        #[serde(default)]
        pub pool: Name,
        /// The versions it serves; empty for a plain service.
        #[serde(default)]
        pub versions: Vec<Name>,
        /// Whether it stays.
        pub state: HostState,
    }

    /// The list, with its age.
    #[derive(Default)]
    pub struct List {
        /// The store's revision that it is as of; 0 for no list yet.
        pub revision: Revision,
        /// All hosts that are not long gone.
        pub hosts: Vec<Host>,
    }
}
