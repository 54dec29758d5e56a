//! A small TCP proxy that brings about network faults between two parties.
//!
//! It listens before it has a target, so that an address can be handed out first. Its control is
//! one value that is replaced as a whole; every connection sees the change at once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 << 10;
/// Pause between two tries to listen again at an address that was closed for a while.
const REBIND: Duration = Duration::from_millis(20);

/// A connection on this machine that has not opened within this time does not open.
const FILL: Duration = Duration::from_millis(40);

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Resets every connection and each new one at once.
    Cut,
    /// Resets every connection and listens no more, as if the target's process had ended.
    Closed,
    /// Connections live on, and new ones are refused.
    Full,
    /// Connections are silent, and new ones do not open: packets are lost on the way.
    Unreachable,
    /// Passes nothing on while it lasts, and keeps all connections open: a network partition. New
    /// connections are still accepted, and are as silent.
    Silent,
    /// Passes the request on, and resets the connection when the first byte of an answer comes.
    DropAnswer,
}

/// One way through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From who dialled to the target.
    Request,
    /// Back.
    Answer,
}

/// How the proxy is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct Control {
    /// What it does.
    pub mode: Mode,
    /// Where it leads; until set, connections wait.
    pub target: Option<SocketAddr>,
    /// Time each piece is held back, in either direction.
    pub delay: Duration,
    /// Bytes that each connection passes in a second, in either direction; none for no bound.
    pub bytes_per_second: Option<u64>,
    /// Connections are reset after this many bytes in that direction.
    pub cut_after: Option<(Direction, u64)>,
    /// Connections with lower numbers are silent for good.
    silent_below: u64,
    /// Connections with lower numbers are reset.
    reset_below: u64,
    /// The number of the next connection.
    next: u64,
    stopped: bool,
}

impl Control {
    /// Whether the connection of that number is to be reset.
    fn resets(&self, number: u64) -> bool {
        let cuts = matches!(self.mode, Mode::Cut | Mode::Closed);
        self.stopped || cuts || number < self.reset_below
    }

    /// Whether the connection of that number passes bytes on now.
    fn passes(&self, number: u64) -> bool {
        !matches!(self.mode, Mode::Silent | Mode::Unreachable) && number >= self.silent_below
    }

    /// Whether it takes no connections.
    fn is_shut(&self) -> bool {
        self.stopped || matches!(self.mode, Mode::Closed | Mode::Full | Mode::Unreachable)
    }
}

/// A started proxy; dropping it resets its connections and stops it.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    control: watch::Sender<Control>,
    passed: Arc<AtomicU64>,
}

/// Starts a proxy on the current runtime, without a target yet.
///
/// # Errors
/// When the address can't be listened on.
pub async fn start(listen: SocketAddr) -> io::Result<Proxy> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let (control, _) = watch::channel(Control::default());
    let passed = Arc::new(AtomicU64::new(0));
    tokio::spawn(accept(listener, control.clone(), Arc::clone(&passed)));
    Ok(Proxy { address, control, passed })
}

impl Proxy {
    /// Leads new connections, and those that wait, to a target.
    pub fn set_target(&self, target: SocketAddr) {
        self.control.send_modify(|control| control.target = Some(target));
    }

    /// Changes what it does with all connections.
    pub fn set_mode(&self, mode: Mode) {
        self.control.send_modify(|control| control.mode = mode);
    }

    /// Holds each piece back for a time, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.control.send_modify(|control| control.delay = delay);
    }

    /// Makes the link narrow: each connection passes so many bytes a second; none lifts it.
    pub fn set_bytes_per_second(&self, bytes_per_second: Option<u64>) {
        self.control.send_modify(|control| control.bytes_per_second = bytes_per_second);
    }

    /// Resets connections once so many bytes went that way; none lifts it.
    pub fn set_cut_after(&self, cut: Option<(Direction, u64)>) {
        self.control.send_modify(|control| control.cut_after = cut);
    }

    /// Makes the connections of now silent for good: they stay open and pass nothing, not even
    /// their end, while new ones work.
    pub fn silence_existing(&self) {
        self.control.send_modify(|control| control.silent_below = control.next);
    }

    /// Resets the connections of now; new ones work.
    pub fn reset_existing(&self) {
        self.control.send_modify(|control| control.reset_below = control.next);
    }

    /// Bytes passed on so far, both ways together.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted_count(&self) -> u64 {
        self.control.borrow().next
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.control.send_modify(|control| control.stopped = true);
    }
}

async fn accept(listener: TcpListener, control: watch::Sender<Control>, passed: Arc<AtomicU64>) {
    let mut watching = control.subscribe();
    let mut listening = Some(listener);
    while let Some(listener) = listening.take() {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            _ = watching.wait_for(Control::is_shut) => None,
        };
        let Some(accepted) = accepted else {
            listening = reopened(listener, &mut watching).await;
            continue;
        };
        listening = Some(listener);
        match accepted {
            Ok((stream, _)) => {
                let mut number = 0;
                control.send_modify(|control| {
                    number = control.next;
                    control.next += 1;
                });
                let passed = Arc::clone(&passed);
                tokio::spawn(connection(stream, number, control.subscribe(), passed));
            }
            Err(error) => log::warn!("proxy: accepting failed: {error}"),
        }
    }
}

/// Listens no more until the proxy is open again; none once it is stopped.
async fn reopened(
    listener: TcpListener,
    watching: &mut watch::Receiver<Control>,
) -> Option<TcpListener> {
    let address = listener.local_addr().ok()?;
    drop(listener);
    let mode = watching.borrow().mode;
    // Held until it is open again: whoever dials meanwhile waits for a place in its queue.
    let hole = match mode {
        Mode::Unreachable => hole(address).await,
        _ => None,
    };
    let changed = |control: &Control| control.stopped || control.mode != mode;
    if watching.wait_for(changed).await.ok()?.stopped {
        return None;
    }
    drop(hole);
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => tokio::time::sleep(REBIND).await,
        }
    }
}

/// A port at which no connection opens: its queue of new ones is full and nobody takes any.
async fn hole(address: SocketAddr) -> Option<(TcpListener, Vec<TcpStream>)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    let listener = socket.listen(1).ok()?;
    let mut queue = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(FILL, TcpStream::connect(address)).await {
        queue.push(stream);
    }
    Some((listener, queue))
}

/// Closes with a reset rather than an orderly end.
fn reset(stream: &TcpStream) {
    // Fails only on a socket that is gone already.
    let _ = stream.set_zero_linger();
}

async fn connection(
    caller: TcpStream,
    number: u64,
    mut control: watch::Receiver<Control>,
    all: Arc<AtomicU64>,
) {
    let mut watching = control.clone();
    let target = tokio::select! {
        target = connect(number, &mut control) => target,
        _ = watching.wait_for(|control| control.resets(number)) => None,
    };
    let Some(target) = target else {
        reset(&caller);
        return;
    };
    // Without these small pieces would wait for each other.
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let mut up = Pump::new(from_caller, to_target, Direction::Request, number, &control, &all);
    let mut down = Pump::new(from_target, to_caller, Direction::Answer, number, &control, &all);
    let ended_well = tokio::select! {
        both = async { tokio::try_join!(up.run(), down.run()) } => both.is_ok(),
        () = broken(&mut watching, number) => false,
    };
    if !ended_well {
        reset(down.to.as_ref());
        reset(up.to.as_ref());
    }
}

/// Waits until the connection is to be reset.
async fn broken(control: &mut watch::Receiver<Control>, number: u64) {
    // The sender outlives its connections: they end with it.
    let _ = control.wait_for(|control| control.resets(number)).await;
}

async fn connect(number: u64, control: &mut watch::Receiver<Control>) -> Option<TcpStream> {
    let ready = |control: &Control| control.target.is_some() && control.passes(number);
    let target = control.wait_for(ready).await.ok()?.target?;
    TcpStream::connect(target).await.ok()
}

/// Why a pump stopped before the orderly end.
struct Broken;

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Self
    }
}

struct Pump {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: Direction,
    number: u64,
    control: watch::Receiver<Control>,
    passed: u64,
    /// What all connections of the proxy passed.
    all: Arc<AtomicU64>,
}

impl Pump {
    fn new(
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        direction: Direction,
        number: u64,
        control: &watch::Receiver<Control>,
        all: &Arc<AtomicU64>,
    ) -> Self {
        let (control, all) = (control.clone(), Arc::clone(all));
        Self { from, to, direction, number, control, passed: 0, all }
    }

    async fn run(&mut self) -> Result<(), Broken> {
        self.pass_all().await?;
        self.to.shutdown().await?;
        Ok(())
    }

    async fn pass_all(&mut self) -> Result<(), Broken> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let length = self.from.read(&mut chunk).await?;
            self.wait_to_pass().await?;
            if length == 0 {
                return Ok(());
            }
            let control = *self.control.borrow();
            if !control.delay.is_zero() {
                tokio::time::sleep(control.delay).await;
                self.wait_to_pass().await?;
            }
            self.pass(&chunk[..length], &control).await?;
            if let Some(rate) = control.bytes_per_second {
                // Their time on the link.
                tokio::time::sleep(Duration::from_secs_f64(length as f64 / rate as f64)).await;
            }
        }
    }

    /// Holds everything back while the connection is silent, its end too.
    async fn wait_to_pass(&mut self) -> Result<(), Broken> {
        let number = self.number;
        self.control.wait_for(|control| control.passes(number)).await.map_err(|_| Broken)?;
        Ok(())
    }

    async fn pass(&mut self, bytes: &[u8], control: &Control) -> Result<(), Broken> {
        if control.mode == Mode::DropAnswer && self.direction == Direction::Answer {
            return Err(Broken);
        }
        let limit = match control.cut_after {
            Some((direction, limit)) if direction == self.direction => limit,
            _ => u64::MAX,
        };
        let room = usize::try_from(limit.saturating_sub(self.passed)).unwrap_or(usize::MAX);
        let bytes = &bytes[..bytes.len().min(room)];
        self.to.write_all(bytes).await?;
        self.passed += bytes.len() as u64;
        self.all.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.passed >= limit { Err(Broken) } else { Ok(()) }
    }
}
