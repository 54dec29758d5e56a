//! Fixed ports for processes that are restarted: each must be able to bind its own port again.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Start of the port range. The range lies below the ports that the system assigns to outgoing
/// connections: any connection could take one of those while its process is down.
const FIRST_PORT: u16 = 10_240;
/// Number of ports in a block. A test process listens on the first port of a block to reserve it.
const BLOCK_SIZE: u16 = 64;
/// Number of blocks; the range ends at port 30,720.
const BLOCK_COUNT: u16 = 320;

/// Listeners that reserve the blocks of this process.
static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
/// Number of ports handed out so far.
static ISSUED: AtomicUsize = AtomicUsize::new(0);

/// Returns an address that no other test process hands out and no outgoing connection takes.
pub fn next() -> SocketAddr {
    loop {
        let issued = ISSUED.fetch_add(1, Ordering::Relaxed);
        let (block, offset) =
            (issued / usize::from(BLOCK_SIZE - 1), issued % usize::from(BLOCK_SIZE - 1));
        let port = first_port(block) + 1 + offset as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the first port of the nth block of this process, and reserves further blocks if needed.
fn first_port(block: usize) -> u16 {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    while reserved.len() <= block {
        // Test processes start at different blocks, so that they seldom try the same ones.
        let start = (std::process::id() % u32::from(BLOCK_COUNT)) as u16;
        let blocks =
            (0..BLOCK_COUNT).map(|step| FIRST_PORT + (start + step) % BLOCK_COUNT * BLOCK_SIZE);
        let free = blocks.map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        reserved.push(free.flatten().next().expect("a free block of ports"));
    }
    reserved[block].local_addr().expect("bound").port()
}
