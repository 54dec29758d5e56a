//! What differs between two documents, member by member, for an operator who lost a race.

use serde_json::Value;
use wire::fault::join_path;

/// Differences shown at most.
const SHOWN_MAX: usize = 50;

const REDACTED: &str = "redacted";

/// One difference.
#[derive(Debug, PartialEq)]
pub struct Change {
    /// Where.
    pub path: String,
    /// What stood there; empty for nothing.
    pub before: String,
    /// What stands there; empty for nothing.
    pub after: String,
}

/// All differences but the generation's own, up to a bound.
#[must_use]
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut found = Vec::new();
    walk("", Some(before), Some(after), &mut found);
    found.retain(|change| change.path != "generation");
    found.truncate(SHOWN_MAX);
    found
}

fn walk(path: &str, before: Option<&Value>, after: Option<&Value>, found: &mut Vec<Change>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                walk(&join_path(path, key), old.get(key), new.get(key), found);
            }
        }
        // The value is the secret itself; that it changed is all to be shown.
        (before, after) if path.ends_with(".secret") => found.push(Change {
            path: path.to_owned(),
            before: before.map(|_| REDACTED.to_owned()).unwrap_or_default(),
            after: after.map(|_| REDACTED.to_owned()).unwrap_or_default(),
        }),
        (before, after) => found.push(Change {
            path: path.to_owned(),
            before: before.map(short).unwrap_or_default(),
            after: after.map(short).unwrap_or_default(),
        }),
    }
}

/// Secrets are not shown: the paths say enough.
fn short(value: &Value) -> String {
    const LENGTH_MAX: usize = 200;
    let mut value = value.clone();
    super::save::redact(&mut value);
    let text = value.to_string();
    match text.char_indices().nth(LENGTH_MAX) {
        Some((at, _)) => format!("{}…", &text[..at]),
        None => text,
    }
}
