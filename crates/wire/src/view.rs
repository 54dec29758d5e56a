//! The state that a control sends to entry hosts: everything they need to decide on requests.

use policy::domain;
use policy::name::Name;

use crate::host;

domain! {
    /// Request of an entry host for the view. The control answers as soon as the view differs from
    /// the one held, or after `wait_ms`.
    #[derive(Default)]
    pub struct ViewRequest {
        /// Name of the entry host.
        pub entry: Name,
        /// Control incarnation that sent the view which the entry host holds.
        pub incarnation: Name,
        /// Revision of the view which the entry host holds; 0 if it holds none.
        pub revision: u64,
        /// Longest time to wait for a change, in milliseconds.
        pub wait_ms: u64,
    }

    /// The cluster state, as known to one control.
    #[derive(Default)]
    pub struct View {
        /// Control incarnation that numbers the revisions.
        pub incarnation: Name,
        /// Revision of this view; increases with each change.
        pub revision: u64,
        /// Generation of the document in force at the control; 0 if there is none yet.
        pub generation: u64,
        /// JSON text of the document; empty if the entry host has this generation already.
        pub document: String,
        /// Milliseconds since the generation was last confirmed as the newest, by the platform or
        /// by a peer to which it was confirmed.
        pub unconfirmed_ms: u64,
        /// Versions in quarantine, which receive no new requests.
        pub quarantined: Vec<Name>,
        /// Candidate versions of roll-outs, with the share of new sessions of each, 0 to 1.
        pub shares: Vec<(Name, f64)>,
        /// Estimates of quality from the ratings of all hosts.
        pub estimates: Vec<Estimate>,
        /// Hosts of backend servers and of the rating service.
        pub hosts: host::List,
        /// Number of entry hosts believed alive, among which account limits are divided.
        pub entries: u32,
        /// Whether new requests must be rejected because bills can't be held safely.
        pub bills_full: bool,
    }

    /// Ratings that all hosts have collected of a version on a task.
    pub struct Estimate {
        /// The rated version.
        pub version: Name,
        /// Task of the rated requests.
        pub task: Name,
        /// Number of answers rated good; older ratings count less.
        pub good: f64,
        /// Number of rated answers; older ratings count less.
        pub rated: f64,
    }
}
