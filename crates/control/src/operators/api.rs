//! The API that programs of operators use.

use std::sync::Arc;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, StatusCode};
use policy::name::Name;
use serde::Serialize;
use wire::fault::Fault;

use super::Asked;
use super::answer::{Answer, error, json, text};
use super::token;
use crate::configuration::accept::Refused;
use crate::node;
use crate::process::Process;
use crate::status;

/// Names the change, so that a lost answer can be settled by sending it again.
pub const CHANGE: &str = "chestnutspur-change";
const REDACTED: &str = "redacted";

#[derive(Serialize)]
struct Faults {
    faults: Vec<Fault>,
}

#[derive(Serialize)]
struct Stale {
    error: String,
    generation: u64,
}

/// Finds the handler.
pub async fn route(asked: &Asked, process: &Arc<Process>) -> Answer {
    match (&asked.method, asked.path.as_str()) {
        (&Method::GET, "/live") => text(StatusCode::OK, "text/plain", "live\n"),
        (&Method::GET, "/ready") => ready(process),
        (&Method::GET, "/metrics") => {
            text(StatusCode::OK, "text/plain; version=0.0.4", process.metrics.render())
        }
        (&Method::GET, "/configuration") => configuration(asked, process),
        (&Method::PUT, "/configuration") => put(asked, process).await,
        (&Method::GET, "/status") => json(StatusCode::OK, &status::status(process).await),
        (&Method::GET, "/bills") => bills(process).await,
        (&Method::GET, "/burn") => json(StatusCode::OK, &burn(process)),
        (&Method::GET, "/burn.svg") => picture(asked, process),
        (
            _,
            "/live" | "/ready" | "/metrics" | "/configuration" | "/status" | "/bills" | "/burn"
            | "/burn.svg",
        ) => error(StatusCode::METHOD_NOT_ALLOWED, "no such method here"),
        _ => error(StatusCode::NOT_FOUND, "no such page"),
    }
}

async fn bills(process: &Process) -> Answer {
    match process.ledger.audit().await {
        Ok(audit) => json(StatusCode::OK, &audit),
        Err(why) => later(&format!("the logs can't be read: {why}")),
    }
}

fn ready(process: &Process) -> Answer {
    match process.ready() {
        true => text(StatusCode::OK, "text/plain", "ready\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no configuration yet\n"),
    }
}

/// The document in force; session keys are shown to operators only.
fn configuration(asked: &Asked, process: &Process) -> Answer {
    let in_force = process.configuration.in_force();
    let hashes = &process.node.settings.operator_token_hashes;
    match in_force.generation {
        0 => error(StatusCode::NOT_FOUND, "no configuration yet"),
        _ if token::is_operator(&asked.headers, hashes) => {
            text(StatusCode::OK, "application/json", in_force.text.clone())
        }
        _ => {
            let mut document = in_force.document.clone();
            for key in document.session_keys.values_mut() {
                key.secret = Name::from(REDACTED);
            }
            json(StatusCode::OK, &document)
        }
    }
}

async fn put(asked: &Asked, process: &Arc<Process>) -> Answer {
    if !token::is_operator(&asked.headers, &process.node.settings.operator_token_hashes) {
        return error(StatusCode::UNAUTHORIZED, "an operator's token is needed");
    }
    let Ok(document) = std::str::from_utf8(&asked.body) else {
        return error(StatusCode::BAD_REQUEST, "the document is not UTF-8");
    };
    let change = asked.headers.get(CHANGE).and_then(|value| value.to_str().ok());
    match process.configuration.accept(document, change.unwrap_or_default()).await {
        Ok(generation) => json(StatusCode::OK, &status::reach(process, generation).await),
        Err(refused) => answer(refused),
    }
}

fn burn(process: &Process) -> crate::burn::Report {
    process.gossip.burn.report(&process.configuration.in_force().document, node::now())
}

/// The picture of one service level, named by the query `level=NAME`.
fn picture(asked: &Asked, process: &Process) -> Answer {
    let in_force = process.configuration.in_force();
    let name = asked.query.strip_prefix("level=").unwrap_or_default();
    let Some(level) = in_force.document.service_levels.get(name) else {
        return error(StatusCode::NOT_FOUND, "no such service level");
    };
    let series = process.gossip.burn.of(name);
    match crate::burn::svg(name, &series, level.objective, node::now()) {
        Ok(svg) => text(StatusCode::OK, "image/svg+xml", svg),
        Err(why) => error(StatusCode::INTERNAL_SERVER_ERROR, &why),
    }
}

/// How each refusal is answered.
#[must_use]
pub fn answer(refused: Refused) -> Answer {
    match refused {
        Refused::Faults(faults) => json(StatusCode::UNPROCESSABLE_ENTITY, &Faults { faults }),
        Refused::Stale { current } => {
            let error = format!("the newest generation is {current}; make the change from it");
            json(StatusCode::CONFLICT, &Stale { error, generation: current })
        }
        Refused::Change => {
            error(StatusCode::BAD_REQUEST, "header Chestnutspur-Change must name the change")
        }
        Refused::Unavailable(why) => {
            later(&format!("nothing was accepted, the platform can't be asked: {why}"))
        }
        Refused::Unknown(why) => {
            later(&format!("it may have been accepted, send it again with the same change: {why}"))
        }
    }
}

fn later(why: &str) -> Answer {
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, why);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("2"));
    answer
}
