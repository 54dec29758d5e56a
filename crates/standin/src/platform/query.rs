//! What a call of the store asks for.

use policy::name::Name;

use crate::reply;

/// A call's query.
#[derive(Default)]
pub struct Query {
    /// The table.
    pub table: Name,
    /// The group of rows; empty for those without one.
    pub group: Name,
    /// The first key wanted.
    pub from: String,
    /// The first key behind those wanted; empty for no end.
    pub end: String,
    /// Changes behind this version, or objects behind this name.
    pub after: String,
    /// How long to hold the call back while there is no change, in milliseconds.
    pub wait_ms: u64,
    /// What objects' names begin with.
    pub prefix: String,
}

impl Query {
    /// Reads it; what is not known is left out.
    #[must_use]
    pub fn read(text: &str) -> Self {
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
