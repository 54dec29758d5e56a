//! The console's pages. maud escapes every text put in.

use maud::{DOCTYPE, Markup, html};
use serde_json::{Map, Value};
use wire::fault::Fault;

use super::save::{Draft, NEW};
use super::schema::{Kind, Member, Section};
use super::session::Session;
use crate::process::Process;
use crate::status::{Reach, Status};

/// The style sheet.
pub const STYLE: &str = "body{font:15px/1.4 system-ui,sans-serif;max-width:62em;margin:1em auto;\
padding:0 1em}nav a{margin-right:1em}table{border-collapse:collapse}td,th{border:1px solid #bbb;\
padding:.2em .6em;text-align:left}label{display:block;margin:.7em 0 .1em}input,select,textarea{\
font:inherit;width:28em}input[type=checkbox]{width:auto}.fault{color:#a00;margin:.1em 0}\
.note{background:#fec;padding:.5em}";

fn layout(title: &str, session: Option<&Session>, body: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (title) " - chestnutspur" }
                link rel="stylesheet" href="/console/style.css";
            }
            body {
                @if let Some(session) = session {
                    nav {
                        a href="/console/" { "status" }
                        @for section in Section::ALL {
                            a href=(format!("/console/{}", section.name())) { (section.name()) }
                        }
                    }
                    form method="post" action="/console/logout" {
                        (csrf(session))
                        button { "sign out" }
                    }
                }
                h1 { (title) }
                (body)
            }
        }
    }
}

fn csrf(session: &Session) -> Markup {
    html! { input type="hidden" name="csrf" value=(session.csrf); }
}

/// The form to sign in with.
#[must_use]
pub fn login(message: &str) -> Markup {
    let body = html! {
        @if !message.is_empty() { p.fault { (message) } }
        form method="post" action="/console/login" {
            label for="token" { "operator's token" }
            input type="password" name="token" id="token" autocomplete="off";
            p { button { "sign in" } }
        }
    };
    layout("Sign in", None, &body)
}

/// Hosts and generations, quarantines, roll-outs, burn.
#[must_use]
pub fn overview(status: &Status, process: &Process, session: &Session) -> Markup {
    let document = &process.configuration.in_force().document;
    let burn = process.gossip.burn.report(document, crate::node::now());
    let generation = |held: Option<u64>| held.map_or("not known".to_owned(), |n| n.to_string());
    let body = html! {
        p { "Generation " b { (status.generation) } " in force on " (status.host) ", confirmed "
            (status.unconfirmed_ms) " ms ago." }
        @if status.bills_full { p.note { "New work is refused: bills can't be kept safe." } }
        h2 { "Hosts" }
        table {
            tr { th { "host" } th { "failure domain" } th { "control" } th { "entry" } }
            @for host in &status.hosts {
                tr {
                    td { (host.host) } td { (host.failure_domain) }
                    td { (generation(host.control)) } td { (generation(host.entry)) }
                }
            }
        }
        h2 { "Quarantines" }
        @if status.quarantined.is_empty() { p { "None." } }
        @for mark in &status.quarantined {
            p { b { (mark.version) } " since generation " (mark.generation) ": " (mark.reason) ". "
                a href=(format!("/console/versions/{}", mark.version)) { "lift it" }
                " by voiding generations up to " (status.generation) "." }
        }
        h2 { "Roll-outs" }
        @if status.shares.is_empty() { p { "None." } }
        @for (version, share) in &status.shares {
            p { b { (version) } ": " (share * 100.0) " % of new sessions" }
        }
        h2 { "Service levels" }
        @for level in &burn.levels {
            h3 { (level.name) @if level.alert { " burns too fast" } }
            table {
                tr { th { "window" } th { "good" } th { "all" } th { "times the allowed errors" } }
                @for window in &level.burns {
                    tr { td { (window.window.short_ms / 60_000) " min" } td { (window.short.good) }
                        td { (window.short.total) } td { (format!("{:.2}", window.short_rate)) } }
                    tr { td { (window.window.long_ms / 60_000) " min" } td { (window.long.good) }
                        td { (window.long.total) } td { (format!("{:.2}", window.long_rate)) } }
                }
            }
            img src=(format!("/burn.svg?level={}", level.name)) alt="burn over the last hour";
        }
    };
    layout("Status", Some(session), &body)
}

/// All entries of a section.
#[must_use]
pub fn list(section: Section, document: &Value, session: &Session) -> Markup {
    let entries = document.get(section.name()).and_then(Value::as_object);
    let entries: Vec<(&String, &Value)> = entries.into_iter().flat_map(Map::iter).collect();
    let body = html! {
        table {
            @for (name, entry) in entries {
                tr {
                    td { a href=(format!("/console/{}/{name}", section.name())) { (name) } }
                    td { (summary(section, entry)) }
                }
            }
        }
        p { a href=(format!("/console/{}/{NEW}", section.name())) { "add one" } }
    };
    layout(section.name(), Some(session), &body)
}

fn summary(section: Section, entry: &Value) -> String {
    let member = match section {
        Section::Accounts => &entry["versions"],
        Section::Versions => &entry["state"],
        Section::Rollouts => &entry["version"],
    };
    Kind::Lines.show(member).replace('\n', ", ")
}

/// The form of an entry.
#[must_use]
pub fn edit(draft: &Draft, document: &Value, session: &Session) -> Markup {
    let name = if draft.is_new { NEW } else { &draft.name };
    let members = draft.section.members(&draft.entry);
    let body = html! {
        @if !draft.message.is_empty() { p.note { (draft.message) } }
        (meanwhile(draft))
        (elsewhere(draft, &members))
        form method="post" action=(format!("/console/{}/{name}", draft.section.name())) {
            (csrf(session))
            input type="hidden" name="generation" value=(draft.generation);
            input type="hidden" name="change" value=(draft.change);
            @if draft.is_new {
                label for="name" { "name" }
                input name="name" id="name" value=(draft.name);
            }
            @for member in &members { (field(draft, member)) }
            (inner(draft))
            p { button { "save" } }
            @if !draft.is_new { p { button name="delete" value="yes" { "delete this entry" } } }
        }
        p { "Made from generation " (draft.generation) ". Pools: " (names(document, "pools"))
            ". Versions: " (names(document, "versions")) "." }
    };
    let title = if draft.name.is_empty() { "new" } else { &draft.name };
    layout(&format!("{} {title}", draft.section.name()), Some(session), &body)
}

fn names(document: &Value, section: &str) -> String {
    let entries = document.get(section).and_then(Value::as_object);
    let names: Vec<&str> = entries.into_iter().flat_map(Map::keys).map(String::as_str).collect();
    names.join(", ")
}

fn meanwhile(draft: &Draft) -> Markup {
    html! {
        @if !draft.meanwhile.is_empty() {
            div.note {
                p { "Changed meanwhile. What you typed is kept; saving again puts it over this." }
                table {
                    tr { th { "where" } th { "before" } th { "now" } }
                    @for change in &draft.meanwhile {
                        tr { td { (change.path) } td { (change.before) } td { (change.after) } }
                    }
                }
            }
        }
    }
}

/// Faults that belong to no field of this form.
fn elsewhere(draft: &Draft, members: &[Member]) -> Markup {
    let shown = |fault: &Fault| members.iter().any(|member| is_at(fault, &place(draft, member)));
    html! {
        @for fault in draft.faults.iter().filter(|fault| !shown(fault)) {
            p.fault { (fault) }
        }
    }
}

fn place(draft: &Draft, member: &Member) -> String {
    format!("{}{}", draft.path(), member.pointer.replace('/', "."))
}

fn is_at(fault: &Fault, place: &str) -> bool {
    match fault.path.strip_prefix(place) {
        Some(rest) => rest.is_empty() || rest.starts_with('['),
        None => false,
    }
}

fn field(draft: &Draft, member: &Member) -> Markup {
    let value = draft.entry.pointer(&member.pointer).unwrap_or(&Value::Null);
    let text = member.kind.show(value);
    let place = place(draft, member);
    let name = &member.pointer;
    html! {
        label for=(name) { (member.label) }
        @match member.kind {
            Kind::Text | Kind::Number => input name=(name) id=(name) value=(text);,
            Kind::Flag => {
                input type="checkbox" name=(name) id=(name) value="yes"
                    checked[value.as_bool() == Some(true)];
            },
            Kind::Lines | Kind::Numbers => {
                textarea name=(name) id=(name) rows="3" { (text) }
            },
            Kind::Choice(words) => {
                select name=(name) id=(name) {
                    @for word in words {
                        option value=(word) selected[text == *word] { (word) }
                    }
                }
            },
        }
        @for fault in draft.faults.iter().filter(|fault| is_at(fault, &place)) {
            p.fault { (fault.message) }
        }
    }
}

/// Adding to and removing from the map inside the entry.
fn inner(draft: &Draft) -> Markup {
    let Some((inner, label)) = draft.section.inner() else { return html! {} };
    let keys = draft.entry.get(inner).and_then(Value::as_object).into_iter().flat_map(Map::keys);
    html! {
        @for key in keys {
            label { input type="checkbox" name="remove" value=(key); " remove " (label) " " (key) }
        }
        label for="add" { "add " (label) }
        input name="add" id="add";
    }
}

/// What became of a save.
#[must_use]
pub fn saved(draft: &Draft, reach: &Reach, session: &Session) -> Markup {
    let hosts = |hosts: &[policy::name::Name]| {
        hosts.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    let body = html! {
        p { "Saved as generation " b { (reach.generation) } "." }
        p { "In force on: " (hosts(&reach.in_force)) "." }
        @if !reach.waiting.is_empty() { p.note { "Waiting: " (hosts(&reach.waiting)) "." } }
        p { a href=(format!("/console/{}", draft.section.name())) { "back" } }
    };
    layout("Saved", Some(session), &body)
}
