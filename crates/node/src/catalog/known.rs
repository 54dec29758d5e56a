//! A roll-out as this host knows it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::Order;

use crate::record::Record;

/// A roll-out as this host knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// The order.
    pub order: Order,
    /// Its revision.
    pub revision: Revision,
    /// How it stands, once that was read or written.
    pub record: Option<Record>,
    /// The version of that row.
    pub version: Revision,
    /// When it began, by this host's clock.
    pub began: Millis,
    /// This host's own answers speak against the new version.
    pub halted: Arc<AtomicBool>,
}

impl Known {
    /// When the order was written, by which all hosts name it.
    #[must_use]
    pub fn issued(&self) -> Revision {
        Revision::new(self.revision.era, self.order.issue)
    }

    /// The store has come back from a copy, and lists the order as it was or was written again: it is the same, under
    /// another revision.
    pub(super) fn reissue(&mut self, order: Order, revision: Revision) {
        self.order = order;
        self.revision = revision;
        let issued = self.issued();
        if let Some(record) = &mut self.record {
            if record.order.number != issued.number {
                // The row names the order by another number, so it is written again.
                self.version = Revision::NONE;
            }
            record.order = issued;
        }
    }
}
