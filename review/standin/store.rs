//! The platform's store, as PROTOCOL.md describes its rows: read, follow, change under conditions.

use std::collections::{BTreeMap, HashMap};
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Channel, Head};
use crate::json::Json;

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    version: u64,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, Row>,
    history: Vec<(Key, Row)>,
}

#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self { tables: Arc::default(), began: Instant::now() };
        let served = store.clone();
        let address = http::serve(move |channel| served.answer_calls(channel));
        (store, address)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut tables = self.tables.0.lock().unwrap();
        tables.version += 1;
        tables.change(key, Some(base64(value.as_bytes())));
        self.tables.1.notify_all();
    }

    fn answer_calls(&self, channel: &mut Channel) -> Result<()> {
        loop {
            let head = channel.head()?;
            let body = channel.body(&head)?;
            std::thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.call(&head, &body);
            let length = answer.len();
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{answer}"
            );
            channel.write(text.as_bytes())?;
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        match path {
            "/chestnutspur/rows-get" => {
                let tables = self.tables.0.lock().unwrap();
                let (table, part, from) = (text("table"), text("part"), text("from"));
                let target = query.get("target");
                let is_wanted = |key: &Key| {
                    key.0 == table
                        && key.1 == part
                        && key.2 >= from
                        && target.is_none_or(|target| key.2 < *target)
                };
                let rows = tables.rows.iter().filter(|(key, _)| is_wanted(key));
                (200, self.rows(&tables, rows))
            }
            "/chestnutspur/rows-feed" => {
                let until = Instant::now() + Duration::from_millis(number("waitMs"));
                let (table, after) = (text("table"), number("after"));
                let mut tables = self.tables.0.lock().unwrap();
                loop {
                    let is_new = |(key, row): &&(Key, Row)| key.0 == table && row.version > after;
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || tables.history.iter().any(|change| is_new(&change)) {
                        let rows =
                            tables.history.iter().filter(is_new).map(|(key, row)| (key, row));
                        return (200, self.rows(&tables, rows));
                    }
                    tables = self.tables.1.wait_timeout(tables, left).unwrap().0;
                }
            }
            "/chestnutspur/rows-tx" => self.transact(&Json::parse(body).unwrap_or(Json::Null)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, change: &Json) -> (u16, String) {
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut tables = self.tables.0.lock().unwrap();
        let holds = |row: &Json| {
            let version = tables.rows.get(&key(row)).map_or(0, |row| row.version);
            version == row.number("rowVersion")
        };
        let expected = change.list("expected");
        if !expected.iter().all(holds) {
            let keys: Vec<Key> = expected.iter().map(key).collect();
            let rows = tables.rows.iter().filter(|(key, _)| keys.contains(key));
            return (412, self.rows(&tables, rows));
        }
        tables.version += 1;
        for row in change.list("writes") {
            tables.change(key(&row), Some(row.text("value")));
        }
        for row in change.list("remove") {
            tables.change(key(&row), None);
        }
        self.tables.1.notify_all();
        (200, self.rows(&tables, std::iter::empty()))
    }

    fn rows<'a>(&self, tables: &Tables, rows: impl Iterator<Item = (&'a Key, &'a Row)>) -> String {
        let row = |((table, part, key), row): (&Key, &Row)| {
            let value = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            let version = row.version;
            format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\
                 \"rowVersion\":{version}}}"
            )
        };
        let rows: Vec<String> = rows.map(row).collect();
        let (rows, version) = (rows.join(","), tables.version);
        let now_ms = self.began.elapsed().as_millis() + 1_000;
        format!(
            "{{\"rows\":[{rows}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":{now_ms}}}"
        )
    }
}

impl Tables {
    fn change(&mut self, key: Key, value: Option<String>) {
        let row = Row { version: self.version, value };
        match row.value {
            Some(_) => drop(self.rows.insert(key.clone(), row.clone())),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((key, row));
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, others @ ..] = rest {
        rest = others;
        match (first, others) {
            (b'%', [high, low, after @ ..]) => {
                let hex = [*high, *low];
                let hex = std::str::from_utf8(&hex).unwrap_or("20");
                bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                rest = after;
            }
            (byte, _) => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or_default());
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= three.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
