//! A roll-out as this host knows it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::Order;

use crate::record::Record;

/// A roll-out as this host knows it.
#[derive(Clone, Debug)]
pub struct TrackedRollout {
    /// The order.
    pub order: Order,
    /// Its revision.
    pub revision: Revision,
    /// How it stands, once that was read or written.
    pub record: Option<Record>,
    /// The version of that row.
    pub row_version: Revision,
    /// When it began, by this host's clock.
    pub started_at: Millis,
    /// This host's own answers speak against the new version.
    pub is_halted: Arc<AtomicBool>,
}

impl TrackedRollout {
    /// When the order was written, by which all hosts name it.
    #[must_use]
    pub fn order_id(&self) -> Revision {
        Revision::new(self.revision.era, self.order.issue)
    }

    /// The store has come back from a copy, and lists the order as it was or was written again: it is the same, under
    /// another revision.
    pub(super) fn reissue(&mut self, order: Order, revision: Revision) {
        self.order = order;
        self.revision = revision;
        let order_id = self.order_id();
        if let Some(record) = &mut self.record {
            if record.order.number != order_id.number {
                // The row names the order by another number, so it is written again.
                self.row_version = Revision::NONE;
            }
            record.order = order_id;
        }
    }
}
