//! The bills of one log that one control keeps, and where their copies are.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use coordination::batch::Log;
use policy::name::Name;
use policy::time::Millis;
use wire::bill::Bill;

/// Bills learnt to be stored so long ago are not sent again by anyone.
const REMEMBERED_MS: u64 = 600_000;

/// Which book.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// The log that the bills belong to.
    pub log: Name,
    /// Who puts them there, and releases them after.
    pub keeper: Name,
}

/// The bills.
pub struct Book {
    /// Which book.
    pub id: Id,
    /// What is pending, and how far the log was read.
    pub log: Log<Bill>,
    /// Whether the next number is known to be free, as after reading it.
    pub at_end: bool,
    /// For each pending bill of another's log: no batch before this number has it.
    floors: HashMap<Name, u64>,
    /// Controls that hold a copy of each pending bill; the last one is believed alive.
    copies: HashMap<Name, Vec<Name>>,
    /// Pending bills without a copy. Kept apart, so that a round of copying does not look through
    /// all that wait: after an hour of outage these are a hundred thousand, and a round comes with
    /// every answer.
    alone: BTreeSet<Name>,
    /// Bills that a holder has not been asked to drop yet.
    owed: BTreeMap<Name, Vec<Name>>,
}

impl Book {
    /// Empty; the log is read from its start.
    #[must_use]
    pub fn new(id: Id) -> Self {
        let at_end = id.log == id.keeper;
        let (floors, copies) = (HashMap::new(), HashMap::new());
        let (alone, owed) = (BTreeSet::new(), BTreeMap::new());
        Self { id, log: Log::default(), at_end, floors, copies, alone, owed }
    }

    /// Takes a bill; false if it is here already. `from` is a number that no batch before has it.
    pub fn take(&mut self, bill: Bill, from: u64, now: Millis) -> bool {
        let own = self.id.log == self.id.keeper;
        // The own log has been read or written up to its next number, and what stands there is
        // remembered for a while. A bill from before that may stand in any batch.
        let forgotten = now.since(bill.at) > REMEMBERED_MS / 2;
        let request = bill.request.clone();
        let added = self.log.add(bill);
        if added {
            self.alone.insert(request.clone());
        }
        if added && (!own || forgotten) {
            self.at_end = false;
            self.floors.insert(request, if own { 0 } else { from });
        }
        added
    }

    /// A number that no batch before has any of the pending bills. Those without a floor of their
    /// own have been looked for in all batches before the next number.
    #[must_use]
    pub fn floor(&self) -> u64 {
        let floor = self.floors.values().copied().min().unwrap_or(u64::MAX);
        match self.floors.len() < self.log.pending().len() || self.floors.is_empty() {
            true => floor.min(self.log.next_number()),
            false => floor,
        }
    }

    /// Goes to where the pending bills can stand, before anything is read or put.
    pub fn start_reading(&mut self) {
        let floor = self.floor();
        if !self.floors.is_empty() {
            self.log = std::mem::take(&mut self.log).starting_at(floor);
            self.floors.clear();
        }
    }

    /// Whether a bill is held by another control too, or stored.
    #[must_use]
    pub fn safe(&self, request: &str) -> bool {
        !self.log.pending().contains_key(request) || self.copies.contains_key(request)
    }

    /// Bills that no other control holds.
    #[must_use]
    pub fn without_copy(&self) -> Vec<Bill> {
        let pending = self.log.pending();
        self.alone.iter().filter_map(|id| pending.get(id)).cloned().collect()
    }

    /// Bills with fewer copies than that, none of them at a control.
    #[must_use]
    pub fn with_fewer_copies(&self, wanted: usize, holder: &Name) -> Vec<Bill> {
        let done = |id: &Name| {
            self.copies.get(id).is_some_and(|at| at.len() >= wanted || at.contains(holder))
        };
        self.log.pending().iter().filter(|(id, _)| !done(id)).map(|(_, b)| b.clone()).collect()
    }

    /// Notes who holds bills now.
    pub fn copied(&mut self, bills: &[Bill], holder: &Name) {
        for bill in bills {
            self.alone.remove(&bill.request);
            match self.log.pending().contains_key(&bill.request) {
                true => self.copies.entry(bill.request.clone()).or_default().push(holder.clone()),
                // Stored while the copy was on its way.
                false => self.owed.entry(holder.clone()).or_default().push(bill.request.clone()),
            }
        }
    }

    /// Forgets copies on controls that are not alive: they are made anew elsewhere. Should such a
    /// one still be there, it is asked to drop them later, like the others.
    pub fn lose_copies(&mut self, alive: impl Fn(&Name) -> bool) {
        let mut lost = Vec::new();
        self.copies.retain(|id, holders| {
            let kept = holders.last().is_some_and(&alive);
            if !kept {
                self.alone.insert(id.clone());
                lost.extend(holders.drain(..).map(|holder| (holder, id.clone())));
            }
            kept
        });
        for (holder, id) in lost {
            self.owed.entry(holder).or_default().push(id);
        }
    }

    /// Takes in the batch that stands at a number.
    pub fn stands(&mut self, number: u64, bills: &[Bill], now: Millis) {
        let ids: Vec<_> = bills.iter().map(|bill| bill.request.clone()).collect();
        for bill in self.log.apply_batch(number, &ids, now) {
            self.owe(&bill.request);
        }
        self.log.forget(now - REMEMBERED_MS);
    }

    /// Drops a bill that is stored, or that its log's own control has taken.
    pub fn release(&mut self, request: &Name) {
        if self.log.remove(request).is_some() {
            self.owe(request);
        }
    }

    fn owe(&mut self, request: &Name) {
        self.floors.remove(request);
        self.alone.remove(request);
        for holder in self.copies.remove(request).unwrap_or_default() {
            self.owed.entry(holder).or_default().push(request.clone());
        }
    }

    /// Holders with bills to drop.
    #[must_use]
    pub fn owed(&self) -> Vec<(Name, Vec<Name>)> {
        let still = |id: &Name| !self.log.pending().contains_key(id);
        let owed = self.owed.iter();
        owed.map(|(at, ids)| (at.clone(), ids.iter().filter(|id| still(id)).cloned().collect()))
            .collect()
    }

    /// A holder has dropped bills, or is gone with them.
    pub fn settled(&mut self, holder: &Name, requests: &[Name]) {
        if let Some(owed) = self.owed.get_mut(holder) {
            let settled: HashSet<&Name> = requests.iter().collect();
            owed.retain(|id| !settled.contains(id));
            if owed.is_empty() {
                self.owed.remove(holder);
            }
        }
    }

    /// Nothing is left to do.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.log.pending().is_empty() && self.owed.is_empty()
    }
}
