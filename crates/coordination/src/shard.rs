//! The role of one control process in one shard, and how the role changes.
//!
//! An owner may grant a key only after the deputy has recorded the claim under the owner's epoch. A
//! deputy that takes over first fences itself, then swaps the shard's row on the platform, then
//! serves. So an owner that was paused or disconnected can grant nothing more, and the protocol
//! depends on no clock.

use policy::name::Name;

use crate::deputy::Deputy;
use crate::home::Home;
use crate::message::{Append, AppendReply, Holder};
use crate::owner::Owner;

/// What a control process does for a shard.
#[derive(Clone, Debug, Default)]
pub enum Role {
    /// Neither owner nor deputy.
    #[default]
    Idle,
    /// Decides on claims and pins, and answers them.
    Owner(Box<Owner>),
    /// Records what the owner sends.
    Deputy(Box<Deputy>),
}

/// How the role of a control process changed after it read the shard's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The role stays as it was.
    Unchanged,
    /// This control process no longer owns the shard or records for it.
    Dropped,
    /// The row names this control process, until now the deputy, as owner; it serves from now on.
    Promoted,
}

/// The state of one shard at one control process.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Current role of this control process.
    pub role: Role,
    /// Highest epoch in which this control process was owner or deputy.
    max_epoch: u64,
}

impl Shard {
    /// The owner's state, if this control process is the owner.
    pub fn owner(&mut self) -> Option<&mut Owner> {
        match &mut self.role {
            Role::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// Handles records from an owner, and returns the reply to them.
    pub fn receive(&mut self, append: &Append) -> AppendReply {
        match &mut self.role {
            // An owner gives up the shard only when the row says so, never because of a message.
            Role::Owner(owner) => AppendReply::Fenced { epoch: owner.epoch },
            // This deputy is about to become owner. A load from another process that prepares the
            // same epoch would replace the records that this deputy is about to serve.
            Role::Deputy(deputy) if deputy.is_fenced => AppendReply::Fenced { epoch: deputy.epoch },
            Role::Deputy(deputy) if deputy.is_from_owner(append) => deputy.append(append),
            // Two control processes can prepare the same epoch, and only one swap succeeds. The
            // first load stays; the sender of the second gets `Fenced` and picks another deputy.
            _ if append.epoch <= self.max_epoch => AppendReply::Fenced { epoch: self.max_epoch },
            _ if append.whole => {
                self.max_epoch = append.epoch;
                self.role = Role::Deputy(Box::new(Deputy::new(append)));
                AppendReply::Up { to: append.first }
            }
            _ => AppendReply::Behind,
        }
    }

    /// Starts a takeover: from now on this deputy acknowledges no records. Returns false, and
    /// changes nothing, if it is not a deputy under the owner and epoch of the row.
    pub fn fence(&mut self, row: &Holder) -> bool {
        match &mut self.role {
            Role::Deputy(deputy) if deputy.epoch == row.epoch && deputy.owner == row.owner => {
                deputy.is_fenced = true;
                true
            }
            _ => false,
        }
    }

    /// Cancels a takeover. Safe only if the swap of the row certainly has not taken effect and
    /// never will.
    pub fn unfence(&mut self) {
        if let Role::Deputy(deputy) = &mut self.role {
            deputy.is_fenced = false;
        }
    }

    /// A full load of the records, for a deputy under the next epoch with this control process
    /// (`me`) as owner. `None` if this control process is idle.
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

    /// Makes this control process the owner. Call this only after the platform's row names it as
    /// owner under that epoch.
    pub fn become_owner(&mut self, owner: Owner) {
        self.max_epoch = self.max_epoch.max(owner.epoch);
        self.role = Role::Owner(Box::new(owner));
    }

    /// Updates the role of this control process (`me`) from the shard's row.
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

    /// Turns the owner into the deputy of the new owner `to`, which was its deputy; both have the
    /// same records. Call this only after the swap of the row took effect.
    pub fn hand_over(&mut self, epoch: u64, to: Name) {
        match std::mem::take(&mut self.role) {
            // A record that the new owner lacks would shift the numbers of all later records, so
            // the role becomes idle.
            Role::Owner(owner) if !owner.is_replicated() => {}
            Role::Owner(owner) => {
                let (records, next_number) = owner.into_records();
                let deputy = Deputy { epoch, owner: to, is_fenced: false, records, next_number };
                self.max_epoch = epoch;
                self.role = Role::Deputy(Box::new(deputy));
            }
            role => self.role = role,
        }
    }

    fn drop_role(&mut self) -> Transition {
        self.role = Role::Idle;
        Transition::Dropped
    }

    /// Makes the deputy the owner. One swap changed the row from the old owner with this deputy to
    /// this process as owner, so the deputy's records contain every grant of the epoch before.
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
