//! Memory of real `node` processes, between backend servers, callers, engines and a store that send
//! whatever takes most of it.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::names;
use standin::routed::{Script, ScriptedReply};
use support::nodes::{self, Fleet, MEMORY_MB};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long a node is watched.
const WATCHED: Duration = Duration::from_secs(6);
/// Backend servers in trouble, beside two sound ones.
const TROUBLED: usize = 3;
/// Bytes that a server in trouble writes at once, and how often. Together as much as a link of a
/// gigabit takes for some connections.
const STEP_BYTES: usize = 32 << 10;
const STEP_INTERVAL: Duration = Duration::from_millis(4);

/// What a backend server in trouble does.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It fails with a body without end, in chunks of one byte.
    FailureInSingleBytes,
    /// The same, with leading zeros before the length of each chunk.
    FailureWithLeadingZeros,
    /// It sends blank lines without end.
    BlankLines,
    /// It sends an event that never ends.
    EndlessEvent,
    /// Its head never ends.
    EndlessHead,
    /// It answers calls for its cache events with single bytes without end.
    CacheInSingleBytes,
    /// It reads a request slowly, and never answers it.
    ReadsSlowly,
}

impl Trouble {
    /// What it writes to answer a request.
    fn head(self, id: &str) -> String {
        let status = match self {
            Self::FailureInSingleBytes | Self::FailureWithLeadingZeros => "500 Failed",
            _ => "200 OK",
        };
        let end = match self {
            Self::EndlessHead => "",
            Self::BlankLines => "content-type: text/event-stream\r\n\r\n",
            _ => "transfer-encoding: chunked\r\n\r\n",
        };
        let (id_name, signature) = (names::REQUEST_ID, names::SIGNATURE);
        format!("HTTP/1.1 {status}\r\n{id_name}: {id}\r\n{signature}: a.1.2\r\n{end}")
    }

    /// What it writes again and again.
    fn step(self) -> Vec<u8> {
        let unit = match self {
            Self::FailureWithLeadingZeros => format!("{}1\r\nx\r\n", "0".repeat(300)),
            Self::BlankLines => "\n".to_owned(),
            Self::EndlessHead => "x-junk: junk\r\n".to_owned(),
            Self::EndlessEvent => "3e8\r\n".to_owned() + &"x".repeat(1_000) + "\r\n",
            _ => "1\r\nx\r\n".to_owned(),
        };
        unit.repeat(STEP_BYTES / unit.len()).into_bytes()
    }

    /// Answers one connection.
    async fn serve(self, mut stream: TcpStream) {
        let mut read = [0; 4 << 10];
        let length = stream.read(&mut read).await.unwrap_or_default();
        let request = String::from_utf8_lossy(&read[..length]).into_owned();
        let key = format!("{}: ", names::REQUEST_ID);
        let id = request.lines().find_map(|line| line.strip_prefix(&key));
        let is_troubled = match self {
            Self::CacheInSingleBytes => id.is_none(),
            Self::ReadsSlowly => return read_slowly(stream).await,
            _ => id.is_some(),
        };
        if !is_troubled {
            let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(answer).await;
            return;
        }
        let mut next = self.head(id.unwrap_or_default()).into_bytes();
        while stream.write_all(&next).await.is_ok() {
            next = self.step();
            tokio::time::sleep(STEP_INTERVAL).await;
        }
    }

    async fn start(self) -> SocketAddr {
        let listener = TcpListener::bind(support::ANY).await.expect("backend server");
        let address = listener.local_addr().expect("its address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.serve(stream));
            }
        });
        address
    }
}

/// Reads 200 KB a second until the other side closes.
async fn read_slowly(mut stream: TcpStream) {
    let mut read = vec![0; 20 << 10];
    while stream.read(&mut read).await.is_ok_and(|length| length > 0) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The memory of a process, in bytes.
fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib << 10)
}

/// Most memory of any node of a fleet in [`WATCHED`].
async fn watch(fleet: &Fleet) -> u64 {
    let until = Instant::now() + WATCHED;
    let mut most = 0;
    while Instant::now() < until {
        for (node, _) in &fleet.nodes {
            most = most.max(resident_bytes(node.id()).expect("the node runs"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    most
}

/// Most memory of a node while some backend servers are in trouble.
async fn most_memory(trouble: Trouble, deadline_ms: u64, body_bytes: usize) -> u64 {
    let usual = ScriptedReply::Stream(Script::default());
    let fleet = Fleet::start(&format!("memory-{trouble:?}"), "streaming", &usual, &usual).await;
    for number in 0..TROUBLED {
        let entry = nodes::entry(trouble.start().await, "v1");
        let key = match trouble {
            // In place of the sound ones.
            Trouble::ReadsSlowly => format!("v1-{number}"),
            _ => format!("trouble-{number}"),
        };
        fleet.store.put(names::table::BACKENDS, &key, &entry);
    }
    let _load = fleet.start_load_of(deadline_ms, body_bytes);
    watch(&fleet).await
}

/// Guards against a host that is killed because it holds more of what servers send than it counts.
#[tokio::test(flavor = "multi_thread")]
async fn host_stays_within_its_memory_whatever_servers_send() {
    let mut most = Vec::new();
    for trouble in [
        Trouble::FailureInSingleBytes,
        Trouble::FailureWithLeadingZeros,
        Trouble::BlankLines,
        Trouble::EndlessEvent,
        Trouble::EndlessHead,
        Trouble::CacheInSingleBytes,
    ] {
        most.push((trouble, most_memory(trouble, 5_000, 0).await >> 20));
    }
    println!("MB: {most:?}");
    assert!(most.iter().all(|(_, megabytes)| *megabytes < MEMORY_MB), "{most:?}");
}

/// Guards against a host that is killed because servers read the long bodies slowly that it holds for
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn host_stays_within_its_memory_while_bodies_are_read_slowly() {
    let most = most_memory(Trouble::ReadsSlowly, 20_000, nodes::BODY_BYTES_MAX).await;
    println!("{} MB", most >> 20);
    assert!(most < MEMORY_MB << 20, "{} MB of {MEMORY_MB}", most >> 20);
}

/// Guards against a host that is killed because callers send heads or bodies that never end, in
/// small pieces.
#[tokio::test(flavor = "multi_thread")]
async fn host_stays_within_its_memory_whatever_callers_send() {
    const CALLERS: usize = 600;
    let usual = ScriptedReply::Stream(Script::default());
    let fleet = Fleet::start("memory-callers", "streaming", &usual, &usual).await;
    let line = "POST /one/slow HTTP/1.1\r\nhost: callers.example\r\n";
    let chunked = format!(
        "{line}authorization: Bearer key-of-office\r\n{}: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        names::REQUEST_ID
    );
    let callers = |first: String, step: &'static str| {
        let targets: Vec<_> = fleet.nodes.iter().map(|(_, callers)| *callers).collect();
        (0..CALLERS).map(move |number| {
            let (target, first) = (targets[number % targets.len()], first.clone());
            async move {
                let mut stream = TcpStream::connect(target).await.ok()?;
                stream.write_all(first.as_bytes()).await.ok()?;
                loop {
                    stream.write_all(step.repeat(500).as_bytes()).await.ok()?;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        })
    };
    let heads = callers(line.to_owned(), "x: y\r\n").map(tokio::spawn);
    let mut sent: Vec<tokio::task::JoinHandle<Option<()>>> = heads.collect();
    sent.extend(callers(chunked, "0001\r\nx\r\n").map(tokio::spawn));
    let most = watch(&fleet).await;
    sent.iter().for_each(tokio::task::JoinHandle::abort);
    println!("{} MB", most >> 20);
    assert!(most < MEMORY_MB << 20, "{} MB of {MEMORY_MB}", most >> 20);
}
