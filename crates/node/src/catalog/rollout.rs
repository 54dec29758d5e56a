//! State of a service's roll-out at this host.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::RolloutOrder;

use crate::record::Record;

/// A roll-out that was ordered, under way or decided.
#[derive(Clone, Debug)]
pub struct TrackedRollout {
    /// What operators ordered.
    pub order: RolloutOrder,
    /// Revision of the order's entry in the list.
    pub revision: Revision,
    /// State that all hosts share; `None` until it was read from the store, written there or sent
    /// by a peer.
    pub record: Option<Record>,
    /// Revision of the record's row in the store.
    pub row_version: Revision,
    /// When the roll-out began, by this host's clock.
    pub started_at: Millis,
    /// Whether this host has stopped sending requests to the new version, because the answers to
    /// its own requests were bad.
    pub is_halted: Arc<AtomicBool>,
}

impl TrackedRollout {
    /// Identifies the order on all hosts: the revision at which operators wrote it.
    #[must_use]
    pub fn order_id(&self) -> Revision {
        Revision::new(self.revision.era, self.order.issue)
    }

    /// Takes over the order's entry as the store lists it after a restore from a copy, or as
    /// operators have written it again. It is the same order under another revision.
    pub(super) fn reissue(&mut self, order: RolloutOrder, revision: Revision) {
        self.order = order;
        self.revision = revision;
        let order_id = self.order_id();
        if let Some(record) = &mut self.record {
            if record.order.number != order_id.number {
                // The row has the order's previous number, so it must be written again.
                self.row_version = Revision::NONE;
            }
            record.order = order_id;
        }
    }
}
