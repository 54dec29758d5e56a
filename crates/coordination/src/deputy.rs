//! The deputy's half of a shard: it records before the owner may answer.

use policy::name::Name;

use crate::message::{Append, Appended};
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
    pub fenced: bool,
    /// What was recorded.
    pub records: Records,
    /// Number of the next record.
    pub next: u64,
}

impl Deputy {
    /// From a whole load.
    #[must_use]
    pub fn new(append: &Append) -> Self {
        Self {
            epoch: append.epoch,
            owner: append.owner.clone(),
            fenced: false,
            records: append.records.iter().collect(),
            next: append.first,
        }
    }

    /// Whether these records come from the owner that it knows.
    #[must_use]
    pub fn serves(&self, append: &Append) -> bool {
        self.epoch == append.epoch && self.owner == append.owner
    }

    /// Records what its owner sent.
    pub fn append(&mut self, append: &Append) -> Appended {
        match append {
            // A whole load that was delayed must not undo what was acknowledged after it.
            whole if whole.whole && whole.first >= self.next => {
                *self = Self::new(whole);
                Appended::Up { to: self.next }
            }
            whole if whole.whole => Appended::Up { to: self.next },
            ahead if ahead.first > self.next => Appended::Behind,
            append => {
                self.extend(append);
                Appended::Up { to: self.next }
            }
        }
    }

    /// Skips what a repeated message brings again.
    fn extend(&mut self, append: &Append) {
        let known = usize::try_from(self.next - append.first).unwrap_or(usize::MAX);
        for record in append.records.iter().skip(known) {
            self.records.apply(record, self.next);
            self.next += 1;
        }
    }
}
