//! Errors that prevent the process from starting or that end it abnormally.

use std::fmt;
use std::net::SocketAddr;

/// An error of the process itself. Errors of a single request are refusals.
#[derive(Debug)]
pub enum Error {
    /// A listening socket could not be opened.
    Listen(SocketAddr, std::io::Error),
    /// A listening socket failed to accept connections.
    Accept(std::io::Error),
    /// The key that this process shares with controls could not be read.
    PeerKey(String),
    /// The number of bills that no control accepted before the time for the shutdown was over.
    BillsLeft(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            Self::Accept(error) => write!(f, "can't accept connections: {error}"),
            Self::PeerKey(message) => write!(f, "peer_key: {message}"),
            Self::BillsLeft(count) => write!(f, "{count} bills could not be delivered"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Accept(error)
    }
}
