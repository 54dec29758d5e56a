//! Lines of a log in JSON.

use serde_json::{Map, Value};

/// The JSON object of one log line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line(pub Map<String, Value>);

impl Line {
    /// Parses a line and skips any text before the first brace. `None` if the rest is not a JSON
    /// object.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok().map(Self)
    }

    /// When the line was written, in seconds since the Unix epoch; 0 if the line has no time.
    #[must_use]
    pub fn at(&self) -> f64 {
        self.0.get("at").and_then(Value::as_f64).unwrap_or_default()
    }

    /// The text of a member; empty if the member is absent or not a text.
    #[must_use]
    pub fn text(&self, member: &str) -> &str {
        self.0.get(member).and_then(Value::as_str).unwrap_or_default()
    }

    /// The truth value of a member; false if the member is absent or not a truth value.
    #[must_use]
    pub fn flag(&self, member: &str) -> bool {
        self.0.get(member).and_then(Value::as_bool).unwrap_or_default()
    }

    /// The number of a member, such as a count or a time in milliseconds; 0 if the member is absent
    /// or not a whole number.
    #[must_use]
    pub fn number(&self, member: &str) -> u64 {
        self.0.get(member).and_then(Value::as_u64).unwrap_or_default()
    }
}
