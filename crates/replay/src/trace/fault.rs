//! What is wrong with a trace, and where.

use std::fmt;

/// A malformed line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line's number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for Fault {}
