//! How a host takes changes of a list from another one: one call on a connection of its own.
//!
//! Calls are few, and a connection that is kept can go silent while new ones work.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use futures::StreamExt;
use policy::revision::Revision;
use policy::{domain, tree};
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context::{Context, current as context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::LengthDelimitedCodec;
use wire::store::Error;

use crate::record::Snapshot;
use crate::store::{List, News};

/// Longest wait for a connection. Past it another host is asked.
const CONNECT: Duration = Duration::from_millis(250);
/// Longest time that one call may take: a host with a small part of a core that is taking thousands of
/// changes itself needs some hundred milliseconds.
const WITHIN: Duration = Duration::from_millis(700);
/// Longest message.
pub const MESSAGE_BYTES_MAX: usize = 64 << 10;
/// Length of a piece: each comes within the time of a call on a narrow link that several share, so that
/// the whole may be of any length.
const PIECE_BYTES: usize = 32 << 10;
/// Longest news that are passed on, compressed and not.
const PACKED_BYTES_MAX: u64 = 8 << 20;
const LONG_BYTES_MAX: u64 = 64 << 20;
/// All packed news that are kept together take so many bytes at most, but for the newest.
const SHELF_BYTES_MAX: usize = 4 << 20;
/// Packed news kept: for those that start, and for those that know one of the last few revisions.
const PACKED_MAX: usize = 6;
/// Hosts that read from one host at once, beyond those that ask it first: some whose own sources are lost.
/// More of them would share its link, and fill it for longer than their callers wait.
const READERS_SPARE: usize = 2;
/// How long a host that is about to have the news keeps one that asks for them.
const KEPT: Duration = Duration::from_millis(120);
/// Between two looks whether it has them.
const LOOK: Duration = Duration::from_millis(15);

/// Served by each host to the others of its failure domain.
#[tarpc::service]
pub trait Host {
    /// Opens what a host lacks that knows a list as of a revision, 0 for nothing, if it reaches at least up
    /// to another one.
    async fn give(list: List, after: Revision, least: Revision) -> Offer;
    /// A piece of what was opened, from a byte on; empty behind the last one.
    async fn piece(from: u64) -> Bytes;
    /// How roll-outs stand.
    async fn records() -> Vec<Snapshot>;
}

domain! {
    /// What a host is offered.
    pub enum Offer {
        /// What it lacks, compressed, to be read in pieces on this connection.
        Opened {
            /// The revision that it reaches up to.
            revision: Revision,
            /// Its length in bytes.
            bytes: u64,
            /// The first piece.
            first: Bytes,
        },
        /// This host is being given it itself, or gives to enough others.
        Later,
        /// This host has not got it.
        Nothing,
    }

    /// Whether a host has what another one lacks.
    #[derive(Copy, Eq)]
    pub enum Holds {
        /// It has, and the newest change that it knows is this one.
        Up(Revision),
        /// It is being given it itself.
        Later,
        /// It has not.
        Nothing,
    }

    /// What a host was given.
    pub enum Given {
        /// What it lacks.
        News(News),
        /// Nothing yet.
        Later,
        /// Nothing.
        Nothing,
    }
}

/// What has the news.
pub trait Source: Send + Sync + 'static {
    /// Whether this host knows a list at least up to a revision.
    fn holds(&self, list: List, least: Revision) -> Holds;
    /// What a host lacks that knows a list as of a revision.
    fn news(&self, list: List, after: Revision) -> Option<News>;
    /// How roll-outs stand.
    fn records(&self) -> Vec<Snapshot>;
}

/// News as they are passed on, until newer ones are.
///
/// Most of those who ask know the same, and what this host was given itself it gives to others as it
/// came: to unpack and to pack thousands of entries at each step takes a small core longer than its
/// link.
#[derive(Clone, Debug)]
struct Packed {
    list: List,
    after: Revision,
    revision: Revision,
    bytes: Bytes,
}

/// What this host passes on.
#[derive(Clone, Default)]
pub struct Shelf(Arc<Mutex<Vec<Packed>>>);

impl Shelf {
    /// What was packed for those who know a list as of a revision, if it reaches up to another one.
    fn find(&self, list: List, after: Revision, least: Revision) -> Option<Packed> {
        let held = lock(&self.0);
        let is_it =
            |held: &&Packed| (held.list, held.after) == (list, after) && held.revision >= least;
        held.iter().find(is_it).cloned()
    }

    fn put(&self, packed: Packed) {
        let mut held = lock(&self.0);
        held.retain(|other| (other.list, other.after) != (packed.list, packed.after));
        held.insert(0, packed);
        let mut bytes = 0;
        held.retain(|packed| {
            bytes += packed.bytes.len();
            bytes <= SHELF_BYTES_MAX || bytes == packed.bytes.len()
        });
        held.truncate(PACKED_MAX);
    }
}

/// What is read in pieces on one connection.
struct Opened {
    packed: Bytes,
    /// Frees the place for another host when the connection ends.
    _place: OwnedSemaphorePermit,
}

/// Serves one connection.
struct Server<S> {
    source: Arc<S>,
    places: Arc<Semaphore>,
    shelf: Shelf,
    opened: Arc<Mutex<Option<Opened>>>,
}

impl<S> Clone for Server<S> {
    fn clone(&self) -> Self {
        Self {
            source: Arc::clone(&self.source),
            places: Arc::clone(&self.places),
            shelf: self.shelf.clone(),
            opened: Arc::clone(&self.opened),
        }
    }
}

impl<S: Source> Host for Server<S> {
    async fn give(self, _: Context, list: List, after: Revision, least: Revision) -> Offer {
        let until = tokio::time::Instant::now() + KEPT;
        loop {
            let offer = self.offer(list, after, least);
            if offer != Offer::Later || tokio::time::Instant::now() >= until {
                return offer;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn piece(self, _: Context, from: u64) -> Bytes {
        let opened = lock(&self.opened);
        let packed = opened.as_ref().map(|opened| opened.packed.clone()).unwrap_or_default();
        piece(&packed, from)
    }

    async fn records(self, _: Context) -> Vec<Snapshot> {
        self.source.records()
    }
}

impl<S: Source> Server<S> {
    /// Makes news ready for being read in pieces.
    fn offer(&self, list: List, after: Revision, least: Revision) -> Offer {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else { return Offer::Later };
        let held = self.source.holds(list, least);
        // What has just come to this host is passed on before the host has taken it in itself.
        let newest = if let Holds::Up(changed) = held { changed.max(least) } else { least };
        let packed = self.shelf.find(list, after, newest);
        let packed = match (packed, held) {
            (Some(packed), _) => packed,
            (None, Holds::Up(_)) => match self.pack(list, after) {
                Some(packed) => packed,
                None => return Offer::Nothing,
            },
            (None, Holds::Later) => return Offer::Later,
            (None, Holds::Nothing) => return Offer::Nothing,
        };
        let Packed { revision, bytes, .. } = packed;
        let first = piece(&bytes, 0);
        let length = bytes.len() as u64;
        *lock(&self.opened) = Some(Opened { packed: bytes, _place: place });
        Offer::Opened { revision, bytes: length, first }
    }

    fn pack(&self, list: List, after: Revision) -> Option<Packed> {
        let news = self.source.news(list, after)?;
        let bytes = pack(&news).inspect_err(|error| {
            log::error!(target: "peers", list:? = list, error:% = error; "news not written");
        });
        let packed = Packed { list, after, revision: news.revision, bytes: bytes.ok()? };
        self.shelf.put(packed.clone());
        Some(packed)
    }
}

fn piece(packed: &Bytes, from: u64) -> Bytes {
    let from = usize::try_from(from).unwrap_or(usize::MAX).min(packed.len());
    packed.slice(from..packed.len().min(from + PIECE_BYTES))
}

/// News as they are passed on. Thousands of entries that are much alike take a fourth of the bytes, and
/// the links are what hosts that start together wait for.
fn pack(news: &News) -> Result<Bytes, Error> {
    let malformed = |error: &dyn std::fmt::Display| Error::Malformed(error.to_string());
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    rmp_serde::encode::write(&mut packer, news).map_err(|error| malformed(&error))?;
    packer.finish().map(Bytes::from).map_err(|error| malformed(&error))
}

fn unpack(packed: &[u8]) -> Result<News, Error> {
    let unpacked = ZlibDecoder::new(packed).take(LONG_BYTES_MAX);
    rmp_serde::from_read(unpacked).map_err(|error| Error::Malformed(error.to_string()))
}

/// Serves other hosts until the process ends; a host of a higher class serves more at once.
pub async fn serve<S: Source>(listener: TcpListener, source: Arc<S>, shelf: Shelf, class: u8) {
    let places = Arc::new(Semaphore::new(tree::children_max(class, 0) + READERS_SPARE));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Server {
                    source: Arc::clone(&source),
                    places: Arc::clone(&places),
                    shelf: shelf.clone(),
                    opened: Arc::default(),
                };
                tokio::spawn(serve_one(stream, server));
            }
            Err(error) => log::warn!(target: "peers", error:% = error; "accept failed"),
        }
    }
}

/// Serves one connection for as long as calls come on it.
async fn serve_one<S: Source>(stream: TcpStream, server: Server<S>) {
    let calls = BaseChannel::with_defaults(transport(stream)).execute(server.serve());
    let mut calls = std::pin::pin!(calls);
    loop {
        match tokio::time::timeout(WITHIN, calls.next()).await {
            Ok(Some(call)) => call.await,
            Ok(None) => return,
            Err(_) => {
                log::debug!(target: "peers", "connection left open by the other host");
                return;
            }
        }
    }
}

/// Asks another host for what this one lacks of a list behind a revision, at least up to another one,
/// and passes it on from then on.
///
/// # Errors
/// When a piece does not come in time, or the whole can't be read; reading has no effect.
pub async fn ask(
    from: SocketAddr,
    (list, after, least): (List, Revision, Revision),
    shelf: &Shelf,
) -> Result<Given, Error> {
    let host = connect(from).await?;
    match within(async { host.give(context(), list, after, least).await.map_err(lost) }).await? {
        Offer::Opened { revision, bytes, first } => {
            let bytes = read_pieces(&host, bytes, first).await?;
            shelf.put(Packed { list, after, revision, bytes: bytes.clone() });
            unpack(&bytes).map(Given::News)
        }
        Offer::Later => Ok(Given::Later),
        Offer::Nothing => Ok(Given::Nothing),
    }
}

fn lost(error: RpcError) -> Error {
    Error::Lost(error.to_string())
}

/// Reads on in what another host has opened.
async fn read_pieces(host: &HostClient, length: u64, first: Bytes) -> Result<Bytes, Error> {
    if length > PACKED_BYTES_MAX {
        return Err(Error::Malformed(format!("{length} bytes")));
    }
    let mut packed = first.to_vec();
    while (packed.len() as u64) < length {
        let from = packed.len() as u64;
        let piece = within(async { host.piece(context(), from).await.map_err(lost) }).await?;
        if piece.is_empty() {
            return Err(Error::Partial(format!("the end after {from} bytes of {length}")));
        }
        packed.extend_from_slice(&piece);
    }
    Ok(Bytes::from(packed))
}

/// Asks another host how roll-outs stand.
///
/// # Errors
/// When it gives no answer in time; reading has no effect.
pub async fn ask_records(from: SocketAddr) -> Result<Vec<Snapshot>, Error> {
    within(async {
        let answer = connect(from).await?.records(context()).await;
        answer.map_err(|error| Error::Lost(error.to_string()))
    })
    .await
}

async fn within<T>(exchange: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let answer = tokio::time::timeout(WITHIN, exchange).await;
    answer.unwrap_or_else(|_| Err(Error::Lost("no answer in time".to_owned())))
}

async fn connect(to: SocketAddr) -> Result<HostClient, Error> {
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(to)).await;
    let connected = connecting.map_err(|_| Error::Refused("no connection in time".to_owned()))?;
    let stream = connected.map_err(|error| Error::Refused(error.to_string()))?;
    Ok(HostClient::new(client::Config::default(), transport(stream)).spawn())
}

fn transport<In, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, MessagePack<In, Out>>
where
    In: for<'a> serde::Deserialize<'a>,
    Out: serde::Serialize,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "peers", error:% = error; "small packets may wait");
    }
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MESSAGE_BYTES_MAX).new_framed(stream);
    tarpc::serde_transport::new(framed, MessagePack::default())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
