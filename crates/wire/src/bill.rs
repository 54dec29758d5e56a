//! What a request is billed with.

use coordination::batch::Entry;
use policy::domain;
use policy::name::Name;
use policy::time::Millis;

domain! {
    /// The one record of a request that was answered; a cascade is one request and one bill.
    pub struct Bill {
        /// The request's id, unique for all time; what doubles are found by.
        pub request: Name,
        /// The control incarnation whose log it goes into. Entry chooses it before it first sends
        /// the bill (the one that gave its view) and keeps it through every retry, at whichever
        /// control: two logs could otherwise hold the same request.
        pub log: Name,
        /// Who pays.
        pub account: Name,
        /// The task, or the service's name.
        pub task: Name,
        /// The version that gave the answer; empty for a plain service.
        pub version: Name,
        /// Cost of all calls made for the request.
        pub cost: f64,
        /// When the answer ended.
        pub at: Millis,
        /// Whether the answer reached its end; a broken one is still billed once.
        pub whole: bool,
    }

    /// One numbered piece of one control incarnation's log in the object store.
    pub struct Batch {
        /// The control incarnation whose log it is in.
        pub incarnation: Name,
        /// 0, 1, 2 …, without gaps.
        pub number: u64,
        /// Who wrote it: the incarnation itself, or the peer that recovered its tail.
        pub writer: Name,
        /// No request id stands twice in one log.
        pub bills: Vec<Bill>,
    }

    /// Bills on their way to a second holder.
    pub struct HoldRequest {
        /// The log they belong to.
        pub log: Name,
        /// The control incarnation that puts them into the log, and then releases them. The holder
        /// does it when that one is gone.
        pub keeper: Name,
        /// No batch before this number has any of them.
        pub from: u64,
        /// The bills.
        pub bills: Vec<Bill>,
    }

    /// What reading every log gave.
    #[derive(Default)]
    pub struct Audit {
        /// Distinct request ids.
        pub bills: u64,
        /// Request ids that stand more than once.
        pub doubled: u64,
        /// Missing numbers in any log.
        pub gaps: u64,
        /// Sum of costs, doubles counted once.
        pub cost: f64,
        /// Bills held by this control that no batch has yet.
        pub pending: u64,
    }

    /// Whether bills are safe.
    pub enum BillAnswer {
        /// Two controls hold them.
        Twice,
        /// Only one does, because no other control of any failure domain was in reach.
        Once,
        /// The memory bound is reached; nothing was taken, and new work must be refused.
        Full,
    }
}

impl Entry for Bill {
    fn id(&self) -> &Name {
        &self.request
    }
}

/// The object name of a batch.
#[must_use]
pub fn object_name(incarnation: &str, number: u64) -> String {
    format!("bills/{incarnation}/{number:010}")
}
