//! Why the process can't start or stopped badly.

use std::fmt;
use std::net::SocketAddr;

/// Faults of the process itself; a request's faults are refusals.
#[derive(Debug)]
pub enum Error {
    /// A listening socket could not be opened.
    Listen(SocketAddr, std::io::Error),
    /// A listening socket failed.
    Accept(std::io::Error),
    /// The key shared with controls could not be read.
    PeerKey(String),
    /// Bills that no control took before the shutdown's time was over.
    BillsLeft(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            Self::Accept(error) => write!(f, "can't accept: {error}"),
            Self::PeerKey(message) => write!(f, "peer_key: {message}"),
            Self::BillsLeft(count) => write!(f, "{count} bills could not be handed over"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Accept(error)
    }
}
