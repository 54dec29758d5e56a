//! Faults that several stand-ins have in common.

use policy::domain;

domain! {
    /// Whether a stand-in is out of service, with its port still open. To close the port, use
    /// [`crate::server::Running::close`].
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// The stand-in serves requests.
        #[default]
        No,
        /// Each request's connection is cut before the request has any effect.
        Cut,
        /// Each request is rejected with 503 before it has any effect.
        Unavailable,
    }
}
