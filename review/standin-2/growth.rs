//! A host gets as many requests as in some days of its sheet, in two minutes, while nobody fetches its
//! metrics. The platform ends a process that exceeds its memory.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::hosts::{self, Bounds};
use crate::http::{self, Conn};
use crate::record::Record;
use crate::store::Store;

const ZONE: &str = "derby-hall";
/// The smallest machine of the sheet.
const MEMORY_MB: u64 = 88;
const BOUNDS: Bounds = Bounds {
    config_apply_ms: 3_000,
    drain_ms: 3_000,
    contact_ms: 4_000,
    grace_s: 8,
    exposure_share: 0.0975,
    retry_budget_ratio: 0.9,
    budget_slack: 222,
    budget_window_s: 10,
    cores: 0.12,
    memory_mb: MEMORY_MB,
    descriptors: 4_100,
};
/// Workers of the service, as on the sheet.
const WORKERS: usize = 4;
/// Clients that don't wait as told: they call a service whose workers are not there yet.
const HASTY_CLIENTS: usize = 24;
/// Clients whose requests take the work of the sheet.
const USUAL_CLIENTS: usize = 16;
/// Clients that keep a channel and use it now and then. All clients together are those of the sheet.
const CALM_CLIENTS: usize = 220;
const CALM_PAUSE: Duration = Duration::from_secs(5);
const USUAL_WORK: Duration = Duration::from_millis(30);
/// The longest play.
const LONGEST: Duration = Duration::from_secs(108);
/// How often a sound worker's request may end with a closed channel.
const LOST_MAX: usize = 3;

const MANIFEST: &str = r#"{"version":3,"routes":[{"name":"r-new","host":"ficu95.example","prefix":"/new/","routeType":"idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"haulier-desk","maxAttempts":2,"allowAnonymous":true},{"name":"r-slot","host":"ficu95.example","prefix":"/slot/","routeType":"idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"order-desk","maxAttempts":2,"allowAnonymous":true}],"services":[{"name":"haulier-desk","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false},{"name":"order-desk","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

/// The id of the request that a worker's channel works on, empty between requests.
type Working = Arc<Mutex<String>>;

fn serve(mut conn: Conn, id: &str, working: &Working) {
    while let Some(head) = conn.head() {
        let request = head.get("Chestnutspur-Request-Id").unwrap_or("").to_owned();
        if head.get("Chestnutspur-Expect-Instance").is_some_and(|expected| expected != id) {
            conn.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if head.word(1).ends_with("usual") {
            working.lock().unwrap().clone_from(&request);
            std::thread::sleep(USUAL_WORK);
        }
        let written = conn.write(&format!(
            "HTTP/1.1 200 OK\r\nChestnutspur-Request-Id: {request}\r\n\
             Chestnutspur-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
        ));
        if !written {
            return;
        }
        working.lock().unwrap().clear();
    }
}

fn start_worker(store: &Store, number: usize, channels: &Arc<Mutex<Vec<Working>>>) {
    let listener = TcpListener::bind(hosts::free()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let id = format!("i-{number:08x}");
    store.put(
        "servers",
        &id,
        Some(&format!(
            "{{\"service\":\"order-desk\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        )),
    );
    let channels = Arc::clone(channels);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let working = Working::default();
            channels.lock().unwrap().push(Arc::clone(&working));
            let id = id.clone();
            std::thread::spawn(move || serve(Conn::new(stream), &id, &working));
        }
    });
}

/// Sends requests on a kept channel until told to end. Returns the id of a request that was sent
/// and whose channel was closed without an answer.
fn client(
    address: SocketAddr,
    number: usize,
    path: &str,
    is_over: &AtomicBool,
    answered: &AtomicU64,
) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut buffer = vec![0; 4096];
    for turn in 0_u64.. {
        if is_over.load(Ordering::Relaxed) {
            return None;
        }
        let id = format!("{number:04x}{turn:012x}");
        let request = format!(
            "GET /{path} HTTP/1.1\r\nHost: ficu95.example\r\nChestnutspur-Request-Id: {id}\r\n\
             Chestnutspur-Deadline-Ms: 1500\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return Some(id);
        }
        let mut answer = Vec::new();
        while !is_whole(&answer) {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return Some(id),
                Ok(count) => answer.extend_from_slice(&buffer[..count]),
            }
        }
        answered.fetch_add(1, Ordering::Relaxed);
        if path.ends_with("calm") {
            std::thread::sleep(CALM_PAUSE);
        }
    }
    None
}

/// Whether an answer with a length has come whole.
fn is_whole(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    let length = head.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    answer.len() >= end + 4 + length
}

/// Memory of a process in kB.
fn memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

pub fn play(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Outcome {
    let store = Store::start();
    store.put("op", "config", Some(MANIFEST));
    let channels = Arc::default();
    (0..WORKERS).for_each(|number| start_worker(&store, number, &channels));
    let mut hosts =
        vec![hosts::start("front-derby-hall-1", ZONE, &[ZONE], store.address, &BOUNDS, folder)];
    if !hosts::until_ready(&hosts) {
        return Outcome::CouldNotRun("the host did not get ready");
    }
    let (callers, ready) = (hosts[0].callers, hosts[0].ready);
    let process = hosts[0].id();
    let (is_over, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..HASTY_CLIENTS + USUAL_CLIENTS + CALM_CLIENTS)
        .map(|number| {
            let (is_over, answered) = (Arc::clone(&is_over), Arc::clone(&answered));
            let path = match number {
                hasty if hasty < HASTY_CLIENTS => "new/a",
                usual if usual < HASTY_CLIENTS + USUAL_CLIENTS => "slot/usual",
                _ => "slot/calm",
            };
            std::thread::spawn(move || client(callers, number, path, &is_over, &answered))
        })
        .collect();
    let began = Instant::now();
    let (mut passed_on, mut told): (Vec<String>, _) = (Vec::new(), Duration::ZERO);
    while began.elapsed() < LONGEST {
        std::thread::sleep(Duration::from_millis(200));
        let Some(kb) = memory(process) else {
            return Outcome::CouldNotRun("the host has ended");
        };
        if began.elapsed() >= told {
            told += Duration::from_secs(5);
            let count = answered.load(Ordering::Relaxed);
            record.line(&format!("{count} requests answered, the host's memory is {kb} kB"));
            if !has_trouble {
                http::get(ready, "/metrics");
            }
        }
        if kb > MEMORY_MB * 1_000 {
            record.line(&format!("the host exceeds {MEMORY_MB} MB with {kb} kB and is killed"));
            let working = channels.lock().unwrap();
            passed_on = working.iter().map(|one: &Working| one.lock().unwrap().clone()).collect();
            drop(working);
            hosts[0].end();
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let ended = clients.into_iter().filter_map(|thread| thread.join().ok().flatten());
    let unanswered: Vec<String> = ended.collect();
    let lost = unanswered.iter().filter(|id| passed_on.contains(id));
    let lost: Vec<&str> = lost.map(String::as_str).collect();
    record.line(&format!(
        "{} requests answered; {} passed on to a sound worker and their kept channels closed without \
         an answer (at most {LOST_MAX}): {}",
        answered.load(Ordering::Relaxed),
        lost.len(),
        lost.join(" ")
    ));
    if lost.len() > LOST_MAX { Outcome::Broken } else { Outcome::Held }
}
