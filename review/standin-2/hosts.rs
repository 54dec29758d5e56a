//! The system's own processes, with the command of the deploy file and its settings.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use crate::http;

pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    process: Child,
}

/// Figures of the deployment that settings are filled from.
pub struct Bounds {
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    pub contact_ms: u64,
    pub grace_s: u64,
    pub exposure_share: f64,
    pub retry_budget_ratio: f64,
    pub budget_slack: u64,
    pub budget_window_s: u64,
    pub cores: f64,
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// A free port for TCP and UDP. Below the ports that the system gives to outgoing channels, which
/// could take it before it is listened at, or while its worker is away.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + u16::try_from(std::process::id() % 150).unwrap_or(0) * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a host. `platform` is the address at which it finds the store.
pub fn start(
    name: &str,
    zone: &str,
    zones: &[&str],
    platform: SocketAddr,
    bounds: &Bounds,
    folder: &std::path::Path,
) -> Host {
    let folder = folder.join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let (callers, ready, metrics, peers, forward) = (free(), free(), free(), free(), free());
    let domains: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    // As deploy/settings.json.template fills it.
    let settings = format!(
        "{{\"role\":\"node\",\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\
         \"failure_domains\":[{}],\"listen\":\"{callers}\",\"operators\":\"{ready}\",\
         \"metrics\":\"{metrics}\",\"platform\":\"{platform}\",\"peers\":\"{peers}\",\
         \"forward\":\"{forward}\",\"first_start\":true,\"change_ms\":{},\"leaving_ms\":{},\
         \"contact_ms\":{},\"threads\":1,\"standing_delay_ms\":40,\
         \"prefix_index\":{{\"entries_max\":65536}},\
         \"placement\":{{\"fetch\":true,\"loads\":true,\"speeds\":true}},\
         \"resources\":{{\"core_share\":{},\"link_mbps\":1000.0,\"descriptors\":{},\
         \"memory_mb\":{}}},\"drain_ms\":{},\"repeats\":{{\"share\":{},\"slack\":{},\
         \"window_ms\":{}}},\"exposure_share\":{}}}",
        domains.join(","),
        bounds.config_apply_ms,
        bounds.drain_ms,
        bounds.contact_ms,
        bounds.cores,
        bounds.descriptors,
        bounds.memory_mb,
        bounds.grace_s * 1_000,
        bounds.retry_budget_ratio,
        bounds.budget_slack,
        bounds.budget_window_s * 1_000,
        bounds.exposure_share
    );
    let file = folder.join("settings.json");
    std::fs::write(&file, settings).expect("settings");
    let process = spawn(&file);
    Host { name: name.to_owned(), zone: zone.to_owned(), callers, ready, settings: file, process }
}

fn spawn(settings: &Path) -> Child {
    let mut command = Command::new("target/release/chestnutspur");
    command.arg("node").env_clear().env("CHESTNUTSPUR_NODE_FILE", settings);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("the program of the deploy file")
}

impl Host {
    /// Starts the process again. `bootstrap` is true only at the first start of the whole system.
    pub fn start_again(&mut self) {
        let settings = std::fs::read_to_string(&self.settings).expect("settings");
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&self.settings, settings).expect("settings");
        self.process = spawn(&self.settings);
    }

    pub fn is_ready(&self) -> bool {
        http::get(self.ready, "/ready") == 200
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    pub fn end(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn until_ready(hosts: &[Host]) -> bool {
    http::wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready))
}
