//! The platform's HTTP form.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use wire::platform::{AS_OF, Committed, Transaction};

use super::fault::Faults;
use super::{Platform, Records};
use crate::draw;
use crate::fault::Down;
use crate::reply;
use crate::server::{Body, Cut, Handler};

/// One call, read whole.
struct Call {
    method: Method,
    path: String,
    query: String,
    /// `If-None-Match`.
    known: String,
    body: Bytes,
}

impl Call {
    async fn read(request: Request<Incoming>) -> Result<Self, Cut> {
        Ok(Self {
            method: request.method().clone(),
            path: reply::decode(request.uri().path()),
            query: request.uri().query().unwrap_or_default().to_owned(),
            known: reply::header(&request, IF_NONE_MATCH.as_str()).to_owned(),
            body: reply::body(request).await?,
        })
    }
}

impl Call {
    /// The value, or 304 if the caller knows what its tag was made from.
    fn unless_known(&self, tagged: &impl Serialize, value: &impl Serialize) -> Response<Body> {
        let tag = draw::digest(serde_json::to_vec(tagged).unwrap_or_default());
        let tag = format!("\"{tag}\"");
        let mut response = match self.known == tag {
            true => reply::status(StatusCode::NOT_MODIFIED),
            false => reply::json(StatusCode::OK, value),
        };
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(ETAG, tag);
        }
        response
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let call = Call::read(request).await?;
        match self.administer(&call) {
            Some(response) => Ok(response),
            None => self.serve(call).await,
        }
    }
}

impl Platform {
    /// Calls of tests and operators of the stand-in; no fault touches them.
    fn administer(&self, call: &Call) -> Option<Response<Body>> {
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
        let faults = self.faults();
        match faults.down {
            Down::Cut => return Err(Cut),
            Down::Unavailable => return Ok(reply::later(StatusCode::SERVICE_UNAVAILABLE)),
            Down::No if faults.silent => std::future::pending().await,
            Down::No => {}
        }
        if faults.delay_ms == 0 {
            return self.answer(&call, &faults);
        }
        // A task of its own: a slow write takes effect also when its caller has given up.
        let slow = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            self.answer(&call, &faults)
        });
        slow.await.unwrap_or(Err(Cut))
    }

    fn answer(&self, call: &Call, faults: &Faults) -> Result<Response<Body>, Cut> {
        let write = call.method != Method::GET;
        let allowed = match write {
            true => self.writes.take(faults.writes_per_second, Instant::now()),
            false => self.reads.take(faults.reads_per_second, Instant::now()),
        };
        if !allowed {
            return Ok(reply::later(StatusCode::TOO_MANY_REQUESTS));
        }
        let response = self.take_effect(call);
        match write && self.loses_answer() {
            true => Err(Cut),
            false => Ok(response),
        }
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    fn take_effect(&self, call: &Call) -> Response<Body> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/hosts") => {
                let list = self.lagging_hosts();
                // Of the hosts alone: when the list was made is no news.
                let mut response = call.unless_known(&list.hosts, &list);
                response.headers_mut().insert(AS_OF, HeaderValue::from(list.as_of.0));
                response
            }
            (&Method::GET, "/objects") => self.names(&call.query),
            (&Method::POST, "/transactions") => self.transact(&call.body),
            (method, path) => match (method, split(path)) {
                (&Method::GET, Some(("rows", rest))) => self.get_rows(rest, call),
                (&Method::GET, Some(("objects", name))) => self.get_object(name),
                (&Method::PUT, Some(("objects", name))) => self.put_object(name, call),
                _ => reply::status(StatusCode::NOT_FOUND),
            },
        }
    }

    fn get_rows(&self, path: &str, call: &Call) -> Response<Body> {
        let Some((table, key)) = path.split_once('/') else {
            let rows = self.rows(path);
            return call.unless_known(&rows, &rows);
        };
        match self.row(table, key) {
            Some(row) => call.unless_known(&row, &row),
            None => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn transact(&self, body: &[u8]) -> Response<Body> {
        let transaction = match serde_json::from_slice::<Transaction>(body) {
            Ok(transaction) => transaction,
            Err(error) => return reply::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.store().transact(transaction) {
            Ok(versions) => reply::json(StatusCode::OK, &Committed { versions }),
            Err(conflict) => reply::json(StatusCode::CONFLICT, &conflict),
        }
    }

    fn names(&self, query: &str) -> Response<Body> {
        let prefix = query.split('&').find_map(|pair| pair.strip_prefix("prefix="));
        let prefix = reply::decode(prefix.unwrap_or_default());
        reply::json(StatusCode::OK, &self.objects(&prefix))
    }

    fn get_object(&self, name: &str) -> Response<Body> {
        match self.store().object(name) {
            Some(bytes) => reply::bytes(StatusCode::OK, bytes),
            None => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn put_object(&self, name: &str, call: &Call) -> Response<Body> {
        if call.known != "*" {
            return reply::status(StatusCode::PRECONDITION_REQUIRED);
        }
        match self.store().put(name, call.body.clone()) {
            true => reply::status(StatusCode::CREATED),
            false => reply::status(StatusCode::PRECONDITION_FAILED),
        }
    }
}

fn split(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix('/')?.split_once('/')
}
