//! Saving a form: one whole document, from the generation that the form shows.

use std::sync::Arc;

use hyper::StatusCode;
use serde_json::{Value, json};
use wire::configuration::Document;
use wire::fault::Fault;

use super::diff::{self, Change};
use super::form::Form;
use super::schema::Section;
use super::session::Session;
use super::{html, page};
use crate::configuration::accept::Refused;
use crate::operators::answer::{Answer, error};
use crate::process::Process;
use crate::status;

/// The path that a new entry is made at.
pub const NEW: &str = "+new";

/// An entry in a form, with what there is to say about it.
pub struct Draft {
    /// Which part of the document.
    pub section: Section,
    /// The entry's name; empty for a new one that has none yet.
    pub name: String,
    /// Whether the document has it not yet.
    pub is_new: bool,
    /// The entry, as it is or as it was typed.
    pub entry: Value,
    /// The generation that a save will be made from.
    pub generation: u64,
    /// Names the change, so that sending a form twice is one change.
    pub change: String,
    /// Faults, each with its path in the document.
    pub faults: Vec<Fault>,
    /// What others changed meanwhile.
    pub meanwhile: Vec<Change>,
    /// What else there is to say.
    pub message: String,
}

impl Draft {
    /// The form of an entry as it is; none if there is no such entry.
    #[must_use]
    pub fn open(section: Section, name: &str, document: &Value, generation: u64) -> Option<Self> {
        let is_new = name == NEW;
        let entry = match is_new {
            true => section.blank(),
            false => document.get(section.name())?.get(name)?.clone(),
        };
        let name = if is_new { String::new() } else { name.to_owned() };
        Some(Self::typed(section, name, is_new, entry, generation))
    }

    fn typed(section: Section, name: String, is_new: bool, entry: Value, generation: u64) -> Self {
        Self {
            section,
            name,
            is_new,
            entry,
            generation,
            change: format!("console-{:032x}", rand::random::<u128>()),
            faults: Vec::new(),
            meanwhile: Vec::new(),
            message: String::new(),
        }
    }

    /// The entry's path in the document.
    #[must_use]
    pub fn path(&self) -> String {
        format!("{}.{}", self.section.name(), self.name)
    }
}

/// A document as JSON.
#[must_use]
pub fn value_of(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

/// Hides the secrets in a part of a document.
pub fn redact(value: &mut Value) {
    match value {
        Value::Object(members) => {
            for (key, value) in members {
                match key.as_str() {
                    "secret" => *value = json!("redacted"),
                    _ => redact(value),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact),
        _ => {}
    }
}

/// Saves a form, and shows what became of it.
pub async fn save(
    section: Section,
    name: &str,
    form: &Form,
    process: &Arc<Process>,
    session: &Session,
) -> Answer {
    let in_force = process.configuration.in_force();
    let now = value_of(&in_force.document);
    let generation = form.get("generation").parse().unwrap_or(0);
    let base = match process.configuration.document_of(generation).await {
        Some(base) => value_of(&base),
        None => now.clone(),
    };
    let Some(mut draft) = read(section, name, form, &base, generation) else {
        return error(StatusCode::NOT_FOUND, "no such entry");
    };
    let document = with(&base, &draft, form);
    let outcome = process.configuration.accept(&document.to_string(), form.get("change")).await;
    match outcome {
        Ok(generation) => {
            let reach = status::reach(process, generation).await;
            return html(StatusCode::OK, page::saved(&draft, &reach, session));
        }
        Err(Refused::Faults(faults)) => draft.faults = faults,
        Err(Refused::Stale { current }) => lost(&mut draft, &base, current, process).await,
        Err(Refused::Change) => draft.message = "The form had no change id; save again.".to_owned(),
        Err(Refused::Unavailable(why)) => {
            draft.message = format!("Nothing was saved, the platform can't be asked: {why}");
        }
        Err(Refused::Unknown(why)) => {
            draft.message = format!("It may have been saved; save again to find out: {why}");
            form.get("change").clone_into(&mut draft.change);
        }
    }
    let status = match draft.meanwhile.is_empty() && draft.message.is_empty() {
        true => StatusCode::UNPROCESSABLE_ENTITY,
        false => StatusCode::CONFLICT,
    };
    html(status, page::edit(&draft, &now, session))
}

fn read(section: Section, name: &str, form: &Form, base: &Value, generation: u64) -> Option<Draft> {
    let is_new = name == NEW;
    let before = match is_new {
        true => section.blank(),
        false => base.get(section.name())?.get(name)?.clone(),
    };
    let name = if is_new { form.get("name").trim() } else { name };
    let entry = section.apply(&before, form);
    Some(Draft::typed(section, name.to_owned(), is_new, entry, generation))
}

/// The whole document with the draft in it, or without the entry if it is to go.
fn with(base: &Value, draft: &Draft, form: &Form) -> Value {
    let mut document = base.clone();
    document["generation"] = json!(draft.generation);
    if let Some(entries) = document[draft.section.name()].as_object_mut() {
        match form.get("delete").is_empty() {
            true => drop(entries.insert(draft.name.clone(), draft.entry.clone())),
            false => drop(entries.remove(&draft.name)),
        }
    }
    document
}

/// Shows what the winner changed. What was typed stays, and is from now on a change of the newest
/// generation: saved again, it goes over the winner's, knowingly.
async fn lost(draft: &mut Draft, base: &Value, current: u64, process: &Arc<Process>) {
    draft.message = format!("Others were first: the newest generation is {current}.");
    if let Err(why) = process.configuration.poll().await {
        log::warn!("console: {why}");
    }
    let newest = process.configuration.in_force();
    draft.meanwhile = diff::changes(base, &value_of(&newest.document));
    draft.generation = newest.generation;
}
