//! Reads documents that operators write, and reports all faults of form: repeated members, unknown
//! members and values of a wrong type.
//!
//! A derived deserializer stops at its first fault. So each fault is recorded, the faulty value is
//! replaced by a placeholder, and deserialization starts again until it succeeds. The operator sees
//! all faults at once, and further rules can be checked on the rest of the document.

use std::fmt;

use serde::Serialize;
use serde::de::{
    DeserializeOwned, DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor,
};
use serde_json::{Map, Value, json};
use serde_path_to_error::Segment;

use crate::fault::{Fault, is_within, join_path};

/// Most faulty values that are replaced by placeholders. A document with more faults is not read
/// any further.
const REPAIRS_MAX: usize = 100;

/// Parses JSON. A member that is given twice is a fault, because JSON readers differ on which of
/// the two values counts.
///
/// # Errors
/// When the text is not JSON.
pub fn parse_json(text: &str, faults: &mut Vec<Fault>) -> Result<Value, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { path: String::new(), faults };
    let value = seed.deserialize(&mut reader)?;
    reader.end()?;
    Ok(value)
}

/// Deserializes one JSON value and reports repeated members inside it.
struct ValueSeed<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
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
            match items.next_element_seed(ValueSeed { path, faults: self.faults })? {
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
            let value = members.next_value_seed(ValueSeed { path, faults: self.faults })?;
            values.insert(key, value);
        }
        Ok(Value::Object(values))
    }
}

/// Result of deserializing a value.
enum Outcome<T> {
    /// The value, and the paths of unknown members.
    Success(T, Vec<String>),
    /// The first fault.
    Fault { segments: Vec<PathSegment>, path: String, message: String },
}

#[derive(Clone)]
enum PathSegment {
    Index(usize),
    Member(String),
}

/// Deserializes a value, with a placeholder in place of each faulty value. Returns the result and
/// the paths of the placeholders; the result is none if a fault can't be repaired in this way.
pub fn deserialize_repaired<T>(
    mut value: Value,
    faults: &mut Vec<Fault>,
) -> (Option<T>, Vec<String>)
where
    T: DeserializeOwned + Serialize,
{
    let mut repaired = Vec::new();
    for _ in 0..REPAIRS_MAX {
        match deserialize::<T>(&value) {
            Outcome::Success(document, unknown) => {
                faults.extend(unknown.into_iter().map(|path| Fault::at(path, "unknown member")));
                if let Ok(parsed) = serde_json::to_value(&document) {
                    reject_arrays(&value, &parsed, "", faults);
                }
                return (Some(document), repaired);
            }
            Outcome::Fault { segments, path, message } => {
                let (segments, path, message) = locate_missing(segments, path, message);
                // A member that a placeholder lacks is not the operator's fault.
                if !repaired.iter().any(|outer| is_within(&path, outer)) {
                    faults.push(Fault::at(&path, message));
                }
                let next = insert_placeholder::<T>(&value, &segments);
                repaired.push(path);
                match next {
                    Some(next) => value = next,
                    None => return (None, repaired),
                }
            }
        }
    }
    (None, repaired)
}

/// Reports arrays in place of objects. A derived deserializer accepts them and assigns members by
/// position, which operators can't verify by eye.
fn reject_arrays(input: &Value, parsed: &Value, path: &str, faults: &mut Vec<Fault>) {
    match (input, parsed) {
        (Value::Array(_), Value::Object(_)) => faults.push(Fault::at(path, "must be an object")),
        (Value::Object(input), Value::Object(parsed)) => {
            for (key, value) in input {
                if let Some(parsed) = parsed.get(key) {
                    reject_arrays(value, parsed, &join_path(path, key), faults);
                }
            }
        }
        _ => {}
    }
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Outcome<T> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(value, &mut track);
    let result = serde_ignored::deserialize(tracked, |path| unknown.push(path.to_string()));
    match result {
        Ok(document) => Outcome::Success(document, unknown),
        Err(error) => {
            let path = track.path();
            let segments = path.iter().filter_map(path_segment).collect();
            let text = join_path("", &path.to_string());
            Outcome::Fault { segments, path: text, message: describe(&error) }
        }
    }
}

fn describe(error: &serde_json::Error) -> String {
    error.to_string()
}

fn path_segment(segment: &Segment) -> Option<PathSegment> {
    match segment {
        Segment::Seq { index } => Some(PathSegment::Index(*index)),
        Segment::Map { key } => Some(PathSegment::Member(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Turns the fault of an object that lacks a member into a fault at the path of that member.
fn locate_missing(
    mut segments: Vec<PathSegment>,
    path: String,
    message: String,
) -> (Vec<PathSegment>, String, String) {
    let member = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
    match member {
        Some(member) => {
            segments.push(PathSegment::Member(member.to_owned()));
            (segments, join_path(&path, member), "missing".to_owned())
        }
        None => (segments, path, message),
    }
}

/// Replaces the faulty value by the first placeholder that deserialization accepts at its place.
fn insert_placeholder<T: DeserializeOwned>(
    value: &Value,
    segments: &[PathSegment],
) -> Option<Value> {
    let any_document = [json!(0), json!("live"), json!(false), json!([]), json!({}), json!("0")];
    let settings_only = [json!("127.0.0.1:0"), json!({"text": "mended by the check"})];
    any_document.into_iter().chain(settings_only).find_map(|placeholder| {
        let mut repaired = value.clone();
        replace(&mut repaired, segments, placeholder)?;
        is_fault_resolved::<T>(&repaired, segments).then_some(repaired)
    })
}

fn replace(value: &mut Value, segments: &[PathSegment], placeholder: Value) -> Option<()> {
    let place = segments.iter().try_fold(value, |value, segment| match (segment, value) {
        (PathSegment::Index(index), Value::Array(items)) => items.get_mut(*index),
        (PathSegment::Member(key), Value::Object(members)) => {
            Some(members.entry(key.clone()).or_insert(Value::Null))
        }
        _ => None,
    })?;
    *place = placeholder;
    Some(())
}

/// Whether deserialization succeeds or stops at a different fault. A member that the placeholder
/// lacks counts as a different fault.
fn is_fault_resolved<T: DeserializeOwned>(value: &Value, segments: &[PathSegment]) -> bool {
    match deserialize::<T>(value) {
        Outcome::Success(..) => true,
        Outcome::Fault { segments: next, message, .. } => {
            next.len() != segments.len()
                || message.starts_with("missing field")
                || !next.iter().zip(segments).all(|(a, b)| is_same_segment(a, b))
        }
    }
}

fn is_same_segment(a: &PathSegment, b: &PathSegment) -> bool {
    match (a, b) {
        (PathSegment::Index(a), PathSegment::Index(b)) => a == b,
        (PathSegment::Member(a), PathSegment::Member(b)) => a == b,
        _ => false,
    }
}
