//! A `chestnutspur` process that a test starts and that is killed when the test ends.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use serde_json::Value;

use super::call::Call;
use super::{CONDITION_TIMEOUT, wait_until};

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running process. Dropping it kills the process.
pub struct Process {
    child: Child,
    listening: Value,
    log: PathBuf,
}

/// Creates an empty directory for a test's files.
pub fn directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("directory");
    directory
}

impl Process {
    /// Starts `chestnutspur COMMAND --settings FILE` and waits for the line with its addresses.
    pub fn spawn(directory: &Path, name: &str, command: &str, settings: &Value) -> Self {
        let file = directory.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings");
        let arguments = [command, "--settings", &file.display().to_string()].map(String::from);
        Self::spawn_with(directory, name, &arguments)
    }

    /// Starts a subcommand that prints its listening addresses, and waits for that line.
    pub fn spawn_with(directory: &Path, name: &str, arguments: &[String]) -> Self {
        let log = directory.join(format!("{name}.log"));
        let append = std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let mut child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(append.expect("log file"))
            .spawn()
            .expect("process");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("standard output");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let Ok(mut value) = serde_json::from_str::<Value>(&line) else {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            panic!("{name} did not start: {line}{text}");
        };
        Self { child, listening: value["listening"].take(), log }
    }

    /// Returns a listening address by its name in the printed line.
    pub fn address(&self, port: &str) -> SocketAddr {
        let text = self.listening[port].as_str().unwrap_or_default();
        text.parse().unwrap_or_else(|_| panic!("no address {port} in {}", self.listening))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time that the process has used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The command's name may contain spaces and ends at the last bracket. Source and system
        // time are fields 14 and 15 of the line, 11 and 12 after the name.
        let after = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = after.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
    }

    /// Returns the peak resident memory of the process, in KiB.
    pub fn memory_kb(&self) -> u64 {
        let file = format!("/proc/{}/status", self.id());
        let status = std::fs::read_to_string(file).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal, named as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("status") {
                return status;
            }
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the process did not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the operators' port reports that the process is ready.
    pub async fn wait_until_ready(&self) {
        let operators = self.address("operators");
        wait_until("ready", async || {
            Call::get("/ready").send(operators).await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process stopped by SIGSTOP does not react to SIGTERM, but SIGKILL always ends it.
        self.kill();
    }
}
