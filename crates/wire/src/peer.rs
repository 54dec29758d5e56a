//! Connections to controls: a handshake that proves the shared key, then tarpc.
//!
//! Each side sends a random challenge and answers the other side's challenge with an HMAC over it.
//! So neither a process without the key nor a replayed recording is accepted. The messages that
//! follow are not encrypted, as the operators' manual says.

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

/// Largest message, in bytes. The records of a whole shard fit into one, as does a document.
const FRAME_BYTES_MAX: usize = 32 << 20;
/// Most calls in flight on one connection.
const IN_FLIGHT_MAX: usize = 4096;
/// Longest time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

/// Why a call to a control failed.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be made, so nothing was sent.
    Connect(std::io::Error),
    /// The other side does not hold the shared key.
    Unauthenticated,
    /// The connection broke or the call timed out. The call may have taken effect.
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

/// Key that all processes of a deployment share.
#[derive(Clone)]
pub struct Key(Arc<[u8]>);

impl Key {
    /// Creates a key from the bytes of a secret.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }

    /// HMAC that proves the key for a challenge. `side` differs between the two sides, so that a
    /// proof can't be sent back to the side that made it.
    fn mac(&self, side: u8, challenge: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(b"chestnutspur peer 1");
        mac.update(&[side]);
        mac.update(challenge);
        mac
    }
}

async fn handshake(stream: &mut TcpStream, key: &Key, is_dialer: bool) -> Result<(), Error> {
    let mut own_challenge = [0_u8; CHALLENGE_BYTES];
    rand::rng().fill_bytes(&mut own_challenge);
    stream.write_all(&own_challenge).await?;
    let mut peer_challenge = [0_u8; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    let proof = key.mac(u8::from(is_dialer), &peer_challenge).finalize().into_bytes();
    stream.write_all(&proof).await?;
    let mut peer_proof = [0_u8; PROOF_BYTES];
    stream.read_exact(&mut peer_proof).await.map_err(|_| Error::Unauthenticated)?;
    let expected = key.mac(u8::from(!is_dialer), &own_challenge);
    expected.verify_slice(&peer_proof).map_err(|_| Error::Unauthenticated)
}

async fn authenticate(
    mut stream: TcpStream,
    key: &Key,
    is_dialer: bool,
) -> Result<TcpStream, Error> {
    stream.set_nodelay(true)?;
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake(&mut stream, key, is_dialer)).await {
        Ok(result) => result.map(|()| stream),
        Err(_) => Err(Error::Connect(std::io::ErrorKind::TimedOut.into())),
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_framed(stream)
}

/// Transport of requests and answers on one authenticated connection.
pub type Transport = tarpc::serde_transport::Transport<
    TcpStream,
    ClientMessage<ControlRequest>,
    Response<ControlResponse>,
    MessagePack<ClientMessage<ControlRequest>, Response<ControlResponse>>,
>;

/// Authenticates an accepted connection. The caller executes its service on the returned channel.
///
/// # Errors
/// When the handshake fails.
pub async fn accept(
    stream: TcpStream,
    key: &Key,
) -> Result<BaseChannel<ControlRequest, ControlResponse, Transport>, Error> {
    let stream = authenticate(stream, key, false).await?;
    let transport = tarpc::serde_transport::new(framed(stream), MessagePack::default());
    Ok(BaseChannel::with_defaults(transport))
}

/// Client of one control, with a connection that is made again after a failure.
///
/// A call that times out closes the connection, because a peer can lose track of one connection
/// while new ones work: every later call on the old connection would time out as well. The next
/// call connects again, so only the calls in flight are lost.
pub struct Link {
    address: SocketAddr,
    key: Key,
    connection: Mutex<Connection>,
}

#[derive(Default)]
struct Connection {
    client: Option<ControlClient>,
    /// Number of connections made so far. A failed call closes only the connection it was made on.
    serial: u64,
}

impl Link {
    /// Creates a link, which connects at the first call.
    #[must_use]
    pub fn new(address: SocketAddr, key: Key) -> Self {
        Self { address, key, connection: Mutex::default() }
    }

    /// Address of the control.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn client(&self) -> Result<(ControlClient, u64), Error> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = &connection.client {
            return Ok((client.clone(), connection.serial));
        }
        let stream = TcpStream::connect(self.address).await?;
        let stream = authenticate(stream, &self.key, true).await?;
        let transport = tarpc::serde_transport::new(framed(stream), MessagePack::default());
        let mut config = Config::default();
        config.max_in_flight_requests = IN_FLIGHT_MAX;
        config.pending_request_buffer = IN_FLIGHT_MAX;
        let client = ControlClient::new(config, transport).spawn();
        connection.client = Some(client.clone());
        connection.serial += 1;
        Ok((client, connection.serial))
    }

    async fn close(&self, serial: u64) {
        let mut connection = self.connection.lock().await;
        if connection.serial == serial {
            connection.client = None;
        }
    }

    /// Makes one call. The timeout includes the time to connect.
    ///
    /// # Errors
    /// Any [`Error`]; the call can have taken effect only after [`Error::Lost`].
    pub async fn call<T, F, A>(&self, timeout: Duration, send: F) -> Result<T, Error>
    where
        F: FnOnce(ControlClient, Context) -> A,
        A: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let (client, serial) = match tokio::time::timeout(timeout, self.client()).await {
            Ok(connected) => connected?,
            Err(_) => return Err(Error::Connect(std::io::ErrorKind::TimedOut.into())),
        };
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        match send(client, context).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                self.close(serial).await;
                Err(Error::Lost(error))
            }
        }
    }
}
