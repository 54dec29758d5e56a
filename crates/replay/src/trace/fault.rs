//! The error for a malformed trace line.

use std::fmt;

/// An error in one line of a trace file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the trace file, as given to [`parse`](super::parse).
    pub file: String,
    /// Number of the malformed line, counted from 1.
    pub line: usize,
    /// Why the line is rejected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for Fault {}
