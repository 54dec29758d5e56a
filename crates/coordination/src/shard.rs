//! One shard on one control: which half of it is here, and how it changes hands.
//!
//! A grant needs the deputy's record under the owner's epoch. The deputy that takes over first
//! fences itself, then swaps the row, then serves. So an owner that was paused or cut off can
//! grant nothing more, and no clock is involved.

use policy::name::Name;

use crate::deputy::Deputy;
use crate::home::Home;
use crate::message::{Append, Appended, Holder};
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
    seen: u64,
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
    pub fn receive(&mut self, append: &Append) -> Appended {
        match &mut self.role {
            // A live owner gives way only to the row, never to another's claim.
            Role::Owner(owner) => Appended::Fenced { epoch: owner.epoch },
            // About to be owner. A load by another that prepares the same epoch would take away the
            // records it is about to serve.
            Role::Deputy(deputy) if deputy.fenced => Appended::Fenced { epoch: deputy.epoch },
            Role::Deputy(deputy) if deputy.serves(append) => deputy.append(append),
            // Two owners can prepare the same epoch, and only one swap succeeds. The first load
            // keeps its place; the other owner learns so and picks another deputy.
            _ if append.epoch <= self.seen => Appended::Fenced { epoch: self.seen },
            _ if append.whole => {
                self.seen = append.epoch;
                self.role = Role::Deputy(Box::new(Deputy::new(append)));
                Appended::Up { to: append.first }
            }
            _ => Appended::Behind,
        }
    }

    /// First step of a takeover: acknowledge nothing more. False if this is not the deputy that
    /// the row names.
    pub fn fence(&mut self, row: &Holder) -> bool {
        match &mut self.role {
            Role::Deputy(deputy) if deputy.epoch == row.epoch && deputy.owner == row.owner => {
                deputy.fenced = true;
                true
            }
            _ => false,
        }
    }

    /// Takes a fence back. Allowed only when it is certain that the swap has not taken effect and
    /// never will.
    pub fn unfence(&mut self) {
        if let Role::Deputy(deputy) = &mut self.role {
            deputy.fenced = false;
        }
    }

    /// All records, as a first load for a deputy under the next epoch.
    #[must_use]
    pub fn whole(&self, home: &Home, me: &Name) -> Option<Append> {
        let (epoch, first, records) = match &self.role {
            Role::Owner(owner) => (owner.epoch, owner.next(), owner.records().dump()),
            Role::Deputy(deputy) => (deputy.epoch, deputy.next, deputy.records.dump()),
            Role::Idle => return None,
        };
        let (home, epoch, owner) = (home.clone(), epoch + 1, me.clone());
        Some(Append { home, epoch, owner, first, records, whole: true })
    }

    /// Becomes owner under a row's epoch; only after the row was read or swapped so.
    pub fn own(&mut self, owner: Owner) {
        self.seen = self.seen.max(owner.epoch);
        self.role = Role::Owner(Box::new(owner));
    }

    /// Takes in what the row says.
    pub fn observe(&mut self, me: &Name, row: &Holder) -> Transition {
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
            Role::Owner(owner) if !owner.is_safe() => {}
            Role::Owner(owner) => {
                let (records, next) = owner.into_records();
                let deputy = Deputy { epoch, owner: to, fenced: false, records, next };
                self.seen = epoch;
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
        let owner = Owner::new(row.epoch, row.deputy.clone(), deputy.records, deputy.next);
        self.own(owner.closed_until(closed_until));
        Transition::Promoted
    }
}
