//! Faults that several stand-ins share.

use policy::domain;

domain! {
    /// Whether a stand-in takes requests. The port itself is closed with
    /// [`crate::server::Running::close`].
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// It does.
        #[default]
        No,
        /// Every request has its connection cut, before any effect.
        Cut,
        /// Every request gets 503, before any effect.
        Unavailable,
    }
}
