//! What control tells entry: all that a request's decisions need.

use policy::domain;
use policy::name::Name;

use crate::host;

domain! {
    /// How entry asks for the view: answered when it differs from what entry has, or after a while.
    #[derive(Default)]
    pub struct ViewRequest {
        /// The entry host.
        pub entry: Name,
        /// The control incarnation that gave the view held now.
        pub incarnation: Name,
        /// The revision held now; 0 for none.
        pub revision: u64,
        /// How long to wait for a change, in milliseconds.
        pub wait_ms: u64,
    }

    /// One state of the world, as one control sees it.
    #[derive(Default)]
    pub struct View {
        /// Which control incarnation numbers the revisions.
        pub incarnation: Name,
        /// Rises with each change.
        pub revision: u64,
        /// The generation in force here; 0 for none yet.
        pub generation: u64,
        /// The document's JSON text; empty if `generation` is what the asker has already.
        pub document: String,
        /// Milliseconds since a generation was last confirmed, by the platform or by a peer that
        /// had it confirmed.
        pub unconfirmed_ms: u64,
        /// Versions under quarantine: no new work.
        pub quarantined: Vec<Name>,
        /// Roll-out shares in force, by candidate version.
        pub shares: Vec<(Name, f64)>,
        /// Shared estimates of quality.
        pub estimates: Vec<Estimate>,
        /// Backend servers and raters.
        pub hosts: host::List,
        /// Entry hosts believed alive, for dividing account limits.
        pub entries: u32,
        /// Whether new work must be refused because bills can't be kept safe.
        pub bills_full: bool,
    }

    /// What all hosts together know of a version's quality on a task.
    pub struct Estimate {
        /// The version.
        pub version: Name,
        /// The task.
        pub task: Name,
        /// Rated good, decayed.
        pub good: f64,
        /// Rated, decayed.
        pub rated: f64,
    }
}
