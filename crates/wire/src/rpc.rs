//! The tarpc service that controls offer to entries and to other controls.
//!
//! Entries call `view`, `claim`, `abandon`, `pin`, `bill` and `report`; controls call the other
//! functions. The handshake of [`crate::peer`] authenticates both.

use policy::name::Name;

use crate::bill::{Bill, BillAnswer, HoldRequest};
use crate::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use crate::evidence::Report;
use crate::gossip::{Delta, Digest};
use crate::shard::{Append, AppendReply, Home, Reply, ShardTable};
use crate::view::{View, ViewRequest};

/// The service that each control offers.
#[tarpc::service]
pub trait Control {
    /// Returns the view as soon as it differs from the one held, or when the wait is over.
    async fn view(ask: ViewRequest) -> View;
    /// Claims an idempotency key at its home, whichever failure domain that is.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Releases a claim: the request has not run, and its entry host will not send it any more.
    /// Called when a request with a claim is refused as not run, or when a claim was not answered;
    /// otherwise a retry with the key would be told that the request may have run. False if the
    /// release could not be recorded.
    async fn abandon(claim: Claim) -> bool;
    /// Pins a session at its home, whichever failure domain that is.
    async fn pin(pin: Pin) -> PinAnswer;
    /// Holds bills here and at one peer, and answers after that.
    async fn bill(bills: Vec<Bill>) -> BillAnswer;
    /// Records the report of an entry host.
    async fn report(report: Report);
    /// Exchanges news with another control.
    async fn gossip(digest: Digest) -> Delta;
    /// Returns the document in force here, if its generation is at least the given one.
    async fn document(generation: u64) -> Option<String>;
    /// Claims a key of a shard that the called control owns.
    async fn owner_claim(home: Home, claim: Claim) -> Reply<ClaimAnswer>;
    /// Pins a session of a shard that the called control owns.
    async fn owner_pin(home: Home, pin: Pin) -> Reply<PinAnswer>;
    /// Releases a claim of a shard that the called control owns; true once that is recorded.
    async fn owner_abandon(home: Home, claim: Claim) -> Reply<bool>;
    /// Adds records to a shard of which the called control is the deputy.
    async fn append(append: Append) -> AppendReply;
    /// Returns the table of shards as the called control last read it, for controls that can't read
    /// it from the platform.
    async fn shards() -> ShardTable;
    /// Notifies the called control that the row of a shard may name it as owner now. The call also
    /// shows that the caller is alive.
    async fn changed(home: Home);
    /// Holds bills for another control; false if the limit on held bills is reached.
    async fn hold(hold: HoldRequest) -> bool;
    /// Drops held bills of a log, given by request id, because the object store has them now.
    async fn release(log: Name, requests: Vec<Name>);
}
