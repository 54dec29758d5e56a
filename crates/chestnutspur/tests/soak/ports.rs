//! Ports for processes that are restarted: each must get its own again.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// The first port given out. All are below those that the system gives to outgoing connections: a
/// port of theirs that is free while its process is down can be taken by any connection.
const FIRST: u16 = 10_240;
/// Ports of one block; the first one of them is held as the sign that the block is in use.
const BLOCK: u16 = 64;
/// Blocks, up to the port 30,720.
const BLOCKS: u16 = 320;

/// The blocks of this process, each with the listener that holds it.
static HELD: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
static GIVEN: AtomicUsize = AtomicUsize::new(0);

/// An address that no other test process gives out, and no connection takes.
pub fn next() -> SocketAddr {
    loop {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        let (block, offset) = (given / usize::from(BLOCK - 1), given % usize::from(BLOCK - 1));
        let port = block_at(block) + 1 + offset as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The first port of a block of this process.
fn block_at(block: usize) -> u16 {
    let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    while held.len() <= block {
        // Processes begin at different blocks, so that they seldom ask for the same ones.
        let start = (std::process::id() % u32::from(BLOCKS)) as u16;
        let blocks = (0..BLOCKS).map(|step| FIRST + (start + step) % BLOCKS * BLOCK);
        let free = blocks.map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        held.push(free.flatten().next().expect("a free block of ports"));
    }
    held[block].local_addr().expect("bound").port()
}
