//! A stand-in for the platform's store: rows, transactions, a feed, and how it fails.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use platform::names;
use platform::store::{Answer, Reference, Row, Transaction};
use policy::name::Name;
use tokio::sync::watch;

use crate::reply;
use crate::server::{Body, Cut, Handler};

/// Rows of one answer at most.
const PAGE: usize = 500;

/// What is wrong with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It answers every call that it is down.
    Down,
    /// It answers nothing.
    Silent,
    /// It makes changes and does not answer.
    LosesAnswers,
    /// It closes the connection, and makes the change this much later, in milliseconds, if its
    /// conditions hold then.
    Late(u64),
}

/// A row's table, group and key.
type Place = (Name, Name, Name);
/// Rows, each with the version of its last change.
type Table = BTreeMap<Place, (Bytes, u64)>;

#[derive(Default)]
struct Inner {
    rows: Table,
    /// Changes, oldest first; none for a removal.
    history: Vec<(u64, Place, Option<Bytes>)>,
    /// Changes up to here are no longer kept.
    forgotten: u64,
    version: u64,
    fault: Fault,
    calls: u64,
    /// A past state that reads are answered from.
    stale: Option<(Table, u64)>,
}

/// The store.
pub struct Rows {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
    started: Instant,
}

impl Default for Rows {
    fn default() -> Self {
        Self { inner: Mutex::default(), changed: watch::Sender::new(0), started: Instant::now() }
    }
}

impl Rows {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as an operator or a backend server would.
    pub fn put(&self, table: &str, key: &str, value: &serde_json::Value) {
        let place = (Name::from(table), Name::default(), Name::from(key));
        self.change(vec![(place, Some(Bytes::from(value.to_string())))]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let place = (Name::from(table), Name::default(), Name::from(key));
        self.change(vec![(place, None)]);
    }

    /// What a row holds.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<serde_json::Value> {
        let place = (Name::from(table), Name::default(), Name::from(key));
        let inner = self.lock();
        inner.rows.get(&place).and_then(|(value, _)| serde_json::from_slice(value).ok())
    }

    /// Sets what is wrong with it.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Forgets its history; feeds that ask for it are told so.
    pub fn forget(&self) {
        let mut inner = self.lock();
        inner.history.clear();
        inner.forgotten = inner.version;
        drop(inner);
        self.changed.send_modify(|_| {});
    }

    /// Answers reads from its state as of now, whatever changes, or from the newest again.
    pub fn set_stale(&self, stale: bool) {
        let mut inner = self.lock();
        inner.stale = stale.then(|| (inner.rows.clone(), inner.version));
    }

    /// Calls answered so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn change(&self, changes: Vec<(Place, Option<Bytes>)>) -> u64 {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        for (place, value) in changes {
            match &value {
                Some(value) => drop(inner.rows.insert(place.clone(), (value.clone(), version))),
                None => drop(inner.rows.remove(&place)),
            }
            inner.history.push((version, place, value));
        }
        drop(inner);
        self.changed.send_replace(version);
        version
    }

    fn commit(&self, transaction: &Transaction) -> Result<u64, Vec<Row>> {
        let expected = |reference: &Reference| {
            let inner = self.lock();
            let held = inner.rows.get(&place(reference)).map_or(0, |(_, version)| *version);
            held == reference.row_version.unwrap_or_default()
        };
        let broken: Vec<&Reference> =
            transaction.expected.iter().filter(|reference| !expected(reference)).collect();
        if !broken.is_empty() {
            let inner = self.lock();
            let found = broken.iter().filter_map(|reference| {
                let place = place(reference);
                let (value, version) = inner.rows.get(&place)?;
                Some(row(&place, Some(value), *version))
            });
            return Err(found.collect());
        }
        let written = transaction.writes.iter().map(|reference| {
            let value = STANDARD.decode(reference.value.as_deref().unwrap_or_default());
            (place(reference), Some(Bytes::from(value.unwrap_or_default())))
        });
        let removed = transaction.remove.iter().map(|reference| (place(reference), None));
        Ok(self.change(written.chain(removed).collect()))
    }

    fn read(&self, query: &Query) -> Answer {
        let inner = self.lock();
        let (rows, version) = match &inner.stale {
            Some((rows, version)) => (rows, *version),
            None => (&inner.rows, inner.version),
        };
        let wanted = rows.iter().filter(|((table, part, key), _)| {
            *table == query.table
                && part.is_empty()
                && key.as_str() >= query.from.as_str()
                && (query.end.is_empty() || key.as_str() < query.end.as_str())
        });
        let mut found: Vec<Row> =
            wanted.map(|(place, (value, at))| row(place, Some(value), *at)).collect();
        let has_more = found.len() > PAGE;
        found.truncate(PAGE);
        self.answer(found, has_more, version)
    }

    fn answer(&self, rows: Vec<Row>, has_more: bool, row_version: u64) -> Answer {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or_default();
        Answer { rows, has_more, row_version, now_ms: now_ms + 1_000 }
    }

    /// Changes of a table behind a version; none if they are no longer kept.
    fn changes(&self, query: &Query) -> Option<Answer> {
        let inner = self.lock();
        if query.after < inner.forgotten {
            return None;
        }
        let new = inner
            .history
            .iter()
            .filter(|(version, (table, _, _), _)| *version > query.after && *table == query.table);
        let rows = new.map(|(version, place, value)| row(place, value.as_ref(), *version));
        Some(self.answer(rows.collect(), false, inner.version))
    }

    async fn follow(&self, query: &Query) -> Response<Body> {
        let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let Some(answer) = self.changes(query) else {
                return reply::bytes(StatusCode::GONE, "");
            };
            let waited = tokio::time::timeout_at(until, changed.changed());
            match answer.rows.is_empty() {
                false => return reply::json(StatusCode::OK, &answer),
                true if waited.await.is_err() => return reply::json(StatusCode::OK, &answer),
                true => {}
            }
        }
    }
}

impl Handler for Rows {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let fault = {
            let mut inner = self.lock();
            inner.calls += 1;
            inner.fault
        };
        match fault {
            Fault::Down => return Ok(reply::bytes(StatusCode::SERVICE_UNAVAILABLE, "")),
            Fault::Silent => std::future::pending().await,
            _ => {}
        }
        let query = Query::read(request.uri().query().unwrap_or_default());
        let path = request.uri().path().to_owned();
        match path.as_str() {
            names::call::READ => Ok(reply::json(StatusCode::OK, &self.read(&query))),
            names::call::FOLLOW => Ok(self.follow(&query).await),
            names::call::COMMIT => {
                let body = request.into_body().collect().await.map_err(|_| Cut)?.to_bytes();
                let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) else {
                    return Ok(reply::bytes(StatusCode::BAD_REQUEST, "no transaction"));
                };
                self.commit_or_fail(transaction, fault)
            }
            _ => Ok(reply::bytes(StatusCode::NOT_FOUND, "")),
        }
    }
}

impl Rows {
    fn commit_or_fail(
        self: &Arc<Self>,
        transaction: Transaction,
        fault: Fault,
    ) -> Result<Response<Body>, Cut> {
        if let Fault::Late(ms) = fault {
            let rows = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                // Its conditions may no longer hold; nobody is told either way.
                let _ = rows.commit(&transaction);
            });
            return Err(Cut);
        }
        let result = self.commit(&transaction);
        match (fault, result) {
            (Fault::LosesAnswers, _) => Err(Cut),
            (_, Ok(version)) => {
                Ok(reply::json(StatusCode::OK, &self.answer(Vec::new(), false, version)))
            }
            (_, Err(rows)) => {
                let answer = self.answer(rows, false, self.lock().version);
                Ok(reply::json(StatusCode::PRECONDITION_FAILED, &answer))
            }
        }
    }
}

fn place(reference: &Reference) -> Place {
    (reference.table.clone(), reference.part.clone(), reference.key.clone())
}

fn row((table, part, key): &Place, value: Option<&Bytes>, version: u64) -> Row {
    Row {
        table: table.clone(),
        part: part.clone(),
        key: key.clone(),
        value: value.map(|value| STANDARD.encode(value)),
        row_version: version,
        deleted: value.is_none(),
    }
}

/// A call's query.
#[derive(Default)]
struct Query {
    table: Name,
    from: String,
    end: String,
    after: u64,
    wait_ms: u64,
}

impl Query {
    fn read(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            let value = unescape(value);
            match name {
                "table" => query.table = Name::from(value),
                "from" => query.from = value,
                "target" => query.end = value,
                "after" => query.after = value.parse().unwrap_or_default(),
                "waitMs" => query.wait_ms = value.parse().unwrap_or_default(),
                _ => {}
            }
        }
        query
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|pair| std::str::from_utf8(pair).ok());
        match (first, code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (first, _) => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
