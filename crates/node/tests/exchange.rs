//! Hosts that fetch updates of a list from each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use node::caches::CachedPart;
use node::exchange::{self, Availability, Cache, Reply, Source};
use node::record::RolloutState;
use node::store::{Entry, Fact, List, Update};
use policy::name::Name;
use policy::revision::Revision;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::store::Error;

const LIST: List = List::Backends;
const NUMBER: u64 = 900;
const REVISION: Revision = Revision::new(0, NUMBER);
/// Far longer than any of the calls needs.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A host that has `entry_count` entries, or is fetching them itself.
struct FakeSource {
    entry_count: usize,
    availability: Availability,
    /// How often all entries were collected for an update.
    lookups: AtomicUsize,
}

impl Source for FakeSource {
    fn availability(&self, _: List, least: Revision) -> Availability {
        match self.availability {
            Availability::UpTo(changed) if changed < least => Availability::Nothing,
            availability => availability,
        }
    }

    fn update_since(&self, _: List, _: Revision) -> Option<Update> {
        self.lookups.fetch_add(1, Ordering::Relaxed);
        Some(update(self.entry_count))
    }

    fn rollouts(&self) -> Vec<RolloutState> {
        Vec::new()
    }

    fn cached_parts(&self, _: usize) -> Vec<CachedPart> {
        Vec::new()
    }
}

fn update(entry_count: usize) -> Update {
    let entry = |number: usize| Entry {
        key: Name::from(format!("i-{number:08x}")),
        revision: (1 + number as u64 % NUMBER).into(),
        fact: Fact::Unreadable(format!("{}", policy::place::mix(number as u64))),
    };
    Update {
        entries: (0..entry_count).map(entry).collect(),
        revision: REVISION,
        is_whole: true,
        overrides: None,
    }
}

async fn serve(
    entry_count: usize,
    availability: Availability,
    cache: &Cache,
) -> (SocketAddr, Arc<FakeSource>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let source = Arc::new(FakeSource { entry_count, availability, lookups: AtomicUsize::new(0) });
    tokio::spawn(exchange::serve(listener, Arc::clone(&source), cache.clone(), 0));
    (address, source)
}

async fn request(from: SocketAddr, after: u64, least: Revision) -> Result<Reply, Error> {
    exchange::request_update(from, (LIST, after.into(), least), &Cache::default()).await
}

/// Guards against a host that packs thousands of entries anew for each peer that asks.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_is_packed_once_for_all_peers() {
    let (from, source) = serve(10_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for _ in 0..8 {
        assert_eq!(request(from, 0, REVISION).await, Ok(Reply::Update(update(10_000))));
    }
    assert_eq!(source.lookups.load(Ordering::Relaxed), 1);
}

/// A host passes on a package that it received before it has applied it, and without packing it
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_received_package_is_passed_on_unchanged() {
    let (first, _) = serve(5_000, Availability::UpTo(REVISION), &Cache::default()).await;
    let cache = Cache::default();
    let (second, second_source) = serve(0, Availability::Later, &cache).await;
    assert_eq!(request(second, 0, REVISION).await, Ok(Reply::Later));
    let reply = exchange::request_update(first, (LIST, Revision::NONE, REVISION), &cache).await;
    assert_eq!(reply, Ok(Reply::Update(update(5_000))));
    assert_eq!(request(second, 0, REVISION).await, Ok(Reply::Update(update(5_000))));
    assert_eq!(second_source.lookups.load(Ordering::Relaxed), 0);
    // A peer whose copy is at another revision lacks other changes.
    assert_eq!(request(second, 7, REVISION).await, Ok(Reply::Later));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_update_from_a_host_that_is_behind_gives_nothing() {
    let (from, _) = serve(10, Availability::UpTo(REVISION), &Cache::default()).await;
    assert_eq!(request(from, 5, Revision::new(0, NUMBER + 1)).await, Ok(Reply::Nothing));
}

/// Guards against an old package being passed on by a host that has newer changes.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_cached_package_does_not_hide_newer_changes() {
    let (first, _) = serve(10, Availability::UpTo(REVISION), &Cache::default()).await;
    let cache = Cache::default();
    drop(exchange::request_update(first, (LIST, Revision::NONE, Revision::NONE), &cache).await);
    let (newer, source) =
        serve(20, Availability::UpTo(Revision::new(0, NUMBER + 50)), &cache).await;
    assert_eq!(request(newer, 0, Revision::NONE).await, Ok(Reply::Update(update(20))));
    assert_eq!(source.lookups.load(Ordering::Relaxed), 1);
}

/// What happens to a proxied connection after its last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The connection to the requesting host is closed.
    Closed,
    /// Both connections stay open and pass nothing on, not even that one of them ends.
    Silent,
}

/// Starts a proxy to a host that passes on at most `bytes` bytes of its answers.
async fn proxy(to: SocketAddr, bytes: usize, end: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (caller, _) = listener.accept().await.unwrap();
        let (mut from, mut asks) = caller.into_split();
        let (mut answers, mut on) = TcpStream::connect(to).await.unwrap().into_split();
        tokio::spawn(async move {
            let _ = tokio::io::copy(&mut from, &mut on).await;
            // The host does not learn that the requesting host is gone.
            std::future::pending::<()>().await;
        });
        let mut left = bytes;
        let mut buffer = vec![0; 4_096];
        while left > 0 {
            let read = answers.read(&mut buffer).await.unwrap_or_default().min(left);
            if read == 0 || asks.write_all(&buffer[..read]).await.is_err() {
                return;
            }
            left -= read;
        }
        if end == Ending::Silent {
            std::future::pending::<()>().await;
        }
    });
    address
}

/// Guards against part of a list being accepted as all of it.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_cut_off_is_an_error() {
    let (from, _) = serve(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for bytes in [0, 10, 5_000, 40_000, 100_000] {
        let cache = Cache::default();
        let cut = proxy(from, bytes, Ending::Closed).await;
        let reply = exchange::request_update(cut, (LIST, Revision::NONE, REVISION), &cache).await;
        assert!(reply.is_err(), "{bytes} {reply:?}");
        // The incomplete package is not passed on either.
        let (next, _) = serve(0, Availability::Later, &cache).await;
        assert_eq!(request(next, 0, REVISION).await, Ok(Reply::Later));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_update_other_protocol_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let _ = caller.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await;
        }
    });
    assert!(request(address, 0, 1.into()).await.is_err());
}

/// A host that says nothing must time out early enough for another one to be asked.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_silent_host_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let asked = request(listener.local_addr().unwrap(), 0, 1.into());
    assert!(tokio::time::timeout(Duration::from_secs(3), asked).await.unwrap().is_err());
}

/// Guards against a host that waits for the rest of a table as long as the connection stays open
/// that fell silent after the first pieces.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_silence_between_pieces_times_out() {
    let (from, _) = serve(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for bytes in [10, 40_000, 100_000] {
        let silent = proxy(from, bytes, Ending::Silent).await;
        let asked = tokio::time::timeout(TIMEOUT, request(silent, 0, REVISION));
        assert!(asked.await.unwrap().is_err(), "{bytes}");
    }
}

/// Guards against a host that serves nobody any more because all its slots are taken by hosts whose
/// connections fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn request_update_slot_of_a_silent_host_is_freed() {
    /// More hosts than are served at once.
    const SILENT: usize = 24;
    let (from, _) = serve(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        silent.push(tokio::spawn(request(proxy(from, 40_000, Ending::Silent).await, 0, REVISION)));
    }
    for asked in silent {
        assert!(!matches!(asked.await.unwrap(), Ok(Reply::Update(_))));
    }
    let reply = async {
        while request(from, 0, REVISION).await != Ok(Reply::Update(update(20_000))) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reply).await.unwrap();
}
