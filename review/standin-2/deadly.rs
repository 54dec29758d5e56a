//! A request that crashes each worker that begins to run it comes again at machines of other zones
//! once `contactMs` after the third crash has passed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::hosts::{self, Bounds, Host};
use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Manner, Workers};

pub const ZONES: [&str; 3] = ["derby-hall", "melton-hall", "newark-hall"];
/// Hosts of each zone, as on the sheet.
pub const HOSTS: [usize; 3] = [3, 2, 2];
/// Model workers of each zone, as on the sheet.
pub const WORKERS: usize = 6;
pub const SERVICE: &str = "ration-model";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const DEADLY: &str = "the herd records that no worker stands";
/// Clients of each host that send sound requests, one after the other.
const SOUND_CLIENTS: usize = 4;
/// `contactMs`.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// The most retries that may reach workers later than that.
pub const RETRIES_MAX: usize = 3;
pub const BOUNDS: Bounds = Bounds {
    config_apply_ms: 2_000,
    drain_ms: 2_000,
    contact_ms: 3_000,
    grace_s: 8,
    exposure_share: 0.15,
    retry_budget_ratio: 0.9,
    budget_slack: 54,
    budget_window_s: 10,
    cores: 0.25,
    memory_mb: 110,
    descriptors: 4_200,
};

pub fn manifest() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\
         \"prefix\":\"/plan/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,\"sloMs\":2000,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"allowAnonymous\":false,\
         \"sessionAffinity\":true,\"streamResumption\":true,\"gapTargetMs\":1000}},\
         {{\"name\":\"r-letter\",\"host\":\"ficu95.example\",\"prefix\":\"/letter/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":20000,\"sloMs\":2000,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":1,\"allowAnonymous\":false,\
         \"sessionAffinity\":true,\"streamResumption\":false,\"gapTargetMs\":1000}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":300,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kvCapacityTokens\":545774,\
         \"kvTokenBytes\":35136,\"linkMbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":7,\
         \"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\
         \"models\":[{{\"name\":\"daka510000\",\"cost\":0.017}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// A host as clients see it.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
}

pub struct Scene {
    pub record: Arc<Record>,
    pub hosts: Vec<Node>,
    pub next: AtomicU64,
}

/// The hosts as clients see them.
pub fn nodes(hosts: &[Host]) -> Vec<Node> {
    let node = |host: &Host| Node {
        name: host.name.clone(),
        zone: host.zone.clone(),
        callers: host.callers,
    };
    hosts.iter().map(node).collect()
}

impl Scene {
    /// The hosts of a zone.
    fn zone(&self, zone: &str) -> Vec<&Node> {
        self.hosts.iter().filter(|host| host.zone == zone).collect()
    }

    pub fn send(&self, host: &Node, what: &str, body: &str) -> Answer {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let path = if what == "sound" { "/letter/a" } else { "/plan/a" };
        self.record.line(&format!("{what} request {id} sent to {}", host.name));
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nChestnutspur-Request-Id: {id}\r\n\
             Chestnutspur-Model: daka510000\r\nChestnutspur-Token-Usage: 1460,80\r\n\
             Chestnutspur-Prefix-Hash: 5c1e07a2:800,{number:x}f1:660\r\n\
             Chestnutspur-Deadline-Ms: 20000\r\nAuthorization: Bearer {KEY}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = http::call(host.callers, &request, Duration::from_secs(20));
        self.record.line(&format!(
            "{what} request {id} answered {} by {}{}{}",
            answer.status,
            host.name,
            if answer.is_whole { "" } else { ", not whole" },
            answer.header("retry-after").map(|s| format!(", Retry-After {s}")).unwrap_or_default()
        ));
        answer
    }

    /// One submission of a client of a zone: a request that may be resumed is tried again once
    /// after a failure, at another node.
    pub fn submit(&self, zone: &str, what: &str, body: &str) {
        let hosts = self.zone(zone);
        for host in hosts.iter().take(2) {
            let answer = self.send(host, what, body);
            if answer.status == 200 && answer.is_whole {
                return;
            }
            // Clients honour Retry-After up to a third of the time that they have left.
            let wait = answer.header("retry-after").and_then(|s| s.parse::<f64>().ok());
            if wait.is_some_and(|seconds| seconds > 6.0) {
                return;
            }
            std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.05)));
        }
    }
}

/// Sends sound streams that may not be resumed to all hosts, until told to end. Gathers when one was
/// not served.
pub fn send_sound(
    scene: &Arc<Scene>,
    is_over: &Arc<AtomicBool>,
    failed: &Arc<Mutex<Vec<Instant>>>,
) -> Vec<JoinHandle<()>> {
    (0..scene.hosts.len() * SOUND_CLIENTS)
        .map(|index| {
            let (scene, is_over, failed) =
                (Arc::clone(scene), Arc::clone(is_over), Arc::clone(failed));
            std::thread::spawn(move || {
                for turn in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let host = &scene.hosts[index % scene.hosts.len()];
                    let body = format!("a herd's records {index} {turn}");
                    let answer = scene.send(host, "sound", &body);
                    let is_served = answer.status == 200 && answer.is_whole;
                    if !is_served {
                        failed.lock().unwrap().push(Instant::now());
                    }
                }
            })
        })
        .collect()
}

pub fn play(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Outcome {
    let store = Store::start();
    store.put("op", "config", Some(&manifest()));
    let manner = Manner {
        deadly: has_trouble.then(|| DEADLY.to_owned()),
        away: Duration::from_millis(4_000),
        events: 6,
        gap: Duration::from_millis(150),
        ..Manner::default()
    };
    let mut workers = Workers::new(&store, record, manner);
    for zone in ZONES {
        (0..WORKERS).for_each(|_| workers.add(SERVICE, zone, 48));
    }
    let workers = workers.start();
    let mut started = Vec::new();
    for (zone, count) in ZONES.iter().zip(HOSTS) {
        for number in 1..=count {
            let name = format!("front-{zone}-{number}");
            started.push(hosts::start(&name, zone, &ZONES, store.address, &BOUNDS, folder));
        }
    }
    if !hosts::until_ready(&started) {
        return Outcome::CouldNotRun("the hosts did not get ready");
    }
    record.line("all hosts are ready");
    let scene = Arc::new(Scene {
        record: Arc::clone(record),
        hosts: nodes(&started),
        next: AtomicU64::new(1),
    });
    // Sound streams that may not be resumed, at every host, each for about a second.
    let is_over = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let sound = send_sound(&scene, &is_over, &failed);
    std::thread::sleep(Duration::from_secs(10));
    // The request comes for the first time shortly after the workers' heartbeats.
    while workers.since_heartbeat() > Duration::from_millis(150) {
        std::thread::sleep(Duration::from_millis(5));
    }
    scene.submit("newark-hall", "deadly", DEADLY);
    let third = workers.crashes.lock().unwrap().get(2).map(|crash| crash.at);
    if has_trouble && third.is_none() {
        return Outcome::CouldNotRun("the request did not crash three workers");
    }
    let third = third.unwrap_or_else(Instant::now);
    record.line("third crash is past");
    std::thread::sleep((third + CONTACT + Duration::from_millis(100)) - Instant::now());
    record.line("contactMs after the third crash is past");
    scene.submit("derby-hall", "deadly", DEADLY);
    scene.submit("melton-hall", "deadly", DEADLY);
    std::thread::sleep(Duration::from_secs(4));
    scene.submit("derby-hall", "deadly", DEADLY);
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    sound.into_iter().for_each(|thread| drop(thread.join()));
    let crashes = workers.crashes.lock().unwrap().clone();
    let late = crashes.iter().filter(|crash| crash.at > third + CONTACT).count();
    let failed = failed.lock().unwrap();
    let lost = failed.iter().filter(|at| **at > third + CONTACT).count();
    record.line(&format!(
        "crashes: {}; retries that reached workers later than contactMs after the third: {late} \
         (at most {RETRIES_MAX}); sound streams that may not be resumed and were cut then: {lost}; \
         cut by the first crashes: {}",
        crashes.len(),
        failed.len() - lost
    ));
    if late > RETRIES_MAX { Outcome::Broken } else { Outcome::Held }
}
