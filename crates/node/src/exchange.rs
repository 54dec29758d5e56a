//! Calls by which a host fetches updates of a list from a peer, each on a connection of its own.
//!
//! Calls are rare, and a connection that is kept open can go silent while new connections still
//! work.

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

use crate::caches::CachedPart;
use crate::record::RolloutState;
use crate::store::{List, Update};

/// Longest wait for a connection to a peer; after it another peer is asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest duration of a call. A host with a small share of a core that is applying thousands of
/// changes itself needs some hundred milliseconds to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 64 << 10;
/// Most cached parts in an answer, which must not be longer than [`MESSAGE_BYTES_MAX`].
pub const CACHED_PARTS_MAX: usize = 800;
/// Length of a piece of a package. A piece arrives within the call timeout even on a narrow link
/// that several hosts share, so a package may be of any length.
const PIECE_BYTES: usize = 32 << 10;
/// Longest update that is passed on, compressed (`PACKED`) and uncompressed (`UNPACKED`).
const PACKED_BYTES_MAX: u64 = 8 << 20;
const UNPACKED_BYTES_MAX: u64 = 64 << 20;
/// Total length of the cached packages. The newest one is kept even if it is longer.
const CACHE_BYTES_MAX: usize = 4 << 20;
/// Cached packages: one for hosts that start, the others for hosts whose copies are at one of the
/// last few revisions.
const CACHED_COUNT_MAX: usize = 6;
/// Peers that may read from a host at once, beyond those that ask it first: some whose own sources
/// are lost. More of them would share its link and fill it for longer than their callers wait.
const SPARE_SLOTS_COUNT: usize = 2;
/// How long a host keeps a request for an update that it is about to receive itself, before it
/// answers [`Offer::Later`].
const HOLD: Duration = Duration::from_millis(120);
/// Interval at which a host that keeps a request checks whether it has received the update.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Service of each host for its peers in the failure domain.
#[tarpc::service]
pub trait Host {
    /// Opens the changes of a list behind `after` (the whole list for revision 0) for reading on
    /// this connection, if they reach at least up to `least`.
    async fn give(list: List, after: Revision, least: Revision) -> Offer;
    /// The piece of the opened package that begins at byte `from`; empty behind the end.
    async fn piece(from: u64) -> Bytes;
    /// States of all roll-outs that the host knows.
    async fn records() -> Vec<RolloutState>;
    /// Shared parts of prompts that the host believes engines to have cached.
    async fn cached() -> Vec<CachedPart>;
}

domain! {
    /// Answer to a request for an update.
    pub enum Offer {
        /// The update is compressed and can be read in pieces on this connection.
        Opened {
            /// Revision up to which the update reaches.
            revision: Revision,
            /// Length of the whole package, in bytes.
            bytes: u64,
            /// First piece of the package.
            first: Bytes,
        },
        /// This host is about to receive the update itself, or already serves enough peers.
        Later,
        /// This host does not have the update.
        Nothing,
    }

    /// Whether a host has an update that a peer requests.
    #[derive(Copy, Eq)]
    pub enum Availability {
        /// The host has it; the newest change in its copy of the list is at this revision.
        #[serde(rename = "Up")]
        UpTo(Revision),
        /// The host is fetching the update itself.
        Later,
        /// The host does not have the update and is not fetching it.
        Nothing,
    }

    /// Result of requesting an update from a peer.
    pub enum Reply {
        /// The update that the peer gave.
        #[serde(rename = "News")]
        Update(Update),
        /// The peer will have the update soon, or serves enough others now.
        Later,
        /// The peer does not have the update.
        Nothing,
    }
}

/// Copy of the lists from which peers are served.
pub trait Source: Send + Sync + 'static {
    /// Whether this host's copy of a list reaches at least up to revision `least`.
    fn availability(&self, list: List, least: Revision) -> Availability;
    /// What a peer lacks whose copy of a list is at revision `after`.
    fn update_since(&self, list: List, after: Revision) -> Option<Update>;
    /// States of all roll-outs that this host knows.
    fn rollouts(&self) -> Vec<RolloutState>;
    /// Shared parts of prompts that engines have cached, at most `max`.
    fn cached_parts(&self, max: usize) -> Vec<CachedPart>;
}

/// Compressed update, kept until a newer one replaces it.
///
/// Most peers that ask lack the same changes. A package that this host received is passed on as it
/// came: to unpack and pack thousands of entries at each step takes a small core longer than its
/// link takes for the bytes.
#[derive(Clone, Debug)]
struct Package {
    list: List,
    after: Revision,
    revision: Revision,
    bytes: Bytes,
}

/// Packages that this host passes on, newest first.
#[derive(Clone, Default)]
pub struct Cache(Arc<Mutex<Vec<Package>>>);

impl Cache {
    /// The package for a copy at revision `after`, if it reaches at least up to `least`.
    fn find(&self, list: List, after: Revision, least: Revision) -> Option<Package> {
        let packages = lock(&self.0);
        let is_match =
            |item: &&Package| (item.list, item.after) == (list, after) && item.revision >= least;
        packages.iter().find(is_match).cloned()
    }

    fn insert(&self, package: Package) {
        let mut packages = lock(&self.0);
        packages.retain(|other| (other.list, other.after) != (package.list, package.after));
        packages.insert(0, package);
        let mut bytes = 0;
        packages.retain(|package| {
            bytes += package.bytes.len();
            bytes <= CACHE_BYTES_MAX || bytes == package.bytes.len()
        });
        packages.truncate(CACHED_COUNT_MAX);
    }
}

/// A package that is being read in pieces on one connection.
struct OpenedPackage {
    packed: Bytes,
    /// Frees the slot for another peer when the connection ends.
    _slot: OwnedSemaphorePermit,
}

/// Server of one connection.
struct Server<S> {
    source: Arc<S>,
    slots: Arc<Semaphore>,
    cache: Cache,
    opened: Arc<Mutex<Option<OpenedPackage>>>,
}

impl<S> Clone for Server<S> {
    fn clone(&self) -> Self {
        Self {
            source: Arc::clone(&self.source),
            slots: Arc::clone(&self.slots),
            cache: self.cache.clone(),
            opened: Arc::clone(&self.opened),
        }
    }
}

impl<S: Source> Host for Server<S> {
    async fn give(self, _: Context, list: List, after: Revision, least: Revision) -> Offer {
        let until = tokio::time::Instant::now() + HOLD;
        loop {
            let offer = self.offer(list, after, least);
            if offer != Offer::Later || tokio::time::Instant::now() >= until {
                return offer;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn piece(self, _: Context, from: u64) -> Bytes {
        let opened = lock(&self.opened);
        let packed = opened.as_ref().map(|opened| opened.packed.clone()).unwrap_or_default();
        piece(&packed, from)
    }

    async fn records(self, _: Context) -> Vec<RolloutState> {
        self.source.rollouts()
    }

    async fn cached(self, _: Context) -> Vec<CachedPart> {
        self.source.cached_parts(CACHED_PARTS_MAX)
    }
}

impl<S: Source> Server<S> {
    /// Opens the requested update for reading in pieces, if there is a free slot.
    fn offer(&self, list: List, after: Revision, least: Revision) -> Offer {
        let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() else { return Offer::Later };
        let availability = self.source.availability(list, least);
        // A package that has just been received is passed on before this host has applied it.
        let newest =
            if let Availability::UpTo(changed) = availability { changed.max(least) } else { least };
        let package = self.cache.find(list, after, newest);
        let package = match (package, availability) {
            (Some(package), _) => package,
            (None, Availability::UpTo(_)) => match self.pack_and_cache(list, after) {
                Some(package) => package,
                None => return Offer::Nothing,
            },
            (None, Availability::Later) => return Offer::Later,
            (None, Availability::Nothing) => return Offer::Nothing,
        };
        let Package { revision, bytes, .. } = package;
        let first = piece(&bytes, 0);
        let length = bytes.len() as u64;
        *lock(&self.opened) = Some(OpenedPackage { packed: bytes, _slot: slot });
        Offer::Opened { revision, bytes: length, first }
    }

    fn pack_and_cache(&self, list: List, after: Revision) -> Option<Package> {
        let update = self.source.update_since(list, after)?;
        let bytes = pack(&update).inspect_err(|error| {
            log::error!(target: "peers", list:? = list, error:% = error;
                "update can't be serialized");
        });
        let package = Package { list, after, revision: update.revision, bytes: bytes.ok()? };
        self.cache.insert(package.clone());
        Some(package)
    }
}

fn piece(packed: &Bytes, from: u64) -> Bytes {
    let from = usize::try_from(from).unwrap_or(usize::MAX).min(packed.len());
    packed.slice(from..packed.len().min(from + PIECE_BYTES))
}

/// Compresses an update. Thousands of similar entries shrink to a fourth, and hosts that start
/// together wait for the links.
fn pack(update: &Update) -> Result<Bytes, Error> {
    let malformed = |error: &dyn std::fmt::Display| Error::Malformed(error.to_string());
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    rmp_serde::encode::write(&mut packer, update).map_err(|error| malformed(&error))?;
    packer.finish().map(Bytes::from).map_err(|error| malformed(&error))
}

fn unpack(packed: &[u8]) -> Result<Update, Error> {
    let unpacked = ZlibDecoder::new(packed).take(UNPACKED_BYTES_MAX);
    rmp_serde::from_read(unpacked).map_err(|error| Error::Malformed(error.to_string()))
}

/// Serves peers until the process ends. A host of a higher strength class serves more of them at
/// once.
pub async fn serve<S: Source>(listener: TcpListener, source: Arc<S>, cache: Cache, class: u8) {
    let slots = Arc::new(Semaphore::new(tree::children_max(class, 0) + SPARE_SLOTS_COUNT));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Server {
                    source: Arc::clone(&source),
                    slots: Arc::clone(&slots),
                    cache: cache.clone(),
                    opened: Arc::default(),
                };
                tokio::spawn(serve_connection(stream, server));
            }
            Err(error) => log::warn!(target: "peers", error:% = error; "accepting a peer failed"),
        }
    }
}

/// Serves one connection until it ends or no call comes within the call timeout.
async fn serve_connection<S: Source>(stream: TcpStream, server: Server<S>) {
    let calls = BaseChannel::with_defaults(transport(stream)).execute(server.serve());
    let mut calls = std::pin::pin!(calls);
    loop {
        match tokio::time::timeout(CALL_TIMEOUT, calls.next()).await {
            Ok(Some(call)) => call.await,
            Ok(None) => return,
            Err(_) => {
                log::debug!(target: "peers",
                    "connection closed: no call from the peer within the timeout");
                return;
            }
        }
    }
}

/// Requests the changes of a list behind `after`, at least up to `least`, from the peer at `from`.
/// The received package goes into `cache`, from where it is passed on at once.
///
/// # Errors
/// If the connection fails, a piece is late or the update can't be decoded. The request can be
/// repeated: it changes nothing at the peer.
pub async fn request_update(
    from: SocketAddr,
    (list, after, least): (List, Revision, Revision),
    cache: &Cache,
) -> Result<Reply, Error> {
    let host = connect(from).await?;
    match with_timeout(async { host.give(context(), list, after, least).await.map_err(call_error) })
        .await?
    {
        Offer::Opened { revision, bytes, first } => {
            let bytes = read_pieces(&host, bytes, first).await?;
            cache.insert(Package { list, after, revision, bytes: bytes.clone() });
            unpack(&bytes).map(Reply::Update)
        }
        Offer::Later => Ok(Reply::Later),
        Offer::Nothing => Ok(Reply::Nothing),
    }
}

fn call_error(error: RpcError) -> Error {
    Error::Lost(error.to_string())
}

/// Reads the rest of an opened package, piece by piece.
async fn read_pieces(host: &HostClient, length: u64, first: Bytes) -> Result<Bytes, Error> {
    if length > PACKED_BYTES_MAX {
        return Err(Error::Malformed(format!("a package of {length} bytes")));
    }
    let mut packed = first.to_vec();
    while (packed.len() as u64) < length {
        let from = packed.len() as u64;
        let piece =
            with_timeout(async { host.piece(context(), from).await.map_err(call_error) }).await?;
        if piece.is_empty() {
            return Err(Error::Partial(format!("the package ends after {from} of {length} bytes")));
        }
        packed.extend_from_slice(&piece);
    }
    Ok(Bytes::from(packed))
}

/// Requests the states of all roll-outs from the peer at `from`.
///
/// # Errors
/// If there is no answer in time. The request can be repeated: it changes nothing at the peer.
pub async fn request_rollouts(from: SocketAddr) -> Result<Vec<RolloutState>, Error> {
    with_timeout(async {
        let answer = connect(from).await?.records(context()).await;
        answer.map_err(|error| Error::Lost(error.to_string()))
    })
    .await
}

/// Requests the shared parts of prompts that the peer at `from` believes engines to have cached.
///
/// # Errors
/// If there is no answer in time, also from a host of a version that does not know the call. The
/// request can be repeated: it changes nothing at the peer.
pub async fn request_cached_parts(from: SocketAddr) -> Result<Vec<CachedPart>, Error> {
    let host = connect(from).await?;
    with_timeout(async { host.cached(context()).await.map_err(call_error) }).await
}

async fn with_timeout<T>(exchange: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    answer.unwrap_or_else(|_| Err(Error::Lost("no answer within the call timeout".to_owned())))
}

async fn connect(to: SocketAddr) -> Result<HostClient, Error> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let connected =
        connecting.map_err(|_| Error::Refused("no connection within the timeout".to_owned()))?;
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
        log::debug!(target: "peers", error:% = error;
            "TCP_NODELAY not set, short messages may be delayed");
    }
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MESSAGE_BYTES_MAX).new_framed(stream);
    tarpc::serde_transport::new(framed, MessagePack::default())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
