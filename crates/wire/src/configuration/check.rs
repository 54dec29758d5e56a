//! Reads and validates the configuration document.

mod rules;

use super::Document;
use crate::fault::{Fault, is_within};
use crate::read;

/// Reads a document and validates all of it.
///
/// A `generation` of 0 is valid: the first document of a deployment was made from no other.
///
/// # Errors
/// All faults found, in the order of their paths.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let mut faults = Vec::new();
    let value = match read::parse_json(text, &mut faults) {
        Ok(value) => value,
        Err(error) => return Err(vec![Fault::at("", error.to_string())]),
    };
    let (document, repaired) = read::deserialize_repaired::<Document>(value, &mut faults);
    if let Some(document) = &document {
        let mut rule_faults = Vec::new();
        rules::check(document, &mut rule_faults);
        // A repaired place holds a placeholder of this reader, not the operator's value.
        rule_faults.retain(|fault| !repaired.iter().any(|path| is_within(&fault.path, path)));
        faults.extend(rule_faults);
    }
    faults.sort_by(|a, b| a.path.cmp(&b.path));
    match document {
        Some(document) if faults.is_empty() => Ok(document),
        _ => Err(faults),
    }
}

/// Reads a document that was accepted before, without validating it again.
///
/// While hosts are upgraded one by one, the stricter rules of a newer release must not reject a
/// document that an older release accepted: the upgraded host would stay on a lower generation for
/// good, and nobody who could correct the document would learn of it.
///
/// # Errors
/// When the text does not have the form of a document.
pub fn parse_accepted(text: &str) -> Result<Document, Fault> {
    serde_json::from_str(text).map_err(|error| Fault::at("", error.to_string()))
}
