//! The deputy's side of a shard: the deputy records each claim and pin before the owner answers.

use policy::name::Name;

use crate::message::{Append, AppendReply};
use crate::records::Records;

/// The state of a shard at its deputy.
#[derive(Clone, Debug)]
pub struct Deputy {
    /// Epoch under which the deputy records.
    pub epoch: u64,
    /// Incarnation of the owner whose records the deputy accepts.
    pub owner: Name,
    /// Whether the deputy rejects all records because it is about to take over. An owner that was
    /// only paused and resumes then gets no acknowledgement, so it can grant nothing.
    pub is_fenced: bool,
    /// Claims and pins that the deputy has recorded.
    pub records: Records,
    /// Number of the record that the deputy expects next.
    pub next_number: u64,
}

impl Deputy {
    /// Creates the deputy's state from a full load.
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

    /// Whether a message comes from this deputy's owner, under the same epoch.
    #[must_use]
    pub fn is_from_owner(&self, append: &Append) -> bool {
        self.epoch == append.epoch && self.owner == append.owner
    }

    /// Records what the owner sent, and returns the reply to it.
    pub fn append(&mut self, append: &Append) -> AppendReply {
        match append {
            // A delayed full load must not undo records that were acknowledged after it was sent.
            load if load.whole && load.first >= self.next_number => {
                *self = Self::new(load);
                AppendReply::Up { to: self.next_number }
            }
            load if load.whole => AppendReply::Up { to: self.next_number },
            ahead if ahead.first > self.next_number => AppendReply::Behind,
            append => {
                self.extend(append);
                AppendReply::Up { to: self.next_number }
            }
        }
    }

    /// Applies the new records and skips those that a repeated message contains again.
    fn extend(&mut self, append: &Append) {
        let known = usize::try_from(self.next_number - append.first).unwrap_or(usize::MAX);
        for record in append.records.iter().skip(known) {
            self.records.apply(record, self.next_number);
            self.next_number += 1;
        }
    }
}
