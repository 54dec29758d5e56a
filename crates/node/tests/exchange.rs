//! Hosts that give each other news of a list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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
/// How long something may take to come true, far beyond what any of it needs.
const PATIENCE: Duration = Duration::from_secs(10);

/// A host that has so many entries, or is being given them.
struct Giver {
    entries: usize,
    holds: Availability,
    /// How often all of them were looked up.
    asked: AtomicUsize,
}

impl Source for Giver {
    fn availability(&self, _: List, least: Revision) -> Availability {
        match self.holds {
            Availability::UpTo(changed) if changed < least => Availability::Nothing,
            holds => holds,
        }
    }

    fn update_since(&self, _: List, _: Revision) -> Option<Update> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Some(update(self.entries))
    }

    fn rollouts(&self) -> Vec<RolloutState> {
        Vec::new()
    }
}

fn update(entries: usize) -> Update {
    let entry = |number: usize| Entry {
        key: Name::from(format!("i-{number:08x}")),
        revision: (1 + number as u64 % NUMBER).into(),
        fact: Fact::Unreadable(format!("{}", policy::place::mix(number as u64))),
    };
    Update {
        entries: (0..entries).map(entry).collect(),
        revision: REVISION,
        is_whole: true,
        overrides: None,
    }
}

async fn give(entries: usize, holds: Availability, cache: &Cache) -> (SocketAddr, Arc<Giver>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let giver = Arc::new(Giver { entries, holds, asked: AtomicUsize::new(0) });
    tokio::spawn(exchange::serve(listener, Arc::clone(&giver), cache.clone(), 0));
    (address, giver)
}

async fn ask(from: SocketAddr, after: u64, least: Revision) -> Result<Reply, Error> {
    exchange::request_update(from, (LIST, after.into(), least), &Cache::default()).await
}

/// Guards against a host that packs thousands of entries anew for each of those that ask.
#[tokio::test(flavor = "multi_thread")]
async fn ask_the_same_news_are_packed_once() {
    let (from, giver) = give(10_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for _ in 0..8 {
        assert_eq!(ask(from, 0, REVISION).await, Ok(Reply::Update(update(10_000))));
    }
    assert_eq!(giver.asked.load(Ordering::Relaxed), 1);
}

/// What was given to a host it passes on before it has taken it in, and without packing it.
#[tokio::test(flavor = "multi_thread")]
async fn ask_news_are_passed_on_as_they_came() {
    let (first, _) = give(5_000, Availability::UpTo(REVISION), &Cache::default()).await;
    let cache = Cache::default();
    let (second, busy) = give(0, Availability::Later, &cache).await;
    assert_eq!(ask(second, 0, REVISION).await, Ok(Reply::Later));
    let given = exchange::request_update(first, (LIST, Revision::NONE, REVISION), &cache).await;
    assert_eq!(given, Ok(Reply::Update(update(5_000))));
    assert_eq!(ask(second, 0, REVISION).await, Ok(Reply::Update(update(5_000))));
    assert_eq!(busy.asked.load(Ordering::Relaxed), 0);
    // Those who know another revision lack something else.
    assert_eq!(ask(second, 7, REVISION).await, Ok(Reply::Later));
}

#[tokio::test(flavor = "multi_thread")]
async fn ask_a_host_that_is_behind_gives_nothing() {
    let (from, _) = give(10, Availability::UpTo(REVISION), &Cache::default()).await;
    assert_eq!(ask(from, 5, Revision::new(0, NUMBER + 1)).await, Ok(Reply::Nothing));
}

/// Guards against old news that are passed on when a host has newer ones.
#[tokio::test(flavor = "multi_thread")]
async fn ask_newer_changes_are_not_answered_with_what_was_packed_before() {
    let (first, _) = give(10, Availability::UpTo(REVISION), &Cache::default()).await;
    let cache = Cache::default();
    drop(exchange::request_update(first, (LIST, Revision::NONE, Revision::NONE), &cache).await);
    let (newer, giver) = give(20, Availability::UpTo(Revision::new(0, NUMBER + 50)), &cache).await;
    assert_eq!(ask(newer, 0, Revision::NONE).await, Ok(Reply::Update(update(20))));
    assert_eq!(giver.asked.load(Ordering::Relaxed), 1);
}

/// How a way to a host ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The asker's connection is closed.
    Closed,
    /// Both connections stay open and pass nothing on, not even their end.
    Silent,
}

/// A way to a host that passes on so many bytes of its answers.
async fn way(to: SocketAddr, bytes: usize, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (caller, _) = listener.accept().await.unwrap();
        let (mut from, mut asks) = caller.into_split();
        let (mut answers, mut on) = TcpStream::connect(to).await.unwrap().into_split();
        tokio::spawn(async move {
            let _ = tokio::io::copy(&mut from, &mut on).await;
            // The host does not learn that the asker has left.
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
        if end == End::Silent {
            std::future::pending::<()>().await;
        }
    });
    address
}

/// Guards against half a list that is taken for all of it.
#[tokio::test(flavor = "multi_thread")]
async fn ask_list_that_is_cut_off_is_an_error() {
    let (from, _) = give(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for bytes in [0, 10, 5_000, 40_000, 100_000] {
        let cache = Cache::default();
        let cut = way(from, bytes, End::Closed).await;
        let given = exchange::request_update(cut, (LIST, Revision::NONE, REVISION), &cache).await;
        assert!(given.is_err(), "{bytes} {given:?}");
        // Nor is it passed on.
        let (next, _) = give(0, Availability::Later, &cache).await;
        assert_eq!(ask(next, 0, REVISION).await, Ok(Reply::Later));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ask_host_that_speaks_something_else_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let _ = caller.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await;
        }
    });
    assert!(ask(address, 0, 1.into()).await.is_err());
}

/// A host that says nothing is left in time for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn ask_silent_host_is_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let asked = ask(listener.local_addr().unwrap(), 0, 1.into());
    assert!(tokio::time::timeout(Duration::from_secs(3), asked).await.unwrap().is_err());
}

/// Guards against a host that waits for the rest of a table for as long as the silent connection stays open on
/// which the first pieces came.
#[tokio::test(flavor = "multi_thread")]
async fn ask_host_that_falls_silent_between_pieces_is_left() {
    let (from, _) = give(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    for bytes in [10, 40_000, 100_000] {
        let silent = way(from, bytes, End::Silent).await;
        let asked = tokio::time::timeout(PATIENCE, ask(silent, 0, REVISION));
        assert!(asked.await.unwrap().is_err(), "{bytes}");
    }
}

/// Guards against a host that gives to nobody any more, since all its places are kept by hosts whose connections
/// fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn ask_place_of_a_silent_host_is_given_to_another() {
    /// More than the hosts that are served at once.
    const SILENT: usize = 24;
    let (from, _) = give(20_000, Availability::UpTo(REVISION), &Cache::default()).await;
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        silent.push(tokio::spawn(ask(way(from, 40_000, End::Silent).await, 0, REVISION)));
    }
    for asked in silent {
        assert!(!matches!(asked.await.unwrap(), Ok(Reply::Update(_))));
    }
    let given = async {
        while ask(from, 0, REVISION).await != Ok(Reply::Update(update(20_000))) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, given).await.unwrap();
}
