//! Connections between our processes: a handshake that proves the shared key, then tarpc.
//!
//! Both sides send a random challenge and answer the other's with an HMAC over it, so neither a
//! stranger nor a recording gets in. What follows is not encrypted; the operators' pages say so.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::rpc::{ControlClient, ControlRequest, ControlResponse};

/// Longest message, in bytes: a whole shard or document fits.
const FRAME_BYTES_MAX: usize = 32 << 20;
/// Calls of one connection under way at a time.
const CALLS_MAX: usize = 4096;
/// Time in which the handshake must be done.
const HANDSHAKE: Duration = Duration::from_secs(2);
const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

/// Why a call to a control has no answer.
#[derive(Debug)]
pub enum Error {
    /// No connection: nothing was sent.
    Connect(std::io::Error),
    /// The other side does not hold the shared key.
    Unauthenticated,
    /// The connection broke or the time passed: it may have taken effect.
    Lost(RpcError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "no connection: {error}"),
            Self::Unauthenticated => f.write_str("the peer does not hold the shared key"),
            Self::Lost(error) => write!(f, "no answer: {error}"),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Connect(error)
    }
}

/// The shared key.
#[derive(Clone)]
pub struct Key(Arc<[u8]>);

impl Key {
    /// From the secret's bytes.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }

    /// `side` keeps a proof from being played back to the one who asked for it.
    fn mac(&self, side: u8, challenge: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(b"chestnutspur peer 1");
        mac.update(&[side]);
        mac.update(challenge);
        mac
    }
}

async fn handshake(stream: &mut TcpStream, key: &Key, dialer: bool) -> Result<(), Error> {
    let mut ours = [0_u8; CHALLENGE_BYTES];
    rand::rng().fill_bytes(&mut ours);
    stream.write_all(&ours).await?;
    let mut theirs = [0_u8; CHALLENGE_BYTES];
    stream.read_exact(&mut theirs).await?;
    let proof = key.mac(u8::from(dialer), &theirs).finalize().into_bytes();
    stream.write_all(&proof).await?;
    let mut answer = [0_u8; PROOF_BYTES];
    stream.read_exact(&mut answer).await.map_err(|_| Error::Unauthenticated)?;
    let expected = key.mac(u8::from(!dialer), &ours);
    expected.verify_slice(&answer).map_err(|_| Error::Unauthenticated)
}

async fn proven(mut stream: TcpStream, key: &Key, dialer: bool) -> Result<TcpStream, Error> {
    stream.set_nodelay(true)?;
    match tokio::time::timeout(HANDSHAKE, handshake(&mut stream, key, dialer)).await {
        Ok(result) => result.map(|()| stream),
        Err(_) => Err(Error::Connect(std::io::ErrorKind::TimedOut.into())),
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_framed(stream)
}

/// How requests come in and answers go out on one proven connection.
pub type Transport = tarpc::serde_transport::Transport<
    TcpStream,
    ClientMessage<ControlRequest>,
    Response<ControlResponse>,
    MessagePack<ClientMessage<ControlRequest>, Response<ControlResponse>>,
>;

/// Proves one accepted connection; the caller executes its service on the channel.
///
/// # Errors
/// When the other side fails the handshake.
pub async fn accept(
    stream: TcpStream,
    key: &Key,
) -> Result<BaseChannel<ControlRequest, ControlResponse, Transport>, Error> {
    let stream = proven(stream, key, false).await?;
    let transport = tarpc::serde_transport::new(framed(stream), MessagePack::default());
    Ok(BaseChannel::with_defaults(transport))
}

/// A lasting way to one control, over one connection that is made anew when it fails.
///
/// A call that gets no answer in its time closes the connection. A peer can lose track of a
/// connection while new ones work: every later call on it would time out as well. The next call
/// dials again, so at most the calls under way are lost.
pub struct Link {
    address: SocketAddr,
    key: Key,
    slot: Mutex<Slot>,
}

#[derive(Default)]
struct Slot {
    client: Option<ControlClient>,
    serial: u64,
}

impl Link {
    /// Nothing is dialled until the first call.
    #[must_use]
    pub fn new(address: SocketAddr, key: Key) -> Self {
        Self { address, key, slot: Mutex::default() }
    }

    /// Where it leads.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn client(&self) -> Result<(ControlClient, u64), Error> {
        let mut slot = self.slot.lock().await;
        if let Some(client) = &slot.client {
            return Ok((client.clone(), slot.serial));
        }
        let stream = TcpStream::connect(self.address).await?;
        let stream = proven(stream, &self.key, true).await?;
        let transport = tarpc::serde_transport::new(framed(stream), MessagePack::default());
        let mut config = Config::default();
        config.max_in_flight_requests = CALLS_MAX;
        config.pending_request_buffer = CALLS_MAX;
        let client = ControlClient::new(config, transport).spawn();
        slot.client = Some(client.clone());
        slot.serial += 1;
        Ok((client, slot.serial))
    }

    async fn close(&self, serial: u64) {
        let mut slot = self.slot.lock().await;
        if slot.serial == serial {
            slot.client = None;
        }
    }

    /// Makes one call, dialling included, within a time.
    ///
    /// # Errors
    /// Any [`Error`]; only [`Error::Lost`] can have taken effect.
    pub async fn call<T, F, A>(&self, within: Duration, ask: F) -> Result<T, Error>
    where
        F: FnOnce(ControlClient, Context) -> A,
        A: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + within;
        let (client, serial) = match tokio::time::timeout(within, self.client()).await {
            Ok(connected) => connected?,
            Err(_) => return Err(Error::Connect(std::io::ErrorKind::TimedOut.into())),
        };
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        match ask(client, context).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                self.close(serial).await;
                Err(Error::Lost(error))
            }
        }
    }
}
