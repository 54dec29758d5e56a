//! Why the process can't start.

use std::fmt;
use std::net::SocketAddr;

/// Faults of the process itself.
#[derive(Debug)]
pub enum Error {
    /// A listening socket could not be opened.
    Listen(SocketAddr, std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
        }
    }
}

impl std::error::Error for Error {}
