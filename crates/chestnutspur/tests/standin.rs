//! The stand-ins as processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use hyper::Method;
use standin::client::{Client, request};
use standin::platform::Records;

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and returns the listening address that it prints.
fn start(arguments: &[&str]) -> (Process, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
        .arg("standin")
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let process = Process(child);
    let printed: serde_json::Value = serde_json::from_str(&line).unwrap();
    (process, printed["listening"]["address"].as_str().unwrap().parse().unwrap())
}

#[tokio::test]
async fn platform_serves_a_deployment() {
    let (_process, address) = start(&["platform", "--deployment", "midlands"]);
    let client = Client::new(address);
    let list = control::store::Client::new(address).hosts().await.unwrap();
    assert!(list.hosts.iter().any(|host| &*host.failure_domain == "newark-hall"));
    let answer = client.call(request(Method::GET, "/records", "").unwrap()).await.unwrap();
    let records: Records = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(records.committed.len(), 1);
}

#[tokio::test]
async fn passthrough_reaches_a_service() {
    let (_service, service) = start(&["service"]);
    let (_passthrough, address) = start(&["passthrough", "--to", &service.to_string()]);
    let client = Client::new(address);
    let answer = client.call(request(Method::GET, "/status", "").unwrap()).await.unwrap();
    let echo: standin::service::Echo = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(&*echo.call, "GET /status");
}
