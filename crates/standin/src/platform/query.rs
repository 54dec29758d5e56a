//! The query string of a call of the store.

use policy::name::Name;

use crate::reply;

/// The parameters of a call of the store; those that are absent are empty or 0.
#[derive(Default)]
pub struct Query {
    /// Table of the rows.
    pub table: Name,
    /// Group of the rows; empty for rows without a group.
    pub group: Name,
    /// First key of the range.
    pub from: String,
    /// First key behind the range; empty for a range without an end.
    pub end: String,
    /// Lower bound, exclusive: a revision for changes, or a name for objects.
    pub after: String,
    /// Longest time to wait for a change before an answer without changes, in milliseconds.
    pub wait_ms: u64,
    /// Prefix of the objects' names.
    pub prefix: String,
}

impl Query {
    /// Reads a query string; unknown parameters are ignored.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            let value = reply::percent_decode(value);
            match name {
                "table" => query.table = Name::from(value),
                "part" => query.group = Name::from(value),
                "from" => query.from = value,
                "target" => query.end = value,
                "after" => query.after = value,
                "waitMs" => query.wait_ms = value.parse().unwrap_or_default(),
                "prefix" => query.prefix = value,
                _ => {}
            }
        }
        query
    }
}
