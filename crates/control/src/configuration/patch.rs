//! A change as the difference from the generation before, for hosts that have that one.
//!
//! A document grows with the deployment while a change stays small. At 1,500 changes a day the
//! whole of it each time would be most of what controls say to each other. The hash of the result
//! makes the short way as safe as the whole document: what does not come out the same is fetched.

use serde_json::Value;
use wire::configuration::Document;
use wire::gossip::{Change, Edit};

use super::InForce;
use crate::hosts::short_hash;

/// Past this many edits the whole document is the shorter.
const EDITS_MAX: usize = 200;

/// The change from one generation to the next; none if they are not neighbours, or too unlike.
#[must_use]
pub fn between(before: &InForce, after: &InForce) -> Option<Change> {
    if before.generation == 0 || before.generation + 1 != after.generation {
        return None;
    }
    let old = serde_json::to_value(&before.document).ok()?;
    let new = serde_json::to_value(&after.document).ok()?;
    let mut edits = Vec::new();
    walk(&mut Vec::new(), &old, &new, &mut edits);
    let hash = short_hash(after.text.as_bytes());
    (edits.len() <= EDITS_MAX).then_some(Change { from: before.generation, hash, edits })
}

fn walk(path: &mut Vec<String>, old: &Value, new: &Value, edits: &mut Vec<Edit>) {
    let (old, new) = match (old, new) {
        (old, new) if old == new => return,
        (Value::Object(old), Value::Object(new)) => (old, new),
        (_, new) => {
            edits.push(Edit { path: path.clone(), value: Some(new.to_string()) });
            return;
        }
    };
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        path.push(key.clone());
        edits.push(Edit { path: path.clone(), value: None });
        path.pop();
    }
    for (key, value) in new {
        path.push(key.clone());
        match old.get(key) {
            Some(old) => walk(path, old, value, edits),
            None => edits.push(Edit { path: path.clone(), value: Some(value.to_string()) }),
        }
        path.pop();
    }
}

/// The text of the next generation; none if the change is not from this one, or does not lead to
/// what its maker had.
#[must_use]
pub fn apply(before: &InForce, change: &Change) -> Option<String> {
    if before.generation == 0 || before.generation != change.from {
        return None;
    }
    let mut value = serde_json::to_value(&before.document).ok()?;
    for edit in &change.edits {
        put(&mut value, edit)?;
    }
    let document: Document = serde_json::from_value(value).ok()?;
    let text = serde_json::to_string(&document).ok()?;
    (short_hash(text.as_bytes()) == change.hash).then_some(text)
}

fn put(value: &mut Value, edit: &Edit) -> Option<()> {
    let (last, parents) = edit.path.split_last()?;
    let parent = parents.iter().try_fold(value, |value, key| value.get_mut(key))?;
    let members = parent.as_object_mut()?;
    match &edit.value {
        Some(text) => drop(members.insert(last.clone(), serde_json::from_str(text).ok()?)),
        None => drop(members.remove(last)),
    }
    Some(())
}
