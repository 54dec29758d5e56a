//! Reading and checking the document: every fault found, each with its path.

mod rules;

use super::Document;
use crate::fault::{Fault, is_within};
use crate::read;

/// Reads a document and checks all of it.
///
/// A `generation` of 0 is right for the first document of a deployment: it was made from none.
///
/// # Errors
/// Every fault found, in the order of their paths.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let mut faults = Vec::new();
    let value = match read::parse_json(text, &mut faults) {
        Ok(value) => value,
        Err(error) => return Err(vec![Fault::at("", error.to_string())]),
    };
    let (document, repaired) = read::deserialize_repaired::<Document>(value, &mut faults);
    if let Some(document) = &document {
        let mut broken = Vec::new();
        rules::check(document, &mut broken);
        // What stands where a fault was mended is ours, not the operator's.
        broken.retain(|fault| !repaired.iter().any(|path| is_within(&fault.path, path)));
        faults.extend(broken);
    }
    faults.sort_by(|one, other| one.path.cmp(&other.path));
    match document {
        Some(document) if faults.is_empty() => Ok(document),
        _ => Err(faults),
    }
}

/// Reads a document that was accepted, without checking it again.
///
/// While hosts are replaced one by one by those of a newer release, its stricter rules must not
/// keep out what an older one accepted: the host would stay on a lower generation for good, and
/// nobody who could mend the document would learn of it.
///
/// # Errors
/// What is not the form of a document.
pub fn parse_accepted(text: &str) -> Result<Document, Fault> {
    serde_json::from_str(text).map_err(|error| Fault::at("", error.to_string()))
}
