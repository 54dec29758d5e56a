//! Reading and checking the document: every fault found, each with its path.

use super::Document;
use crate::fault::{self, Fault};

/// Reads a document and checks all of it.
///
/// # Errors
/// Every fault found.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let value = serde_json::from_str(text).map_err(|e| vec![Fault::at("", e.to_string())])?;
    let mut faults = Vec::new();
    match fault::read(value, "", &mut faults) {
        Some(document) if faults.is_empty() => Ok(document),
        _ => Err(faults),
    }
}
