//! Bills of requests, and how controls hold and store them.

use coordination::batch::Entry;
use policy::domain;
use policy::name::Name;
use policy::time::Millis;

domain! {
    /// The only record of an answered request. A request that was answered by a cascade of several
    /// calls has one bill.
    pub struct Bill {
        /// Id of the request, which is never used again; duplicates are found by it.
        pub request: Name,
        /// Control incarnation whose log receives the bill. The entry host chooses it before it
        /// first sends the bill (the incarnation that sent its view) and keeps it in every retry,
        /// at any control; otherwise two logs could hold the same request.
        pub log: Name,
        /// Client account that pays.
        pub account: Name,
        /// Task of the request, or the name of a plain service.
        pub task: Name,
        /// Version that gave the answer; empty for a plain service.
        pub version: Name,
        /// Total cost of all calls that the request caused.
        pub cost: f64,
        /// Time at which the answer ended.
        pub at: Millis,
        /// Whether the answer was complete; an incomplete one is still billed once.
        pub whole: bool,
    }

    /// One numbered object of a control incarnation's log in the object store.
    pub struct Batch {
        /// Control incarnation to whose log the batch belongs.
        pub incarnation: Name,
        /// Number within the log: 0, 1, 2 …, without gaps.
        pub number: u64,
        /// Control incarnation that wrote the batch: the log's own, or the peer that recovered the
        /// end of the log.
        pub writer: Name,
        /// Bills of the batch; a log holds at most one bill per request id.
        pub bills: Vec<Bill>,
    }

    /// Asks another control to hold bills as well.
    pub struct HoldRequest {
        /// Log to which the bills belong.
        pub log: Name,
        /// Control incarnation that writes the bills to the log and then releases them. The holder
        /// writes them itself if that incarnation is gone.
        pub keeper: Name,
        /// Number of the first batch that can contain any of the bills.
        pub from: u64,
        /// Bills to hold.
        pub bills: Vec<Bill>,
    }

    /// Result of an audit, which reads all logs.
    #[derive(Default)]
    pub struct Audit {
        /// Number of distinct request ids.
        pub bills: u64,
        /// Number of request ids that occur more than once.
        pub doubled: u64,
        /// Number of batches that are missing from the logs.
        pub gaps: u64,
        /// Sum of costs; duplicates count once.
        pub cost: f64,
        /// Number of bills held by this control that are in no batch yet.
        pub pending: u64,
    }

    /// Answer to bills that an entry host sends: how safely they are held.
    pub enum BillAnswer {
        /// Two controls hold the bills.
        Twice,
        /// Only one control holds the bills, because no other control of any failure domain could
        /// be reached.
        Once,
        /// The limit on held bills is reached. The bills were not accepted, and new requests must
        /// be refused.
        Full,
    }
}

impl Entry for Bill {
    fn id(&self) -> &Name {
        &self.request
    }
}

/// Name of the object that holds a batch.
#[must_use]
pub fn object_name(incarnation: &str, number: u64) -> String {
    format!("bills/{incarnation}/{number:010}")
}
