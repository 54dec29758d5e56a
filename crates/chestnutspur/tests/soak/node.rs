//! A node process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{Fleet, domain};
use crate::ports;

/// A node and its process, which may be down.
pub struct Node {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators, which reports readiness and status.
    pub operators: SocketAddr,
    settings: PathBuf,
    /// The file that the process logs to.
    pub log: PathBuf,
    /// Optional settings, beside those of all nodes.
    more_settings: Value,
    child: Option<Child>,
}

impl Node {
    /// Starts a node of a fleet.
    pub fn start(fleet: &Fleet, number: usize) -> Self {
        let mut node = Self {
            callers: ports::next(),
            operators: ports::next(),
            settings: fleet.directory.join(format!("node-{number}.json")),
            log: fleet.directory.join(format!("node-{number}.log")),
            more_settings: fleet.settings.clone(),
            child: None,
        };
        node.write_settings(fleet.store_proxies[number].address, number, 10_000);
        node.ensure_started();
        node
    }

    /// Writes the settings file. Another window than before is a change that the node must adopt.
    pub fn write_settings(&self, store: SocketAddr, number: usize, window_ms: u64) {
        let mut settings = json!({
            "role": "node", "name": format!("node-{number}"),
            "failure_domain": domain(number),
            "listen": self.callers, "operators": self.operators, "platform": store,
            "peers": "127.0.0.1:0", "drain_ms": 6_000,
            "failure_domains": ["a", "b"],
            "repeats": {"share": 0.9, "slack": 50, "window_ms": window_ms},
        });
        let more = self.more_settings.as_object().into_iter().flatten();
        more.for_each(|(name, value)| settings[name] = value.clone());
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
    }

    /// Starts the process unless it is running.
    pub fn ensure_started(&mut self) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            return;
        }
        let open = || std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
            .args(["node", "--settings", &self.settings.display().to_string()])
            .stdout(open().expect("log"))
            .stderr(open().expect("log"))
            .stdin(Stdio::null())
            .spawn()
            .expect("node");
        self.child = Some(child);
    }

    /// Sends a signal, named as `kill` names it, if the process is running.
    pub fn signal(&mut self, signal: &str) {
        let Some(child) = &mut self.child else { return };
        if matches!(child.try_wait(), Ok(None)) {
            let id = child.id().to_string();
            let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
            assert!(sent.expect("kill").success());
        }
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits by itself; returns false if it takes longer than the timeout.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => tokio::time::sleep(Duration::from_millis(20)).await,
                _ => return true,
            }
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
