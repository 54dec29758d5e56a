//! A TCP port that belongs to one stand-in, also while it does not listen there.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// A port of a stand-in.
///
/// A second socket is bound to the port and never listens, so that connections are refused while
/// the port is closed. Without it the system may give a closed port to another stand-in, which then
/// answers in place of the closed one.
pub(crate) struct Port {
    /// The port's address.
    pub address: SocketAddr,
    _reserved: TcpSocket,
}

impl Port {
    /// Reserves a port. The system chooses one if `address` names port 0.
    pub fn reserve(address: SocketAddr) -> io::Result<Self> {
        let reserved = bind(address)?;
        Ok(Self { address: reserved.local_addr()?, _reserved: reserved })
    }

    /// Listens on the port. At most `queued_max` connections wait to be accepted.
    pub fn listen(&self, queued_max: u32) -> io::Result<TcpListener> {
        bind(self.address)?.listen(queued_max)
    }
}

/// A socket that shares its address with others that don't listen.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
