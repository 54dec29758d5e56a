//! A small TCP proxy that injects network faults between two parties.
//!
//! The proxy listens before it has a target, so that its address can be handed out first. Its
//! settings are one value that all connections watch, so a change takes effect on all at once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::port::Port;

/// Most bytes that are read, and then passed on, at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Connections that may wait to be accepted.
const QUEUED_CONNECTIONS_MAX: u32 = 1_024;
/// Interval between attempts to listen again at an address that was closed for a while.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// A connection on the same machine that isn't open after this time doesn't open: the listener's
/// queue is full.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// What the proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes all bytes on.
    #[default]
    Pass,
    /// Resets all open connections, and each new one as soon as it is accepted.
    Cut,
    /// Resets all open connections and closes the port, as if the target's process had ended.
    Closed,
    /// Keeps open connections working and refuses new ones.
    Full,
    /// Passes nothing on, and new connections don't open, as if all packets were lost.
    Unreachable,
    /// Passes nothing on until the mode changes, and keeps all connections open, as in a network
    /// partition. New connections are accepted and are silent too.
    Silent,
    /// Passes requests on, and resets a connection when the first byte of an answer arrives.
    DropAnswer,
}

/// The direction of bytes through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller, which opened the connection, to the target.
    Request,
    /// From the target to the caller.
    Answer,
}

/// The proxy's settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Control {
    /// What the proxy does with its connections.
    pub mode: Mode,
    /// Address that connections are passed on to; while it is `None`, they wait.
    pub target: Option<SocketAddr>,
    /// Time by which each chunk is delayed, in either direction.
    pub delay: Duration,
    /// Bytes that each connection passes on in a second, in either direction; `None` is no limit.
    pub bytes_per_second: Option<u64>,
    /// Number of bytes in one direction after which a connection is reset; `None` is never.
    pub cut_after: Option<(Direction, u64)>,
    /// Connections with lower numbers never pass anything on again.
    silent_below: u64,
    /// Connections with lower numbers are reset.
    reset_below: u64,
    /// Number of the next connection, which is the count of accepted ones.
    next_number: u64,
    is_stopped: bool,
}

impl Control {
    /// Whether the connection of this number has to be reset.
    fn should_reset(&self, number: u64) -> bool {
        let is_reset_mode = matches!(self.mode, Mode::Cut | Mode::Closed);
        self.is_stopped || is_reset_mode || number < self.reset_below
    }

    /// Whether the connection of this number passes bytes on now.
    fn is_passing(&self, number: u64) -> bool {
        !matches!(self.mode, Mode::Silent | Mode::Unreachable) && number >= self.silent_below
    }

    /// Whether the proxy accepts no new connections.
    fn refuses_new(&self) -> bool {
        self.is_stopped || matches!(self.mode, Mode::Closed | Mode::Full | Mode::Unreachable)
    }
}

/// A running proxy. Dropping it resets its connections and stops it.
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    control: watch::Sender<Control>,
    /// Bytes passed on by all connections in both directions.
    passed_bytes: Arc<AtomicU64>,
}

/// Starts a proxy on the current runtime. It has no target yet: see [`Proxy::set_target`].
///
/// # Errors
/// When the address can't be listened on.
pub async fn start(listen: SocketAddr) -> io::Result<Proxy> {
    let port = Port::reserve(listen)?;
    let listener = port.listen(QUEUED_CONNECTIONS_MAX)?;
    let address = port.address;
    let (control, _) = watch::channel(Control::default());
    let passed_bytes = Arc::new(AtomicU64::new(0));
    tokio::spawn(accept(listener, port, control.clone(), Arc::clone(&passed_bytes)));
    Ok(Proxy { address, control, passed_bytes })
}

impl Proxy {
    /// Passes new connections, and those that wait for a target, on to this address.
    pub fn set_target(&self, target: SocketAddr) {
        self.control.send_modify(|control| control.target = Some(target));
    }

    /// Changes what the proxy does with its connections, open ones included.
    pub fn set_mode(&self, mode: Mode) {
        self.control.send_modify(|control| control.mode = mode);
    }

    /// Delays each chunk by this time, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.control.send_modify(|control| control.delay = delay);
    }

    /// Limits the bytes that each connection passes on in a second, in either direction; `None`
    /// removes the limit.
    pub fn set_bytes_per_second(&self, bytes_per_second: Option<u64>) {
        self.control.send_modify(|control| control.bytes_per_second = bytes_per_second);
    }

    /// Resets each connection after this many bytes in this direction; `None` removes the limit.
    pub fn set_cut_after(&self, cut: Option<(Direction, u64)>) {
        self.control.send_modify(|control| control.cut_after = cut);
    }

    /// Silences the connections that are open now, for good: they stay open and pass nothing on,
    /// not even their end. New connections work.
    pub fn silence_existing(&self) {
        self.control.send_modify(|control| control.silent_below = control.next_number);
    }

    /// Resets the connections that are open now. New connections work.
    pub fn reset_existing(&self) {
        self.control.send_modify(|control| control.reset_below = control.next_number);
    }

    /// Bytes passed on so far, in both directions together.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_count(&self) -> u64 {
        self.control.borrow().next_number
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.control.send_modify(|control| control.is_stopped = true);
    }
}

async fn accept(
    listener: TcpListener,
    port: Port,
    control: watch::Sender<Control>,
    passed_bytes: Arc<AtomicU64>,
) {
    let mut watcher = control.subscribe();
    let mut listening = Some(listener);
    while let Some(listener) = listening.take() {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            _ = watcher.wait_for(Control::refuses_new) => None,
        };
        let Some(accepted) = accepted else {
            listening = reopen(listener, &port, &mut watcher).await;
            continue;
        };
        listening = Some(listener);
        match accepted {
            Ok((stream, _)) => {
                let mut number = 0;
                control.send_modify(|control| {
                    number = control.next_number;
                    control.next_number += 1;
                });
                let passed_bytes = Arc::clone(&passed_bytes);
                tokio::spawn(connection(stream, number, control.subscribe(), passed_bytes));
            }
            Err(error) => log::warn!("proxy: can't accept a connection: {error}"),
        }
    }
}

/// Closes the port, waits until the mode changes, and listens again; `None` once the proxy is
/// stopped.
async fn reopen(
    listener: TcpListener,
    port: &Port,
    watcher: &mut watch::Receiver<Control>,
) -> Option<TcpListener> {
    drop(listener);
    let mode = watcher.borrow().mode;
    // Kept until the mode changes: new connections wait meanwhile for a place in the full queue.
    let full_listener = match mode {
        Mode::Unreachable => listen_with_full_queue(port).await,
        _ => None,
    };
    let has_changed = |control: &Control| control.is_stopped || control.mode != mode;
    if watcher.wait_for(has_changed).await.ok()?.is_stopped {
        return None;
    }
    drop(full_listener);
    loop {
        match port.listen(QUEUED_CONNECTIONS_MAX) {
            Ok(listener) => return Some(listener),
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

/// Listens at an address where no connection opens: the queue of new connections is full, and none
/// is accepted.
async fn listen_with_full_queue(port: &Port) -> Option<(TcpListener, Vec<TcpStream>)> {
    let listener = port.listen(1).ok()?;
    let mut queue = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(LOCAL_CONNECT_TIMEOUT, TcpStream::connect(port.address)).await
    {
        queue.push(stream);
    }
    Some((listener, queue))
}

/// Makes the stream close with a reset instead of an orderly end.
fn reset(stream: &TcpStream) {
    // Fails only on a socket that is closed already.
    let _ = stream.set_zero_linger();
}

async fn connection(
    caller: TcpStream,
    number: u64,
    mut control: watch::Receiver<Control>,
    total_bytes: Arc<AtomicU64>,
) {
    let mut watcher = control.clone();
    let target = tokio::select! {
        target = connect(number, &mut control) => target,
        _ = watcher.wait_for(|control| control.should_reset(number)) => None,
    };
    let Some(target) = target else {
        reset(&caller);
        return;
    };
    // With Nagle's algorithm a small chunk would wait for the acknowledgement of the one before.
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let mut request =
        Forwarder::new(from_caller, to_target, Direction::Request, number, &control, &total_bytes);
    let mut answer =
        Forwarder::new(from_target, to_caller, Direction::Answer, number, &control, &total_bytes);
    let has_ended_orderly = tokio::select! {
        both = async { tokio::try_join!(request.run(), answer.run()) } => both.is_ok(),
        () = wait_for_reset(&mut watcher, number) => false,
    };
    if !has_ended_orderly {
        reset(answer.to.as_ref());
        reset(request.to.as_ref());
    }
}

/// Waits until the connection has to be reset.
async fn wait_for_reset(control: &mut watch::Receiver<Control>, number: u64) {
    // An error means that the sender is gone, with which its connections end too.
    let _ = control.wait_for(|control| control.should_reset(number)).await;
}

async fn connect(number: u64, control: &mut watch::Receiver<Control>) -> Option<TcpStream> {
    let is_ready = |control: &Control| control.target.is_some() && control.is_passing(number);
    let target = control.wait_for(is_ready).await.ok()?.target?;
    TcpStream::connect(target).await.ok()
}

/// Error of a connection that ends early: a socket failed, or a fault breaks the connection.
struct Broken;

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Self
    }
}

/// Passes the bytes of one direction of a connection on.
struct Forwarder {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: Direction,
    number: u64,
    control: watch::Receiver<Control>,
    /// Bytes passed on by this connection in this direction.
    passed_bytes: u64,
    /// Bytes passed on by all connections of the proxy.
    total_bytes: Arc<AtomicU64>,
}

impl Forwarder {
    fn new(
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        direction: Direction,
        number: u64,
        control: &watch::Receiver<Control>,
        total_bytes: &Arc<AtomicU64>,
    ) -> Self {
        let (control, total_bytes) = (control.clone(), Arc::clone(total_bytes));
        Self { from, to, direction, number, control, passed_bytes: 0, total_bytes }
    }

    async fn run(&mut self) -> Result<(), Broken> {
        self.forward_all().await?;
        self.to.shutdown().await?;
        Ok(())
    }

    async fn forward_all(&mut self) -> Result<(), Broken> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let length = self.from.read(&mut chunk).await?;
            self.wait_until_passing().await?;
            if length == 0 {
                return Ok(());
            }
            let control = *self.control.borrow();
            if !control.delay.is_zero() {
                tokio::time::sleep(control.delay).await;
                self.wait_until_passing().await?;
            }
            self.forward(&chunk[..length], &control).await?;
            if let Some(rate) = control.bytes_per_second {
                // The time that these bytes take on a link of this rate.
                tokio::time::sleep(Duration::from_secs_f64(length as f64 / rate as f64)).await;
            }
        }
    }

    /// Waits while the connection is silent. The end of the stream waits too.
    async fn wait_until_passing(&mut self) -> Result<(), Broken> {
        let number = self.number;
        self.control.wait_for(|control| control.is_passing(number)).await.map_err(|_| Broken)?;
        Ok(())
    }

    async fn forward(&mut self, bytes: &[u8], control: &Control) -> Result<(), Broken> {
        if control.mode == Mode::DropAnswer && self.direction == Direction::Answer {
            return Err(Broken);
        }
        let limit = match control.cut_after {
            Some((direction, limit)) if direction == self.direction => limit,
            _ => u64::MAX,
        };
        let allowed =
            usize::try_from(limit.saturating_sub(self.passed_bytes)).unwrap_or(usize::MAX);
        let bytes = &bytes[..bytes.len().min(allowed)];
        self.to.write_all(bytes).await?;
        self.passed_bytes += bytes.len() as u64;
        self.total_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.passed_bytes >= limit { Err(Broken) } else { Ok(()) }
    }
}
