//! Stand-ins for the scripts under review/: clients, workers, the store and the platform. Only the
//! standard library is used. `standin CASE RECORD` plays a case; TROUBLE=0 leaves its disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod http;
mod json;
mod platform;
mod record;
mod store;

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Channel, Head};
use platform::Node;
use record::Record;
use store::Store;

/// The memory of a machine at Trentvale (SYSTEM.md), in MB.
const MEMORY_MB: u64 = 110;
/// Ends of processes by themselves, on each of two machines, that break the rule (RULES.md, Fault).
const ENDS_MAX: u32 = 3;
/// How long the clients send.
const TRAFFIC_MAX: Duration = Duration::from_secs(85);

/// A request as its client sends it.
struct Request {
    kind: &'static str,
    path: &'static str,
    body_bytes: usize,
    deadline_ms: u64,
    is_stream: bool,
}

/// How a worker of the model service behaves.
#[derive(Clone, Copy)]
enum Manner {
    /// It reads the request and answers with a stream of eight events in a second.
    Sound,
    /// Its answer says that it failed, and its body has no end: single bytes, each in a chunk.
    Crumbs { bytes_per_s: usize },
    /// Its answer's body is blank lines without end, until its caller closes.
    BlankLines { bytes_per_s: usize },
    /// It answers streams soundly, and calls for its cache events with single bytes without end.
    CacheCrumbs { bytes_per_s: usize },
    /// It reads the body of a long request at this rate, and then answers as a sound worker does.
    Slow { bytes_per_s: usize },
}

const CRUMBS: Manner = Manner::Crumbs { bytes_per_s: 1_000_000 };
const BLANK_LINES: Manner = Manner::BlankLines { bytes_per_s: 250_000 };
const CACHE_CRUMBS: Manner = Manner::CacheCrumbs { bytes_per_s: 3_000_000 };
const SLOW: Manner = Manner::Slow { bytes_per_s: 200_000 };

/// Model workers in each of the three zones.
const WORKERS_PER_ZONE: usize = 4;
const ALL_WORKERS: [usize; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];

/// Which of the model workers behave in a manner; the others are sound.
struct Trouble {
    workers: &'static [usize],
    manner: Manner,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(path)).expect("the record");
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let sound = Trouble { workers: &[], manner: Manner::Sound };
    let (trouble, model) = match case.as_str() {
        "crumbs" => (Trouble { workers: &[0, 4], manner: CRUMBS }, QUERIES),
        "endless" => (Trouble { workers: &ALL_WORKERS, manner: BLANK_LINES }, QUERIES),
        "cache" => (Trouble { workers: &[0, 1, 2, 4, 5, 6], manner: CACHE_CRUMBS }, QUERIES),
        "uploads" => (Trouble { workers: &ALL_WORKERS, manner: SLOW }, PLANS),
        _ => std::process::exit(2),
    };
    let trouble = if has_trouble { trouble } else { sound };
    let is_broken = memory(&record, &folder, &trouble, model);
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(match is_broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}

/// All three kinds of streams of Trentvale at their rate: 114 a second at seven machines.
const QUERIES: (Request, f64) = (
    Request {
        kind: "farmer-query",
        path: "/query/1",
        body_bytes: 830,
        deadline_ms: 15_000,
        is_stream: true,
    },
    16.0,
);
/// `herd-plan` at three quarters of its rate, 27.7 a second at seven machines, each request with as
/// long a body as the manifest's `maxBodyBytes` allows.
const PLANS: (Request, f64) = (
    Request {
        kind: "herd-plan",
        path: "/plan/1",
        body_bytes: 4_194_304,
        deadline_ms: 20_000,
        is_stream: true,
    },
    3.0,
);
/// `order-submit` at its rate, 28.5 a second at seven machines.
const ORDERS: (Request, f64) = (
    Request {
        kind: "order-submit",
        path: "/order/1",
        body_bytes: 600,
        deadline_ms: 1_500,
        is_stream: false,
    },
    4.0,
);

/// Two machines, a model service with some workers in trouble, and a plain service. The rule is
/// broken if the processes on both machines are three times over their memory. Other ends of theirs
/// are recorded and don't count here.
fn memory(
    record: &Record,
    folder: &Path,
    trouble: &Trouble,
    model: (Request, f64),
) -> Option<bool> {
    let (store, address) = Store::start();
    store.put("op", "config", CONFIG);
    for (number, zone) in ["derby-hall", "melton-hall", "newark-hall"].iter().enumerate() {
        for index in number * WORKERS_PER_ZONE..(number + 1) * WORKERS_PER_ZONE {
            let is_troubled = trouble.workers.contains(&index);
            let manner = if is_troubled { trouble.manner } else { Manner::Sound };
            add_worker(&store, record, &format!("i-model{index}"), "ration-model", zone, manner);
        }
        add_worker(&store, record, &format!("i-desk{number}"), "order-desk", zone, Manner::Sound);
    }
    let nodes = ["front-derby-hall-1", "front-melton-hall-1"].map(|name| {
        Node::start(name, &name["front-".len()..name.len() - 2], MEMORY_MB, address, folder, record)
    });
    if !nodes.iter().all(Node::wait_until_ready) {
        record.say("a node did not become ready");
        return None;
    }
    record.line("traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let model = Arc::new(model);
    let orders = Arc::new(ORDERS);
    let senders: Vec<_> = nodes
        .iter()
        .flat_map(|node| {
            [&model, &orders].map(|kind| (node.front, node.name.clone(), Arc::clone(kind)))
        })
        .map(|(front, name, kind)| {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            std::thread::spawn(move || send_all(front, &name, &kind, &stop, &record))
        })
        .collect();
    let began = Instant::now();
    let ends = |node: &Node| node.seen.lock().unwrap().ends_by_memory;
    while began.elapsed() < TRAFFIC_MAX && nodes.iter().any(|node| ends(node) < ENDS_MAX) {
        std::thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    senders.into_iter().for_each(|sender| drop(sender.join()));
    for node in &nodes {
        let seen = node.seen.lock().unwrap();
        record.say(&format!(
            "{}: {} ends by memory, {} other ends of its own, {} MB at the most of {MEMORY_MB}",
            node.name,
            seen.ends_by_memory,
            seen.own_ends,
            seen.most >> 20
        ));
    }
    record.say_counts();
    Some(nodes.iter().all(|node| ends(node) >= ENDS_MAX))
}

/// A manifest with the routes of Trentvale that the cases need.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-plan","host":"feed.example","prefix":"/plan/","routeType":"streaming","timeoutMs":20000,"sloMs":2000,"priority":1,"service":"ration-model","maxAttempts":3,"allowAnonymous":true,"sessionAffinity":true,"streamResumption":true,"gapTargetMs":1000},
{"name":"r-query","host":"feed.example","prefix":"/query/","routeType":"streaming","timeoutMs":15000,"sloMs":1000,"priority":0,"service":"ration-model","maxAttempts":3,"allowAnonymous":true,"sessionAffinity":true,"streamResumption":true,"gapTargetMs":1000},
{"name":"r-order","host":"feed.example","prefix":"/order/","routeType":"non_idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"order-desk","maxAttempts":1,"allowAnonymous":true}],
"services":[{"name":"ration-model","healthPath":"/health","maxConnections":300,"protocol":"h1","tls":false,"engine":{"slots":48,"kvCapacityTokens":545774,"kvTokenBytes":35136,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":7,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"daka510000","cost":0.017}]}},
{"name":"order-desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

fn add_worker(store: &Store, record: &Record, id: &str, service: &str, zone: &str, manner: Manner) {
    let (name, record) = (id.to_owned(), record.clone());
    let address = http::serve(move |channel| work(channel, &name, manner, &record));
    let slots = if service == "ration-model" { 48 } else { 6 };
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"sequence":1}}"#
        ),
    );
}

/// Answers the requests that come on one connection to a worker.
fn work(channel: &mut Channel, name: &str, manner: Manner, record: &Record) -> Result<()> {
    loop {
        let head = channel.head()?;
        let id = head.header("chestnutspur-request-id").to_owned();
        if id.is_empty() {
            channel.body(&head)?;
            match manner {
                Manner::CacheCrumbs { bytes_per_s } if head.path().contains("/kv-events") => {
                    record.line(&format!("{name} answers a call for cache events without end"));
                    channel.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                          Transfer-Encoding: chunked\r\n\r\n",
                    )?;
                    write_crumbs(channel, bytes_per_s)?;
                }
                _ => channel.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?,
            }
            continue;
        }
        match manner {
            Manner::Slow { bytes_per_s } if head.line.contains("/plan/") => {
                channel.read_slowly(head.length(), bytes_per_s)?;
            }
            _ => drop(channel.body(&head)?),
        }
        let expected = head.header("chestnutspur-expect-instance");
        if !expected.is_empty() && expected != name {
            channel.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if !head.header("kv-from").is_empty() {
            // This worker keeps no copies.
            channel.write(
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nChestnutspur-Request-Id: {id}\r\n\
                     Chestnutspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            )?;
            continue;
        }
        record.line(&format!("{name} runs {id}"));
        let signed = format!(
            "HTTP/1.1 200 OK\r\nChestnutspur-Request-Id: {id}\r\n\
             Chestnutspur-Response-Signature: 3e1b.{name}\r\n"
        );
        match manner {
            _ if head.line.contains("/order/") => {
                std::thread::sleep(Duration::from_millis(30));
                let body = format!("done {id}");
                channel.write(
                    format!("{signed}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
                )?;
            }
            Manner::Crumbs { bytes_per_s } => {
                let failed = signed.replace("200 OK", "500 Internal Server Error");
                channel.write(format!("{failed}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
                write_crumbs(channel, bytes_per_s)?;
            }
            Manner::BlankLines { bytes_per_s } => {
                let step = vec![b'\n'; bytes_per_s / 4];
                channel
                    .write(format!("{signed}Content-Type: text/event-stream\r\n\r\n").as_bytes())?;
                loop {
                    channel.write(&step)?;
                    std::thread::sleep(Duration::from_millis(250));
                }
            }
            Manner::Sound | Manner::Slow { .. } | Manner::CacheCrumbs { .. } => {
                channel.write(
                    format!("{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .as_bytes(),
                )?;
                for number in 1..=8 {
                    let event = format!("id: {number}\ndata: some tokens of the answer\n\n");
                    channel.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                    std::thread::sleep(Duration::from_millis(125));
                }
                channel.write(b"0\r\n\r\n")?;
            }
        }
    }
}

/// Writes single bytes without end, each in a chunk.
fn write_crumbs(channel: &mut Channel, bytes_per_s: usize) -> Result<()> {
    const CRUMB: &[u8] = b"1\r\n0\r\n";
    const STEPS_PER_S: usize = 20;
    let step = CRUMB.repeat(bytes_per_s / CRUMB.len() / STEPS_PER_S);
    loop {
        channel.write(&step)?;
        std::thread::sleep(Duration::from_secs(1) / STEPS_PER_S as u32);
    }
}

/// Sends requests of one kind to one machine, evenly, until told to stop.
fn send_all(
    front: SocketAddr,
    node: &str,
    (request, per_s): &(Request, f64),
    stop: &AtomicBool,
    record: &Record,
) {
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 1_u32.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (kind, path, is_stream) = (request.kind, request.path, request.is_stream);
        let (body_bytes, deadline_ms) = (request.body_bytes, request.deadline_ms);
        let (node, record) = (node.to_owned(), record.clone());
        clients.push(std::thread::spawn(move || {
            let request = Request { kind, path, body_bytes, deadline_ms, is_stream };
            let id = next_id();
            record.line(&format!("{kind} {id} sent to {node}"));
            let end = send(front, &id, &request).unwrap_or_else(|error| match error.kind() {
                ErrorKind::ConnectionRefused => "no connection".to_owned(),
                ErrorKind::WouldBlock | ErrorKind::TimedOut => "no answer in its time".to_owned(),
                _ => "channel closed without an answer".to_owned(),
            });
            record.line(&format!("{kind} {id} ends: {end}"));
            record.count(&format!("{kind}: {end}"));
        }));
        let due = Duration::from_secs_f64(f64::from(number) / per_s);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
}

fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Sends one request on a new connection, and tells how it ended.
fn send(front: SocketAddr, id: &str, request: &Request) -> Result<String> {
    let mut channel = Channel::open(front, Duration::from_millis(request.deadline_ms))?;
    let Request { path, body_bytes, deadline_ms, .. } = request;
    let model = match request.is_stream {
        true => format!(
            "Chestnutspur-Model: daka510000\r\nChestnutspur-Token-Usage: 826,300\r\n\
             Chestnutspur-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,{}:628\r\n",
            &id[..8]
        ),
        false => String::new(),
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: feed.example\r\nChestnutspur-Request-Id: {id}\r\n\
         Chestnutspur-Deadline-Ms: {deadline_ms}\r\n{model}Content-Length: {body_bytes}\r\n\r\n"
    );
    channel.write(text.as_bytes())?;
    channel.write(&vec![b'x'; *body_bytes])?;
    let head: Head = channel.head()?;
    let body = channel.body(&head);
    Ok(match body {
        Ok(_) => head.status().to_string(),
        Err(_) => format!("{}, cut in the answer", head.status()),
    })
}
