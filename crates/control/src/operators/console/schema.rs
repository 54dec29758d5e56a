//! Which parts of the document the console edits, and how each member is typed.

use serde_json::{Map, Value, json};

use super::form::Form;

/// A part of the document that is a map by name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// Client accounts.
    Accounts,
    /// Versions.
    Versions,
    /// Roll-outs.
    Rollouts,
}

/// How a member is typed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// One line of text.
    Text,
    /// A number.
    Number,
    /// Yes or no.
    Flag,
    /// Texts, one a line.
    Lines,
    /// Numbers, one a line.
    Numbers,
    /// One of a few words.
    Choice(&'static [&'static str]),
}

/// One member of an entry.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its place in the entry as a JSON pointer, which is also its name in the form.
    pub pointer: String,
    /// What people read.
    pub label: String,
    /// How it is typed.
    pub kind: Kind,
}

const STATES: &[&str] = &["candidate", "live", "draining", "withdrawn"];

const ACCOUNT: &[(&str, &str, Kind)] = &[
    ("/versions", "allowed versions", Kind::Lines),
    ("/services", "allowed plain services", Kind::Lines),
    ("/default_task", "task of requests that name none", Kind::Text),
    ("/limit/requests_per_second", "requests a second at most (0: no limit)", Kind::Number),
    ("/limit/in_flight", "requests at once at most (0: no limit)", Kind::Number),
    ("/key_hashes", "SHA-256 of each key", Kind::Lines),
];
const TASK: &[(&str, &str, Kind)] = &[
    ("quality_target", "share of good answers promised", Kind::Number),
    ("may_repeat", "may run more than once", Kind::Flag),
    ("deadline_ms", "longest time (ms)", Kind::Number),
    ("priority", "priority (0 first)", Kind::Number),
];
const VERSION: &[(&str, &str, Kind)] = &[
    ("/state", "state", Kind::Choice(STATES)),
    ("/model", "model", Kind::Text),
    ("/cost", "cost of one call", Kind::Number),
    ("/pool", "pool", Kind::Text),
    ("/first_byte_ms", "silence before the first byte (ms)", Kind::Number),
    ("/between_bytes_ms", "silence between bytes (ms)", Kind::Number),
    ("/stale_limit_ms", "new sessions without a confirmed generation (ms)", Kind::Number),
    ("/cleared", "quarantines judged up to this generation are void", Kind::Number),
];
const ROLLOUT: &[(&str, &str, Kind)] = &[
    ("/version", "candidate", Kind::Text),
    ("/steps", "shares of new sessions, one a line", Kind::Numbers),
    ("/step_ms", "shortest stay on a step (ms)", Kind::Number),
    ("/min_rated", "rated answers that a step needs", Kind::Number),
    ("/guard", "stop below this share of good answers", Kind::Number),
];

impl Section {
    /// All.
    pub const ALL: [Self; 3] = [Self::Accounts, Self::Versions, Self::Rollouts];

    /// The one that a path names.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }

    /// Its member of the document.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accounts => "accounts",
            Self::Versions => "versions",
            Self::Rollouts => "rollouts",
        }
    }

    /// The map inside an entry whose keys people add and remove, with its label.
    #[must_use]
    pub fn inner(self) -> Option<(&'static str, &'static str)> {
        match self {
            Self::Accounts => Some(("tasks", "task")),
            Self::Versions => Some(("quality", "expected share of good answers on task")),
            Self::Rollouts => None,
        }
    }

    /// What a new entry starts with.
    #[must_use]
    pub fn blank(self) -> Value {
        match self {
            Self::Accounts => json!({
                "key_hashes": [], "versions": [], "services": [], "tasks": {},
                "default_task": "", "limit": {"requests_per_second": 0, "in_flight": 0}
            }),
            Self::Versions => json!({
                "model": "", "state": "candidate", "cost": 1, "pool": "", "quality": {},
                "first_byte_ms": 10_000, "between_bytes_ms": 5_000, "stale_limit_ms": 300_000,
                "cleared": 0
            }),
            Self::Rollouts => json!({
                "version": "", "steps": [0.05, 0.25, 1], "step_ms": 600_000, "min_rated": 50,
                "guard": 0.8
            }),
        }
    }

    fn blank_inner(self) -> Value {
        match self {
            Self::Accounts => json!({
                "quality_target": 0.9, "may_repeat": false, "deadline_ms": 10_000, "priority": 0
            }),
            Self::Versions | Self::Rollouts => json!(0.9),
        }
    }

    /// The members of an entry, those inside it included.
    #[must_use]
    pub fn members(self, entry: &Value) -> Vec<Member> {
        let fixed = match self {
            Self::Accounts => ACCOUNT,
            Self::Versions => VERSION,
            Self::Rollouts => ROLLOUT,
        };
        let member = |(pointer, label, kind): &(&str, &str, Kind)| Member {
            pointer: (*pointer).to_owned(),
            label: (*label).to_owned(),
            kind: *kind,
        };
        let mut members: Vec<Member> = fixed.iter().map(member).collect();
        let Some((inner, label)) = self.inner() else { return members };
        let keys = entry.get(inner).and_then(Value::as_object).into_iter().flat_map(Map::keys);
        for key in keys {
            let place = format!("/{inner}/{key}");
            match self {
                Self::Accounts => members.extend(TASK.iter().map(|(name, text, kind)| Member {
                    pointer: format!("{place}/{name}"),
                    label: format!("{label} {key}: {text}"),
                    kind: *kind,
                })),
                Self::Versions | Self::Rollouts => members.push(Member {
                    pointer: place,
                    label: format!("{label} {key}"),
                    kind: Kind::Number,
                }),
            }
        }
        members
    }

    /// The entry as typed over an older one. What is no number stays text, so that the check
    /// names it and the form shows it again.
    #[must_use]
    pub fn apply(self, entry: &Value, form: &Form) -> Value {
        let mut typed = entry.clone();
        for member in self.members(entry) {
            if let Some(place) = place(&mut typed, &member.pointer) {
                *place = member.kind.read(form, &member.pointer);
            }
        }
        self.apply_inner(&mut typed, form);
        typed
    }

    fn apply_inner(self, typed: &mut Value, form: &Form) {
        let Some((inner, _)) = self.inner() else { return };
        let Some(members) = typed.get_mut(inner).and_then(Value::as_object_mut) else { return };
        for removed in form.all("remove") {
            members.remove(removed);
        }
        let added = form.get("add").trim();
        if !added.is_empty() {
            members.entry(added).or_insert_with(|| self.blank_inner());
        }
    }
}

/// The place of a pointer, made if the entry leaves it out.
fn place<'a>(value: &'a mut Value, pointer: &str) -> Option<&'a mut Value> {
    pointer.split('/').skip(1).try_fold(value, |value, key| {
        value.as_object_mut().map(|members| members.entry(key).or_insert_with(|| json!({})))
    })
}

impl Kind {
    fn read(self, form: &Form, name: &str) -> Value {
        let text = form.get(name).trim();
        let lines = || text.lines().map(str::trim).filter(|line| !line.is_empty());
        match self {
            Self::Text | Self::Choice(_) => Value::from(text),
            Self::Number => number(text),
            Self::Flag => Value::from(!text.is_empty()),
            Self::Lines => lines().map(Value::from).collect(),
            Self::Numbers => lines().map(number).collect(),
        }
    }

    /// What a form shows for a value.
    #[must_use]
    pub fn show(self, value: &Value) -> String {
        match value {
            Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join("\n"),
            value => plain(value),
        }
    }
}

fn number(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(value) if value.is_number() => value,
        _ => Value::from(text),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}
