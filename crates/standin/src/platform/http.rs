//! The platform's HTTP interface.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::IF_NONE_MATCH;
use hyper::{Method, Request, Response, StatusCode};
use platform::names::{self, call};
use platform::store::message::{Answer, Objects, Reference, Row, Transaction};
use policy::name::Name;
use wire::store::{Condition, Write};

use super::query::Query;
use super::store::Changed;
use super::{BYTES_MARK, Platform, Records, increment};
use crate::fault::Outage;
use crate::reply;
use crate::server::{Body, Cut, Handler};

/// Most rows in one answer.
const ANSWER_ROWS_MAX: usize = 500;
/// Most names of objects in one answer.
const ANSWER_NAMES_MAX: usize = 1_000;
/// Most rows that one transaction may name, in its conditions, writes and removals together.
const TRANSACTION_ROWS_MAX: usize = 100;
/// Most bytes of a row's value.
const ROW_BYTES_MAX: usize = 65_536;

/// A call whose body has been read.
struct Call {
    method: Method,
    path: String,
    query: Query,
    /// The header `If-None-Match`; empty if absent.
    if_none_match: String,
    body: Bytes,
}

impl Call {
    async fn read(request: Request<Incoming>) -> Result<Self, Cut> {
        Ok(Self {
            method: request.method().clone(),
            path: reply::percent_decode(request.uri().path()),
            query: Query::parse(request.uri().query().unwrap_or_default()),
            if_none_match: reply::header(&request, IF_NONE_MATCH.as_str()).to_owned(),
            body: reply::body(request).await?,
        })
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let call = Call::read(request).await?;
        match self.handle_control(&call) {
            Some(response) => Ok(response),
            None => {
                let mut response = Arc::clone(&self).serve(call).await?;
                response.headers_mut().insert(names::STORE_ERA, self.era().into());
                Ok(response)
            }
        }
    }
}

impl Platform {
    /// Answers the calls by which tests control the stand-in, which no fault touches; `None` for a
    /// call of the store.
    fn handle_control(&self, call: &Call) -> Option<Response<Body>> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/records") => {
                let records = Records { committed: self.records(), bills: self.bills() };
                Some(reply::json(StatusCode::OK, &records))
            }
            (&Method::GET, "/faults") => Some(reply::json(StatusCode::OK, &self.faults())),
            (&Method::PUT, "/faults") => {
                Some(reply::set(&call.body, |faults| self.set_faults(faults)))
            }
            (&Method::PUT, "/hosts") => Some(reply::set(&call.body, |hosts| self.set_hosts(hosts))),
            _ => None,
        }
    }

    async fn serve(self: Arc<Self>, call: Call) -> Result<Response<Body>, Cut> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults();
        match faults.down {
            Outage::Cut => return Err(Cut),
            Outage::Unavailable => return Ok(reply::retry_later(StatusCode::SERVICE_UNAVAILABLE)),
            Outage::No if faults.silent => std::future::pending().await,
            Outage::No => {}
        }
        let is_write = call.method != Method::GET;
        let is_allowed = match is_write {
            true => self.writes.try_acquire(faults.writes_per_second, Instant::now()),
            false => self.reads.try_acquire(faults.reads_per_second, Instant::now()),
        };
        if !is_allowed {
            return Ok(reply::retry_later(StatusCode::TOO_MANY_REQUESTS));
        }
        if is_write && faults.late_ms > 0 {
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
                // The conditions may no longer hold. The result goes nowhere, since the caller's
                // connection is already broken.
                let _ = self.execute(&call);
            });
            return Err(Cut);
        }
        if faults.delay_ms == 0 {
            return self.answer(&call).await;
        }
        // A separate task, so that a slow write takes effect even if its caller has gone, which
        // drops this future.
        let slow = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            self.answer(&call).await
        });
        slow.await.unwrap_or(Err(Cut))
    }

    async fn answer(&self, call: &Call) -> Result<Response<Body>, Cut> {
        if (&call.method, call.path.as_str()) == (&Method::GET, call::FOLLOW) {
            return Ok(self.follow(&call.query).await);
        }
        let response = self.execute(call);
        match call.method != Method::GET && self.loses_answer() {
            true => Err(Cut),
            false => Ok(response),
        }
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn execute(&self, call: &Call) -> Response<Body> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, call::READ) => self.read(&call.query),
            (&Method::POST, call::COMMIT) => self.commit(&call.body),
            (&Method::GET, call::LIST_OBJECTS) => self.list_objects(&call.query),
            (method, path) => match (method, split_object_path(path)) {
                (&Method::GET, Some((call::GET_OBJECT, name))) => self.get_object(name),
                (&Method::PUT, Some((call::PUT_OBJECT, name))) => self.put_object(name, call),
                _ => reply::status(StatusCode::NOT_FOUND),
            },
        }
    }

    fn read(&self, query: &Query) -> Response<Body> {
        self.publish_hosts();
        increment(&self.range_reads, &query.table);
        let (rows, revision) =
            self.store().read(&query.group, &query.table, &query.from, &query.end);
        let has_more = rows.len() > ANSWER_ROWS_MAX;
        let rows = rows.iter().take(ANSWER_ROWS_MAX).map(encode_row).collect();
        reply::json(StatusCode::OK, &Answer { has_more, ..self.rows_answer(rows, revision) })
    }

    fn rows_answer(&self, rows: Vec<Row>, row_version: u64) -> Answer {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or_default();
        // The clock starts at 1 s, as if the platform had run for some time before.
        Answer { rows, has_more: false, row_version, now_ms: now_ms + 1_000 }
    }

    async fn follow(&self, query: &Query) -> Response<Body> {
        let Ok(after) = query.after.parse() else { return reply::status(StatusCode::BAD_REQUEST) };
        self.publish_hosts();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let (changes, revision) = {
                let store = self.store();
                (store.changes(&query.table, after), store.revision())
            };
            let Some(changes) = changes else { return reply::status(StatusCode::GONE) };
            let is_quiet = changes.is_empty();
            if is_quiet && tokio::time::timeout_at(deadline, changed.changed()).await.is_ok() {
                continue;
            }
            let rows = changes.iter().map(encode_change).collect();
            if !is_quiet {
                increment(&self.change_answers, &query.table);
            }
            return reply::json(StatusCode::OK, &self.rows_answer(rows, revision));
        }
    }

    fn commit(&self, body: &[u8]) -> Response<Body> {
        let transaction = match serde_json::from_slice::<Transaction>(body) {
            Ok(transaction) => transaction,
            Err(error) => return reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let entries =
            transaction.expected.len() + transaction.writes.len() + transaction.remove.len();
        if entries > TRANSACTION_ROWS_MAX {
            return reply::bytes(
                StatusCode::BAD_REQUEST,
                format!("too many rows in a transaction: {entries}"),
            );
        }
        let decoded = match decode_transaction(transaction) {
            Ok(decoded) => decoded,
            Err(error) => return reply::bytes(StatusCode::BAD_REQUEST, error),
        };
        let mut store = self.store();
        let committed = store.commit(decoded);
        let revision = store.revision();
        drop(store);
        match committed {
            Ok(revision) => {
                self.changed.send_replace(revision);
                reply::json(StatusCode::OK, &self.rows_answer(Vec::new(), revision))
            }
            Err(rows) => {
                let rows = rows.iter().map(encode_row).collect();
                reply::json(StatusCode::PRECONDITION_FAILED, &self.rows_answer(rows, revision))
            }
        }
    }

    fn list_objects(&self, query: &Query) -> Response<Body> {
        let all = self.objects(&query.prefix).into_iter();
        let mut names: Vec<String> =
            all.map(|name| name.to_string()).filter(|name| *name > query.after).collect();
        let has_more = names.len() > ANSWER_NAMES_MAX;
        names.truncate(ANSWER_NAMES_MAX);
        reply::json(StatusCode::OK, &Objects { names, has_more })
    }

    fn get_object(&self, name: &str) -> Response<Body> {
        match self.store().object(name) {
            Some(bytes) => reply::bytes(StatusCode::OK, bytes),
            None => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn put_object(&self, name: &str, call: &Call) -> Response<Body> {
        if call.if_none_match != "*" {
            return reply::status(StatusCode::PRECONDITION_REQUIRED);
        }
        match self.store().put(name, call.body.clone()) {
            true => reply::status(StatusCode::OK),
            false => reply::status(StatusCode::PRECONDITION_FAILED),
        }
    }
}

/// Splits the path of a call for one object into the call and the object's name.
fn split_object_path(path: &str) -> Option<(&str, &str)> {
    let calls = [call::GET_OBJECT, call::PUT_OBJECT];
    calls.into_iter().find_map(|call| Some((call, path.strip_prefix(call)?.strip_prefix('/')?)))
}

/// The bytes of a row: its text, or what another writer left that is no text.
fn content(value: &str) -> Vec<u8> {
    match value.strip_prefix(BYTES_MARK) {
        Some(bytes) => bytes.chars().map(|byte| byte as u8).collect(),
        None => value.as_bytes().to_vec(),
    }
}

fn encode_row(row: &wire::store::Row) -> Row {
    Row {
        table: row.table.clone(),
        key: row.key.clone(),
        value: Some(STANDARD.encode(content(&row.value))),
        row_version: row.version.number,
        ..Row::default()
    }
}

fn encode_change(changed: &Changed) -> Row {
    match &changed.row {
        Some(row) => encode_row(row),
        None => Row {
            table: changed.table.clone(),
            key: changed.key.clone(),
            row_version: changed.revision,
            deleted: true,
            ..Row::default()
        },
    }
}

fn decode_transaction(transaction: Transaction) -> Result<wire::store::Transaction, String> {
    let group = common_group(&transaction)?;
    let conditions = transaction.expected.into_iter().map(|reference| Condition {
        version: reference.row_version.unwrap_or_default().into(),
        table: reference.table,
        key: reference.key,
    });
    let writes = transaction.writes.into_iter().map(|reference| {
        let Reference { table, key, value, .. } = reference;
        let value = STANDARD.decode(value.unwrap_or_default()).map_err(|e| e.to_string())?;
        match value.len() {
            0..=ROW_BYTES_MAX => {
                let value = String::from_utf8(value).map_err(|error| error.to_string())?;
                Ok(Write { table, key, value: Some(value) })
            }
            length => Err(format!("value of row {key} is too long: {length} bytes")),
        }
    });
    let mut writes: Vec<Write> = writes.collect::<Result<_, String>>()?;
    let removed = transaction.remove.into_iter();
    writes.extend(removed.map(|r| Write { table: r.table, key: r.key, value: None }));
    Ok(wire::store::Transaction { group, conditions: conditions.collect(), writes })
}

/// The group that all rows of a transaction belong to; an error if they belong to several.
fn common_group(transaction: &Transaction) -> Result<Name, String> {
    let Transaction { expected, writes, remove } = transaction;
    let references = expected.iter().chain(writes).chain(remove);
    let mut groups = references.map(|reference| &reference.part);
    let first = groups.next().cloned().unwrap_or_default();
    match groups.all(|other| *other == first) {
        true => Ok(first),
        false => Err("rows of several groups in one transaction".to_owned()),
    }
}
