//! Faults of a document an operator wrote, each with its path.

use std::fmt;

use policy::domain;

domain! {
    /// One fault.
    pub struct Fault {
        /// Where, as `accounts.dwu-claims.versions[2]`; empty for the whole document.
        pub path: String,
        /// What is wrong, and what is expected.
        pub message: String,
    }
}

impl Fault {
    /// A fault at a path.
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

/// Reads one value, collecting every unknown member under `path`.
///
/// # Errors
/// The first value of a wrong kind, with its path; unknown members go to `faults` either way.
pub fn read<T: serde::de::DeserializeOwned>(
    value: serde_json::Value,
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(value, &mut track);
    let result = serde_ignored::deserialize(tracked, |member| unknown.push(member.to_string()));
    faults.extend(unknown.iter().map(|member| Fault::at(join(path, member), "unknown member")));
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            faults.push(Fault::at(join(path, &track.path().to_string()), error.to_string()));
            None
        }
    }
}

/// Joins two paths, either of which may be empty.
#[must_use]
pub fn join(path: &str, member: &str) -> String {
    match (path, member) {
        (path, "" | ".") => path.to_owned(),
        ("", member) => member.to_owned(),
        (path, member) => format!("{path}.{member}"),
    }
}
