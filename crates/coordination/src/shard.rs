//! One shard on one control: which half of it is here, and how it changes hands.
//!
//! A grant needs the deputy's record under the owner's epoch. The deputy that takes over first
//! fences itself, then swaps the row, then serves. So an owner that was paused or cut off can
//! grant nothing more, and no clock is involved.

use policy::name::Name;

use crate::deputy::Deputy;
use crate::home::Home;
use crate::message::{Append, AppendReply, Holder};
use crate::owner::Owner;

/// Which half of the shard is here.
#[derive(Clone, Debug, Default)]
pub enum Role {
    /// None.
    #[default]
    Idle,
    /// It decides.
    Owner(Box<Owner>),
    /// It records.
    Deputy(Box<Deputy>),
}

/// What a control should do about a shard, after reading its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// As it is.
    Unchanged,
    /// Nothing of it is here any more.
    Dropped,
    /// The row names this control as owner: it serves now.
    Promoted,
}

/// One shard on one control.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Which half.
    pub role: Role,
    /// Highest epoch it had a part in.
    highest_epoch: u64,
}

impl Shard {
    /// The owner's half, if it is here.
    pub fn owner(&mut self) -> Option<&mut Owner> {
        match &mut self.role {
            Role::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// Takes records from an owner.
    pub fn receive(&mut self, append: &Append) -> AppendReply {
        match &mut self.role {
            // A live owner gives way only to the row, never to another's claim.
            Role::Owner(owner) => AppendReply::Fenced { epoch: owner.epoch },
            // About to be owner. A load by another that prepares the same epoch would take away the
            // records it is about to serve.
            Role::Deputy(deputy) if deputy.is_fenced => AppendReply::Fenced { epoch: deputy.epoch },
            Role::Deputy(deputy) if deputy.is_from_owner(append) => deputy.append(append),
            // Two owners can prepare the same epoch, and only one swap succeeds. The first load
            // keeps its place; the other owner learns so and picks another deputy.
            _ if append.epoch <= self.highest_epoch => {
                AppendReply::Fenced { epoch: self.highest_epoch }
            }
            _ if append.whole => {
                self.highest_epoch = append.epoch;
                self.role = Role::Deputy(Box::new(Deputy::new(append)));
                AppendReply::Up { to: append.first }
            }
            _ => AppendReply::Behind,
        }
    }

    /// First step of a takeover: acknowledge nothing more. False if this is not the deputy that
    /// the row names.
    pub fn fence(&mut self, row: &Holder) -> bool {
        match &mut self.role {
            Role::Deputy(deputy) if deputy.epoch == row.epoch && deputy.owner == row.owner => {
                deputy.is_fenced = true;
                true
            }
            _ => false,
        }
    }

    /// Takes a fence back. Allowed only when it is certain that the swap has not taken effect and
    /// never will.
    pub fn unfence(&mut self) {
        if let Role::Deputy(deputy) = &mut self.role {
            deputy.is_fenced = false;
        }
    }

    /// All records, as a first load for a deputy under the next epoch.
    #[must_use]
    pub fn full_load(&self, home: &Home, me: &Name) -> Option<Append> {
        let (epoch, first, records) = match &self.role {
            Role::Owner(owner) => (owner.epoch, owner.next_number(), owner.records().dump()),
            Role::Deputy(deputy) => (deputy.epoch, deputy.next_number, deputy.records.dump()),
            Role::Idle => return None,
        };
        let (home, epoch, owner) = (home.clone(), epoch + 1, me.clone());
        Some(Append { home, epoch, owner, first, records, whole: true })
    }

    /// Becomes owner under a row's epoch; only after the row was read or swapped so.
    pub fn become_owner(&mut self, owner: Owner) {
        self.highest_epoch = self.highest_epoch.max(owner.epoch);
        self.role = Role::Owner(Box::new(owner));
    }

    /// Takes in what the row says.
    pub fn apply_row(&mut self, me: &Name, row: &Holder) -> Transition {
        match &self.role {
            Role::Owner(owner) if row.epoch > owner.epoch && row.owner != *me => self.drop_role(),
            Role::Deputy(deputy) if row.epoch == deputy.epoch + 1 && row.owner == *me => {
                self.promote(row)
            }
            Role::Deputy(deputy) if row.epoch > deputy.epoch => self.drop_role(),
            Role::Deputy(deputy) if row.epoch == deputy.epoch && row.owner != deputy.owner => {
                self.drop_role()
            }
            _ => Transition::Unchanged,
        }
    }

    /// Hands the owner's half to its deputy, and stays as deputy itself: both have the same
    /// records. Only after the swap took effect.
    pub fn hand_over(&mut self, epoch: u64, to: Name) {
        match std::mem::take(&mut self.role) {
            // A record that the next owner does not have would shift the numbers of all after it.
            Role::Owner(owner) if !owner.is_replicated() => {}
            Role::Owner(owner) => {
                let (records, next_number) = owner.into_records();
                let deputy = Deputy { epoch, owner: to, is_fenced: false, records, next_number };
                self.highest_epoch = epoch;
                self.role = Role::Deputy(Box::new(deputy));
            }
            role => self.role = role,
        }
    }

    fn drop_role(&mut self) -> Transition {
        self.role = Role::Idle;
        Transition::Dropped
    }

    /// The row went from (owner, this deputy) to this one as owner in one swap, so every grant of
    /// the epoch before is in the deputy's records.
    fn promote(&mut self, row: &Holder) -> Transition {
        let Role::Deputy(deputy) = std::mem::take(&mut self.role) else {
            return Transition::Unchanged;
        };
        let closed_until = policy::time::Millis(row.closed_until_ms);
        let owner = Owner::new(row.epoch, row.deputy.clone(), deputy.records, deputy.next_number);
        self.become_owner(owner.closed_until(closed_until));
        Transition::Promoted
    }
}
