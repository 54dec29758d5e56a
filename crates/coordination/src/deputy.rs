//! The deputy's half of a shard: it records before the owner may answer.

use policy::name::Name;

use crate::message::{Append, AppendReply};
use crate::records::Records;

/// A shard as its deputy has it.
#[derive(Clone, Debug)]
pub struct Deputy {
    /// The epoch.
    pub epoch: u64,
    /// The owner's incarnation.
    pub owner: Name,
    /// Takes nothing more: it is about to take over. An owner that was only paused, and comes
    /// back, then gets no record acknowledged and so can grant nothing.
    pub is_fenced: bool,
    /// What was recorded.
    pub records: Records,
    /// Number of the next record.
    pub next_number: u64,
}

impl Deputy {
    /// From a whole load.
    #[must_use]
    pub fn new(append: &Append) -> Self {
        Self {
            epoch: append.epoch,
            owner: append.owner.clone(),
            is_fenced: false,
            records: append.records.iter().collect(),
            next_number: append.first,
        }
    }

    /// Whether these records come from the owner that it knows.
    #[must_use]
    pub fn is_from_owner(&self, append: &Append) -> bool {
        self.epoch == append.epoch && self.owner == append.owner
    }

    /// Records what its owner sent.
    pub fn append(&mut self, append: &Append) -> AppendReply {
        match append {
            // A whole load that was delayed must not undo what was acknowledged after it.
            whole if whole.whole && whole.first >= self.next_number => {
                *self = Self::new(whole);
                AppendReply::Up { to: self.next_number }
            }
            whole if whole.whole => AppendReply::Up { to: self.next_number },
            ahead if ahead.first > self.next_number => AppendReply::Behind,
            append => {
                self.extend(append);
                AppendReply::Up { to: self.next_number }
            }
        }
    }

    /// Skips what a repeated message brings again.
    fn extend(&mut self, append: &Append) {
        let known = usize::try_from(self.next_number - append.first).unwrap_or(usize::MAX);
        for record in append.records.iter().skip(known) {
            self.records.apply(record, self.next_number);
            self.next_number += 1;
        }
    }
}
