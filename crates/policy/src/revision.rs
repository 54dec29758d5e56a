//! A position in the life of a store whose counter may go back.
//!
//! The store may come back from a copy of some seconds ago. Its counter then goes back with it, and numbers are
//! given out again for other changes: a number alone does not say which of two states is newer. The store
//! counts its returns, and of two positions the one with more of them is newer, whatever the numbers say.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store had come back from a copy, its counter since, and what hosts made of a list at that; ordered
/// in that order.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(from = "Form", into = "Form")]
pub struct Revision {
    /// Returns from a copy before it.
    pub era: u64,
    /// The store's counter; 0 is before the first change.
    pub number: u64,
    /// Changes that hosts made to what the store says at that number; 0 is as it says.
    pub step: u32,
}

impl Revision {
    /// Before everything.
    pub const NONE: Self = Self::new(0, 0);

    /// One of an era.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number, step: 0 }
    }

    /// As the store has it.
    #[must_use]
    pub const fn stored(self) -> Self {
        Self { step: 0, ..self }
    }

    /// The next one that hosts make of a list before the store changes it.
    #[must_use]
    pub const fn next_step(self) -> Self {
        Self { step: self.step.saturating_add(1), ..self }
    }
}

impl From<u64> for Revision {
    /// One of a store that has never come back from a copy.
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

/// As it is written: a plain number as long as the store has never come back, which programs that know of no
/// eras can read.
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
