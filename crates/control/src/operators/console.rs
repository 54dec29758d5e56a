//! The operators' console: server-rendered forms under `/console/`.
//!
//! Each form edits one entry of the document. A save sends one whole document, made from the
//! generation that the form shows, through the same acceptance as any other change.

pub mod diff;
pub mod form;
pub mod page;
pub mod save;
pub mod schema;
pub mod session;

use std::sync::Arc;

use hyper::header::{CONTENT_SECURITY_POLICY, COOKIE, HeaderValue, LOCATION, SET_COOKIE};
use hyper::{Method, StatusCode};
use log::info;

use self::form::Form;
use self::schema::Section;
use self::session::{Session, Sessions};
use super::answer::{Answer, error, text};
use super::{Asked, token};
use crate::process::Process;

/// Scripts are not used at all; styles, pictures and forms are our own, and no other page may
/// put the console in a frame.
const POLICY: &str = "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; \
                      frame-ancestors 'none'; base-uri 'none'";

/// Finds the page.
pub async fn route(asked: &Asked, process: &Arc<Process>) -> Answer {
    let path = asked.path.strip_prefix("/console/").unwrap_or_default();
    let session = session(asked, &process.sessions);
    match (&asked.method, path, session) {
        (&Method::GET, "style.css", _) => text(StatusCode::OK, "text/css", page::STYLE),
        (&Method::GET, "login", _) => html(StatusCode::OK, page::login("")),
        (&Method::POST, "login", _) => login(asked, process),
        (&Method::GET, _, None) => redirect("/console/login"),
        (_, _, None) => html(StatusCode::UNAUTHORIZED, page::login("Sign in first.")),
        (&Method::GET, "", Some(session)) => {
            let status = crate::status::status(process).await;
            html(StatusCode::OK, page::overview(&status, process, &session))
        }
        (&Method::GET, path, Some(session)) => show(path, process, &session),
        (&Method::POST, path, Some(session)) => post(asked, path, process, &session).await,
        _ => error(StatusCode::METHOD_NOT_ALLOWED, "no such method here"),
    }
}

/// An HTML answer.
#[must_use]
pub fn html(status: StatusCode, markup: maud::Markup) -> Answer {
    let mut answer = text(status, "text/html; charset=utf-8", markup.into_string());
    answer.headers_mut().insert(CONTENT_SECURITY_POLICY, HeaderValue::from_static(POLICY));
    answer
}

fn redirect(to: &'static str) -> Answer {
    let mut answer = text(StatusCode::SEE_OTHER, "text/plain", "");
    answer.headers_mut().insert(LOCATION, HeaderValue::from_static(to));
    answer
}

fn session(asked: &Asked, sessions: &Sessions) -> Option<Session> {
    let cookies = asked.headers.get(COOKIE).and_then(|value| value.to_str().ok())?;
    let cookie = cookies.split("; ").find_map(|cookie| cookie.strip_prefix(session::COOKIE))?;
    sessions.find(cookie.strip_prefix('=')?, crate::node::now())
}

fn login(asked: &Asked, process: &Process) -> Answer {
    let form = Form::parse(&asked.body);
    let hashes = &process.node.settings.operator_token_hashes;
    if !token::is_known(form.get("token").trim(), hashes) {
        metrics::counter!("console_logins_refused_total").increment(1);
        return html(StatusCode::UNAUTHORIZED, page::login("This token is not known."));
    }
    let id = process.sessions.open(crate::node::now());
    info!("console: an operator signed in");
    let cookie = format!("{}={id}; Path=/console/; HttpOnly; SameSite=Strict", session::COOKIE);
    let mut answer = redirect("/console/");
    match HeaderValue::from_str(&cookie) {
        Ok(cookie) => drop(answer.headers_mut().insert(SET_COOKIE, cookie)),
        Err(why) => return error(StatusCode::INTERNAL_SERVER_ERROR, &why.to_string()),
    }
    answer
}

/// A list of entries, or the form of one.
fn show(path: &str, process: &Process, session: &Session) -> Answer {
    let in_force = process.configuration.in_force();
    let (section, name) = path.split_once('/').unwrap_or((path, ""));
    let Some(section) = Section::named(section) else {
        return error(StatusCode::NOT_FOUND, "no such page");
    };
    let document = save::value_of(&in_force.document);
    if name.is_empty() {
        return html(StatusCode::OK, page::list(section, &document, session));
    }
    match save::Draft::open(section, name, &document, in_force.generation) {
        Some(draft) => html(StatusCode::OK, page::edit(&draft, &document, session)),
        None => error(StatusCode::NOT_FOUND, "no such entry"),
    }
}

async fn post(asked: &Asked, path: &str, process: &Arc<Process>, session: &Session) -> Answer {
    let form = Form::parse(&asked.body);
    // The cookie comes along with any form a stranger's page sends here, where the browser is too
    // old for SameSite; this token does not, because that page cannot read ours.
    if !session.owns(form.get("csrf")) {
        metrics::counter!("console_forged_total").increment(1);
        return error(StatusCode::FORBIDDEN, "the form is not one of this session's");
    }
    let (section, name) = path.split_once('/').unwrap_or((path, ""));
    match (path, Section::named(section)) {
        ("logout", _) => {
            process.sessions.close(&session.id);
            redirect("/console/login")
        }
        (_, Some(section)) => save::save(section, name, &form, process, session).await,
        _ => error(StatusCode::NOT_FOUND, "no such page"),
    }
}
