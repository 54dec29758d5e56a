//! Requests that end the servers that run them.

use std::fmt;

use crate::domain;

domain! {
    /// Names a request by what its caller sent, whichever try and host: another try has another id.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Digest(pub u64);
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
