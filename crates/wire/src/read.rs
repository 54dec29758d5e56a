//! From text to what operators write, past members given twice, unknown ones and wrong kinds.
//!
//! The derived reader stops at its first fault. So each fault it finds is noted and mended with a
//! placeholder, and the reading starts over, until it comes through: the operator sees all faults
//! at once, and the rules can be checked on the rest.

use std::fmt;

use serde::Serialize;
use serde::de::{
    DeserializeOwned, DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor,
};
use serde_json::{Map, Value, json};
use serde_path_to_error::Segment;

use crate::fault::{Fault, is_within, join_path};

/// Faults of kind that are mended; a document with more is not worth going on with.
const MENDED_MAX: usize = 100;

/// Reads JSON; a member given twice is a fault, because readers differ on which one counts.
///
/// # Errors
/// When it is no JSON.
pub fn parse_json(text: &str, faults: &mut Vec<Fault>) -> Result<Value, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let seed = Seed { path: String::new(), faults };
    let value = seed.deserialize(&mut reader)?;
    reader.end()?;
    Ok(value)
}

/// One value under a path.
struct Seed<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, values.len());
            match items.next_element_seed(Seed { path, faults: self.faults })? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(key) = members.next_key::<String>()? {
            let path = join_path(&self.path, &key);
            if values.contains_key(&key) {
                self.faults.push(Fault::at(&path, "given twice"));
            }
            let value = members.next_value_seed(Seed { path, faults: self.faults })?;
            values.insert(key, value);
        }
        Ok(Value::Object(values))
    }
}

/// What the derived reader made of a value.
enum Outcome<T> {
    Read(T, Vec<String>),
    Fault { segments: Vec<Step>, path: String, message: String },
}

#[derive(Clone)]
enum Step {
    Index(usize),
    Member(String),
}

/// What was written, and the paths of what had to be mended; none if it was past mending.
pub fn deserialize_repaired<T>(
    mut value: Value,
    faults: &mut Vec<Fault>,
) -> (Option<T>, Vec<String>)
where
    T: DeserializeOwned + Serialize,
{
    let mut mended = Vec::new();
    for _ in 0..MENDED_MAX {
        match attempt::<T>(&value) {
            Outcome::Read(document, unknown) => {
                faults.extend(unknown.into_iter().map(|path| Fault::at(path, "unknown member")));
                if let Ok(read) = serde_json::to_value(&document) {
                    refuse_lists(&value, &read, "", faults);
                }
                return (Some(document), mended);
            }
            Outcome::Fault { segments, path, message } => {
                let (segments, path, message) = missing(segments, path, message);
                // What a placeholder lacks is ours, not the operator's.
                if !mended.iter().any(|outer| is_within(&path, outer)) {
                    faults.push(Fault::at(&path, message));
                }
                let repaired = mend::<T>(&value, &segments);
                mended.push(path);
                match repaired {
                    Some(repaired) => value = repaired,
                    None => return (None, mended),
                }
            }
        }
    }
    (None, mended)
}

/// The derived reader takes a list for an object, member by position. Nobody can check that by
/// eye, so it is refused.
fn refuse_lists(given: &Value, read: &Value, path: &str, faults: &mut Vec<Fault>) {
    match (given, read) {
        (Value::Array(_), Value::Object(_)) => faults.push(Fault::at(path, "must be an object")),
        (Value::Object(given), Value::Object(read)) => {
            for (key, value) in given {
                if let Some(read) = read.get(key) {
                    refuse_lists(value, read, &join_path(path, key), faults);
                }
            }
        }
        _ => {}
    }
}

fn attempt<T: DeserializeOwned>(value: &Value) -> Outcome<T> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(value, &mut track);
    let result = serde_ignored::deserialize(tracked, |path| unknown.push(path.to_string()));
    match result {
        Ok(document) => Outcome::Read(document, unknown),
        Err(error) => {
            let path = track.path();
            let segments = path.iter().filter_map(step).collect();
            let text = join_path("", &path.to_string());
            Outcome::Fault { segments, path: text, message: plain(&error) }
        }
    }
}

fn plain(error: &serde_json::Error) -> String {
    error.to_string()
}

fn step(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Member(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// A missing member is reported at its own path, not at that of the object it is missing from.
fn missing(mut segments: Vec<Step>, path: String, message: String) -> (Vec<Step>, String, String) {
    let member = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
    match member {
        Some(member) => {
            segments.push(Step::Member(member.to_owned()));
            (segments, join_path(&path, member), "missing".to_owned())
        }
        None => (segments, path, message),
    }
}

/// Puts the first placeholder in place after which the reader comes past it.
fn mend<T: DeserializeOwned>(value: &Value, segments: &[Step]) -> Option<Value> {
    let plain = [json!(0), json!("live"), json!(false), json!([]), json!({}), json!("0")];
    let of_settings = [json!("127.0.0.1:0"), json!({"text": "mended by the check"})];
    plain.into_iter().chain(of_settings).find_map(|placeholder| {
        let mut mended = value.clone();
        put(&mut mended, segments, placeholder)?;
        passes::<T>(&mended, segments).then_some(mended)
    })
}

fn put(value: &mut Value, segments: &[Step], placeholder: Value) -> Option<()> {
    let place = segments.iter().try_fold(value, |value, segment| match (segment, value) {
        (Step::Index(index), Value::Array(items)) => items.get_mut(*index),
        (Step::Member(key), Value::Object(members)) => {
            Some(members.entry(key.clone()).or_insert(Value::Null))
        }
        _ => None,
    })?;
    *place = placeholder;
    Some(())
}

/// Whether the next fault, if any, is another one: inside the placeholder counts as another.
fn passes<T: DeserializeOwned>(value: &Value, segments: &[Step]) -> bool {
    match attempt::<T>(value) {
        Outcome::Read(..) => true,
        Outcome::Fault { segments: next, message, .. } => {
            next.len() != segments.len()
                || message.starts_with("missing field")
                || !next.iter().zip(segments).all(|(one, other)| same(one, other))
        }
    }
}

fn same(one: &Step, other: &Step) -> bool {
    match (one, other) {
        (Step::Index(one), Step::Index(other)) => one == other,
        (Step::Member(one), Step::Member(other)) => one == other,
        _ => false,
    }
}
