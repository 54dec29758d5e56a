//! How a host takes changes of a list from another one: one call on a connection of its own.
//!
//! Calls are few, and a connection that is kept can go silent while new ones work.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use entry::clock;
use futures::StreamExt;
use policy::domain;
use policy::limit::{Limit, Usage, Verdict};
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

/// Longest time that one call may take. Past it the store is asked.
const WITHIN: Duration = Duration::from_millis(250);
/// Longest message. Longer news are read in pieces, or from the store, whose link is wider than a
/// host's.
pub const MESSAGE_BYTES_MAX: usize = 64 << 10;
/// Length of a piece: each comes within the time of a call on a narrow link, so that the whole may
/// be of any length.
const PIECE_BYTES: usize = 32 << 10;
/// Longest news that are read in pieces.
const LONG_BYTES_MAX: u64 = 32 << 20;
/// Hosts that read in pieces from one host at once. More of them would share its link, and fill it
/// for longer than their callers wait; they find another host that has the news, or the store.
const READERS_MAX: usize = 2;
/// Hosts that were given news lately, remembered for those that find this one busy.
const GIVEN_MAX: usize = 32;
/// Exchanges served in a second at most, and in one burst: what a core's fiftieth can do. Who is not
/// served asks the store.
const SERVED: Limit = Limit { requests_per_second: 100.0, in_flight: 0 };

/// Served by each host to the others of its failure domain.
#[tarpc::service]
pub trait Host {
    /// What a host lacks that knows a list as of a revision; none if it is to be had from the
    /// store.
    async fn news(list: List, after: u64) -> Option<News>;
    /// A piece of what was opened, from a byte on; empty behind the last one.
    async fn piece(from: u64) -> Bytes;
    /// How roll-outs stand.
    async fn records() -> Vec<Snapshot>;
    /// Opens what a host lacks that knows a list as of a revision, 0 for nothing, and that serves
    /// others at an address.
    async fn give(list: List, after: u64, host: SocketAddr) -> Offer;
}

domain! {
    /// What a host is offered.
    pub enum Offer {
        /// What it lacks, to be read in pieces on this connection.
        Opened {
            /// Its length in bytes.
            bytes: u64,
        },
        /// Enough other hosts are reading; these were given news lately.
        Busy {
            /// Where they serve others.
            others: Vec<SocketAddr>,
        },
        /// This host has not read the list.
        Nothing,
    }

    /// What a host was given.
    pub enum Given {
        /// What it lacks.
        News(News),
        /// Nothing yet; these hosts may have it.
        Busy(Vec<SocketAddr>),
        /// Nothing.
        Nothing,
    }
}

/// What has the news.
pub trait Source: Send + Sync + 'static {
    /// What a host lacks that knows a list as of a revision, if that is little.
    fn news(&self, list: List, after: u64) -> Option<News>;
    /// The same, however much that is.
    fn all_news(&self, list: List, after: u64) -> Option<News>;
    /// How roll-outs stand.
    fn records(&self) -> Vec<Snapshot>;
}

/// What is read in pieces on one connection.
struct Opened {
    text: Bytes,
    /// Frees the place for another host when the connection ends.
    _place: OwnedSemaphorePermit,
}

/// Serves one connection.
struct Server<S> {
    source: Arc<S>,
    served: Arc<Mutex<Usage>>,
    places: Arc<Semaphore>,
    given: Arc<Mutex<VecDeque<SocketAddr>>>,
    opened: Arc<Mutex<Option<Opened>>>,
}

impl<S> Clone for Server<S> {
    fn clone(&self) -> Self {
        Self {
            source: Arc::clone(&self.source),
            served: Arc::clone(&self.served),
            places: Arc::clone(&self.places),
            given: Arc::clone(&self.given),
            opened: Arc::clone(&self.opened),
        }
    }
}

impl<S: Source> Host for Server<S> {
    async fn news(self, _: Context, list: List, after: u64) -> Option<News> {
        match self.is_served() {
            true => self.source.news(list, after),
            false => None,
        }
    }

    async fn piece(self, _: Context, from: u64) -> Bytes {
        let opened = lock(&self.opened);
        let text = opened.as_ref().map(|opened| opened.text.clone()).unwrap_or_default();
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(text.len());
        text.slice(from..text.len().min(from + PIECE_BYTES))
    }

    async fn records(self, _: Context) -> Vec<Snapshot> {
        match self.is_served() {
            true => self.source.records(),
            false => Vec::new(),
        }
    }

    async fn give(self, _: Context, list: List, after: u64, host: SocketAddr) -> Offer {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            return Offer::Busy { others: lock(&self.given).iter().copied().collect() };
        };
        let Some(bytes) = self.open_news(list, after, place) else { return Offer::Nothing };
        let mut given = lock(&self.given);
        given.retain(|other| *other != host);
        given.push_back(host);
        let beyond = given.len().saturating_sub(GIVEN_MAX);
        given.drain(..beyond);
        Offer::Opened { bytes }
    }
}

impl<S: Source> Server<S> {
    /// Makes news ready for being read in pieces; their length.
    fn open_news(&self, list: List, after: u64, place: OwnedSemaphorePermit) -> Option<u64> {
        let news = self.source.all_news(list, after)?;
        let text = rmp_serde::to_vec(&news).inspect_err(|error| {
            log::error!(target: "peers", list:? = list, error:% = error; "news not written");
        });
        let text = Bytes::from(text.ok()?);
        let length = text.len() as u64;
        *lock(&self.opened) = Some(Opened { text, _place: place });
        Some(length)
    }
}

impl<S> Server<S> {
    fn is_served(&self) -> bool {
        let mut served = lock(&self.served);
        matches!(served.take(&SERVED, 1, 0.0, clock::steady()), Verdict::Granted)
    }
}

/// Serves other hosts until the process ends.
pub async fn serve<S: Source>(listener: TcpListener, source: Arc<S>) {
    let served = Arc::default();
    let places = Arc::new(Semaphore::new(READERS_MAX));
    let given = Arc::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Server {
                    source: Arc::clone(&source),
                    served: Arc::clone(&served),
                    places: Arc::clone(&places),
                    given: Arc::clone(&given),
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

/// Asks another host for what this one lacks.
///
/// # Errors
/// When it gives no answer in time; reading has no effect.
pub async fn ask(from: SocketAddr, list: List, after: u64) -> Result<Option<News>, Error> {
    within(async {
        let answer = connect(from).await?.news(context(), list, after).await;
        answer.map_err(|error| Error::Lost(error.to_string()))
    })
    .await
}

/// Reads from another host, in pieces, what this one lacks, however long it is; this one serves
/// others at an address.
///
/// # Errors
/// When a piece does not come in time, or the whole can't be read; reading has no effect.
pub async fn ask_given(
    from: SocketAddr,
    list: List,
    after: u64,
    own: SocketAddr,
) -> Result<Given, Error> {
    let host = within(connect(from)).await?;
    match within(async { host.give(context(), list, after, own).await.map_err(lost) }).await? {
        Offer::Opened { bytes } => read_pieces(&host, bytes).await.map(Given::News),
        Offer::Busy { others } => Ok(Given::Busy(others)),
        Offer::Nothing => Ok(Given::Nothing),
    }
}

fn lost(error: RpcError) -> Error {
    Error::Lost(error.to_string())
}

/// Reads what another host has opened.
async fn read_pieces(host: &HostClient, length: u64) -> Result<News, Error> {
    if length > LONG_BYTES_MAX {
        return Err(Error::Malformed(format!("{length} bytes")));
    }
    let mut text = Vec::new();
    while (text.len() as u64) < length {
        let from = text.len() as u64;
        let piece = within(async { host.piece(context(), from).await.map_err(lost) }).await?;
        if piece.is_empty() {
            return Err(Error::Partial(format!("the end after {from} bytes of {length}")));
        }
        text.extend_from_slice(&piece);
    }
    rmp_serde::from_slice(&text).map_err(|error| Error::Malformed(error.to_string()))
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
    let stream = TcpStream::connect(to).await.map_err(|e| Error::Refused(e.to_string()))?;
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
