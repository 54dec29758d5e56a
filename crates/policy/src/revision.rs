//! The store's revision, which stays ordered when the store's counter goes back.
//!
//! The store may come back from a copy that is some seconds old. Its counter then goes back as
//! well, and numbers are given out again for other changes, so a number alone does not say which of
//! two states is newer. The store counts its returns from a copy. Of two revisions the one with
//! more returns is newer, whatever the numbers say.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a list at a host: the store's returns from a copy, its counter, and changes by
/// hosts.
///
/// Revisions are ordered by these fields in the order of their declaration.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(from = "Form", into = "Form")]
pub struct Revision {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// The store's counter; 0 before the first change.
    pub number: u64,
    /// Number of changes that hosts made to the list since the store's state at `number`; 0 if the
    /// list is as stored.
    pub step: u32,
}

impl Revision {
    /// The revision before the first change.
    pub const NONE: Self = Self::new(0, 0);

    /// Creates the revision of a list as stored.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number, step: 0 }
    }

    /// Returns the revision of the list as stored, without the changes by hosts.
    #[must_use]
    pub const fn stored(self) -> Self {
        Self { step: 0, ..self }
    }

    /// Returns the revision after one more change by a host, which precedes any change in the
    /// store.
    #[must_use]
    pub const fn next_step(self) -> Self {
        Self { step: self.step.saturating_add(1), ..self }
    }
}

impl From<u64> for Revision {
    /// Creates the revision of a store that has never come back from a copy.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.era, self.step) {
            (0, 0) => write!(f, "{}", self.number),
            (era, 0) => write!(f, "{era}:{}", self.number),
            (era, step) => write!(f, "{era}:{}+{step}", self.number),
        }
    }
}

/// The serialized form of a revision. It is a plain number while the store has never come back from
/// a copy, so that programs which don't know of eras can read it.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Form {
    Number(u64),
    Whole(u64, u64, u32),
}

impl From<Form> for Revision {
    fn from(form: Form) -> Self {
        match form {
            Form::Number(number) => number.into(),
            Form::Whole(era, number, step) => Self { era, number, step },
        }
    }
}

impl From<Revision> for Form {
    fn from(revision: Revision) -> Self {
        match revision {
            Revision { era: 0, number, step: 0 } => Self::Number(number),
            Revision { era, number, step } => Self::Whole(era, number, step),
        }
    }
}
