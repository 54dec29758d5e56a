//! Errors that keep the process from starting.

use std::fmt;
use std::net::SocketAddr;

/// An error of the process itself, as opposed to one of a request or of the store.
#[derive(Debug)]
pub enum Error {
    /// A listening socket can't be opened at this address.
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
