//! The platform's store as PROTOCOL.md tells it: rows, transactions and a feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::hosts;
use crate::http::Conn;
use crate::json::{self, base64};

type Key = (String, String, String);

#[derive(Default)]
struct Data {
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

impl Data {
    fn put(&mut self, key: Key, value: Option<String>) {
        self.log.push((self.version, key.clone(), value.clone()));
        match value {
            Some(value) => drop(self.rows.insert(key, (value, self.version))),
            None => drop(self.rows.remove(&key)),
        }
    }
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    began: Instant,
    /// Whether the store is down and answers 503: nothing is done.
    pub is_busy: AtomicBool,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind(hosts::free()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (data, changed) = (Mutex::default(), Condvar::new());
        let store = Arc::new(Self {
            data,
            changed,
            began: Instant::now(),
            is_busy: AtomicBool::new(false),
            address,
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// A write of the operator or of a worker, `None` to remove the row.
    pub fn put(&self, table: &str, key: &str, document: Option<&str>) {
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        data.put(key, document.map(|text| base64(text.as_bytes())));
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(head) = conn.head() {
            let (body, _) = conn.body(&head, false);
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, body) = match path {
                _ if self.is_busy.load(Ordering::SeqCst) => (503, "{}".to_owned()),
                "/chestnutspur/rows-get" => (200, self.read(query)),
                "/chestnutspur/rows-feed" => (200, self.feed(query)),
                "/chestnutspur/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                "/chestnutspur/rows-parts" => (200, "{\"parts\":[\"\"]}".to_owned()),
                _ => (404, "{}".to_owned()),
            };
            // The store takes some milliseconds for an answer.
            std::thread::sleep(Duration::from_millis(3));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !conn.write(&answer) {
                return;
            }
        }
    }

    fn tail(&self, data: &Data) -> String {
        let now = self.began.elapsed().as_millis() + 1_000;
        format!("\"rowVersion\":{},\"nowMs\":{now}}}", data.version)
    }

    fn read(&self, query: &str) -> String {
        let data = self.data.lock().unwrap();
        let (table, part) = (field(query, "table"), field(query, "part"));
        let (from, target) = (field(query, "from"), field(query, "target"));
        let limit = field(query, "limit").parse().unwrap_or(500).min(500);
        let is_asked = |key: &Key| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && (target.is_empty() || key.2 < target)
        };
        let mut found = data.rows.iter().filter(|(key, _)| is_asked(key));
        let rows: Vec<String> = found
            .by_ref()
            .take(limit)
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let more = found.next().is_some();
        format!("{{\"rows\":[{}],\"hasMore\":{more},{}", rows.join(","), self.tail(&data))
    }

    fn feed(&self, query: &str) -> String {
        let table = field(query, "table");
        let after: u64 = field(query, "after").parse().unwrap_or(0);
        let wait: u64 = field(query, "waitMs").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut data = self.data.lock().unwrap();
        loop {
            let changes = data.log.iter().filter(|(v, key, _)| *v > after && key.0 == table);
            let rows: Vec<String> =
                changes.map(|(v, key, value)| row(key, value.as_ref(), *v)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&data));
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(change) = json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |one: &json::Json| (one.text("table"), one.text("part"), one.text("key"));
        let mut data = self.data.lock().unwrap();
        let foreign = |one: &&json::Json| ["op", "servers"].contains(&one.text("table").as_str());
        if change.list("writes").iter().chain(change.list("remove")).any(|one| foreign(&one)) {
            return (403, "{}".to_owned());
        }
        let expected = change.list("expected");
        let version = |key: &Key| data.rows.get(key).map_or(0, |(_, version)| *version);
        if expected.iter().any(|one| version(&key(one)) != one.number("rowVersion")) {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|one| data.rows.get_key_value(&key(one)))
                .map(|(key, (value, version))| row(key, Some(value), *version))
                .collect();
            return (412, format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&data)));
        }
        data.version += 1;
        for one in change.list("writes") {
            data.put(key(one), Some(one.text("value")));
        }
        for one in change.list("remove") {
            data.put(key(one), None);
        }
        self.changed.notify_all();
        (200, format!("{{{}", self.tail(&data)))
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, name) = key;
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{name}\",{content},\"rowVersion\":{version}}}"
    )
}

/// A field of a query, without its percent encoding.
fn field(query: &str, name: &str) -> String {
    let found = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = found.clone().find(|(n, _)| *n == name).map(|(_, v)| v).unwrap_or("");
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
