//! Faults of a document that an operator wrote, each with its path.

use std::fmt;

use policy::domain;

domain! {
    /// One fault of a document.
    pub struct Fault {
        /// Path of the faulty member, such as `accounts.dwu-claims.versions[2]`; empty for the
        /// whole document.
        pub path: String,
        /// What is wrong, and what is expected.
        pub message: String,
    }
}

impl Fault {
    /// Creates a fault of the member at a path.
    #[must_use]
    pub fn at(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" => f.write_str(&self.message),
            path => write!(f, "{path}: {}", self.message),
        }
    }
}

/// Whether a path equals `outer` or leads to a member inside it.
#[must_use]
pub fn is_within(path: &str, outer: &str) -> bool {
    match path.strip_prefix(outer) {
        Some(rest) => outer.is_empty() || rest.is_empty() || rest.starts_with(['.', '[']),
        None => false,
    }
}

/// Joins a path and a member's path relative to it; either may be empty.
#[must_use]
pub fn join_path(path: &str, member: &str) -> String {
    match (path, member) {
        (path, "" | ".") => path.to_owned(),
        ("", member) => member.to_owned(),
        (path, member) => format!("{path}.{member}"),
    }
}
