//! The platform as a node sees it: settings, start, the memory limit, and a new start after an end.
//! It sends signals only to processes that it has started itself.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::Channel;
use crate::record::Record;

/// What the bench's build puts there, see deploy/system.toml.
const PROGRAM: &str = "target/release/chestnutspur";
/// Interval of looks at a process's memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// "A process that exits or is killed is restarted after a short delay" (DEPLOY.md).
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What the platform saw of one machine.
#[derive(Default)]
pub struct Seen {
    /// Ends by memory over the limit.
    pub ends_by_memory: u32,
    /// Other ends of the process's own.
    pub own_ends: u32,
    /// Most memory, in bytes.
    pub most: u64,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    watch: Option<JoinHandle<()>>,
}

struct Machine {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    memory_mb: u64,
    text: String,
}

impl Node {
    /// Starts a node with the settings that deploy/settings.json.template gives on a machine of the
    /// deployment Trentvale.
    pub fn start(
        name: &str,
        zone: &str,
        memory_mb: u64,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let ports: Vec<SocketAddr> = (0..5).map(|_| free_port()).collect();
        let [front, ready, metrics, peers, forward] = ports[..] else { unreachable!() };
        let text = format!(
            r#"{{
  "role": "node", "name": "{name}", "failure_domain": "{zone}",
  "failure_domains": [ "derby-hall","melton-hall","newark-hall" ],
  "listen": "{front}", "operators": "{ready}", "metrics": "{metrics}",
  "platform": "{store}", "peers": "{peers}", "forward": "{forward}",
  "first_start": FIRST,
  "change_ms": 2000, "leaving_ms": 2000, "contact_ms": 3000, "threads": 1,
  "standing_delay_ms": 40,
  "prefix_index": {{ "entries_max": 65536 }},
  "placement": {{ "fetch": true, "loads": true, "speeds": true }},
  "resources": {{ "core_share": 0.25, "link_mbps": 1000.0,
    "descriptors": 4200, "memory_mb": {memory_mb} }},
  "drain_ms": 8000,
  "repeats": {{ "share": 0.9, "slack": 54, "window_ms": 10000 }},
  "exposure_share": 0.15
}}"#
        );
        let machine = Machine {
            name: name.to_owned(),
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            memory_mb,
            text,
        };
        let (seen, stop) = (Arc::<Mutex<Seen>>::default(), Arc::new(AtomicBool::new(false)));
        let watch = {
            let (seen, stop, record) = (Arc::clone(&seen), Arc::clone(&stop), record.clone());
            std::thread::spawn(move || machine.run(&seen, &stop, &record))
        };
        Self { name: name.to_owned(), front, ready, seen, stop, watch: Some(watch) }
    }

    /// Waits until the node says that it is ready; false if it does not within five seconds.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            if is_ready(self.ready).unwrap_or_default() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.watch.take().into_iter().for_each(|watch| drop(watch.join()));
    }
}

impl Machine {
    fn launch(&self, is_first: bool) -> Child {
        let text = self.text.replace("FIRST", if is_first { "true" } else { "false" });
        std::fs::write(&self.settings, text).expect("the settings file");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log file");
        Command::new(PROGRAM)
            .arg("node")
            .env("CHESTNUTSPUR_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log file"))
            .stdout(log)
            .spawn()
            .expect("target/release/chestnutspur: build it as deploy/system.toml says")
    }

    fn run(&self, seen: &Mutex<Seen>, stop: &AtomicBool, record: &Record) {
        let mut process = self.launch(true);
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(LOOK_INTERVAL);
            let mut why = String::new();
            let memory = memory_of(process.id()).unwrap_or_default();
            {
                let mut seen = seen.lock().unwrap();
                seen.most = seen.most.max(memory);
                if let Ok(Some(status)) = process.try_wait() {
                    seen.own_ends += 1;
                    why = format!("ended by itself: {status}");
                } else if memory > self.memory_mb << 20 {
                    seen.ends_by_memory += 1;
                    why = format!(
                        "killed, it uses {} MB and may use {} MB",
                        memory >> 20,
                        self.memory_mb
                    );
                }
            }
            if !why.is_empty() {
                let _ = process.kill();
                let _ = process.wait();
                record.line(&format!("process on {} {why}", self.name));
                std::thread::sleep(RESTART_DELAY);
                process = self.launch(false);
            }
        }
        let _ = process.kill();
        let _ = process.wait();
    }
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut channel = Channel::open(address, Duration::from_secs(1))?;
    channel.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    Ok(channel.head()?.status() == 200)
}

/// The resident memory of a process, in bytes.
fn memory_of(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib << 10)
}

/// A loopback address whose port is free for TCP and UDP. It lies below the ports from which the
/// system takes those of outgoing connections, so that it is still free when a node starts again.
fn free_port() -> SocketAddr {
    static TRIES: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(31) + TRIES.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (number % 18_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
