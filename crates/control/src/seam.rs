//! Where claims, pins and bills go until their controllers are in this crate.
//!
//! Nothing here grants a claim or loses a bill: claims and pins are refused as unavailable, bills
//! are kept in memory here and at one peer. To be dropped when `shards` and `bills` are there.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use policy::name::Name;
use wire::bill::{Audit, Bill, Held};
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::shard::{Append, Appended};

use crate::node::{self, Node};
use crate::peers::CALL;

const RETRY_AFTER_MS: u64 = 1_000;

/// Claims and pins.
pub struct Shards {
    node: Arc<Node>,
}

impl Shards {
    /// Starts.
    #[must_use]
    pub fn start(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { node })
    }

    /// Refused.
    pub async fn claim(&self, _claim: Claim) -> ClaimAnswer {
        ClaimAnswer::Unavailable {
            home: self.node.failure_domain().clone(),
            may_have_run: false,
            retry_after_ms: RETRY_AFTER_MS,
        }
    }

    /// Refused.
    pub async fn pin(&self, _pin: Pin) -> PinAnswer {
        PinAnswer::Unavailable {
            home: self.node.failure_domain().clone(),
            retry_after_ms: RETRY_AFTER_MS,
        }
    }

    /// Refused.
    pub async fn owner_claim(&self, _shard: u32, claim: Claim) -> ClaimAnswer {
        self.claim(claim).await
    }

    /// Refused.
    pub async fn owner_pin(&self, _shard: u32, pin: Pin) -> PinAnswer {
        self.pin(pin).await
    }

    /// Refused.
    pub async fn append(&self, append: Append) -> Appended {
        Appended::Fenced { epoch: append.epoch }
    }

    /// Nothing to hand over.
    pub async fn hand_over(&self) {}
}

/// Bills.
pub struct Ledger {
    node: Arc<Node>,
    held: Mutex<BTreeMap<Name, Vec<Bill>>>,
}

impl Ledger {
    /// Starts.
    #[must_use]
    pub fn start(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { node, held: Mutex::default() })
    }

    fn keep(&self, incarnation: &Name, bills: &[Bill]) -> bool {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let count = held.values().map(Vec::len).sum::<usize>() + bills.len();
        let room = count as u64 <= self.node.settings.bills_max;
        if room {
            held.entry(incarnation.clone()).or_default().extend_from_slice(bills);
        }
        room
    }

    /// Holds bills here and at one peer.
    pub async fn add(&self, bills: Vec<Bill>) -> Held {
        let own = &self.node.incarnation;
        if !self.keep(own, &bills) {
            return Held::Full;
        }
        for member in self.node.peers.alive(node::now()) {
            let (own, bills) = (own.clone(), bills.clone());
            let held = member.link.call(CALL, |client, context| async move {
                client.hold(context, own, bills).await
            });
            if matches!(held.await, Ok(true)) {
                return Held::Twice;
            }
        }
        Held::Once
    }

    /// Holds a peer's bills.
    pub async fn hold(&self, incarnation: Name, bills: Vec<Bill>) -> bool {
        self.keep(&incarnation, &bills)
    }

    /// Drops a peer's bills.
    pub async fn release(&self, incarnation: Name, requests: Vec<Name>) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(bills) = held.get_mut(&incarnation) {
            bills.retain(|bill| !requests.contains(&bill.request));
        }
    }

    /// Whether the bound is reached.
    #[must_use]
    pub fn full(&self) -> bool {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.values().map(Vec::len).sum::<usize>() as u64 >= self.node.settings.bills_max
    }

    /// Pending bills alone.
    pub async fn audit(&self) -> Audit {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let own = held.get(&self.node.incarnation);
        Audit { pending: own.map_or(0, |bills| bills.len() as u64), ..Audit::default() }
    }

    /// Nothing to hand over.
    pub async fn hand_over(&self) {}
}
