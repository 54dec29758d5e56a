//! The one tarpc service between our processes; controls serve it.
//!
//! Which process asks what: entries ask `view`, `claim`, `pin`, `bill` and `report`; controls ask
//! each other the rest. Both are authenticated by [`crate::peer`]'s handshake.

use policy::name::Name;

use crate::bill::{Bill, Held, Hold};
use crate::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use crate::evidence::Report;
use crate::gossip::{Delta, Digest};
use crate::shard::{Append, AppendReply, Home, Known, Reply};
use crate::view::{Ask, View};

/// Served by each control.
#[tarpc::service]
pub trait Control {
    /// The view, when it differs from the one held or the wait is over.
    async fn view(ask: Ask) -> View;
    /// Claims an idempotency key, wherever its home is.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Gives a claim back: the request has not run, and its entry host sends it nowhere any more.
    /// Sent when a claimed request is refused as not run, or a claim had no answer; a retry of
    /// the key would otherwise be answered that it may have run. False if it could not be recorded.
    async fn abandon(claim: Claim) -> bool;
    /// Pins a session, wherever its home is.
    async fn pin(pin: Pin) -> PinAnswer;
    /// Holds bills, here and at one peer, before it answers.
    async fn bill(bills: Vec<Bill>) -> Held;
    /// Takes in what an entry host saw.
    async fn report(report: Report);
    /// One exchange of news.
    async fn gossip(digest: Digest) -> Delta;
    /// The document of the generation in force here, if it is at least that one.
    async fn document(generation: u64) -> Option<String>;
    /// A claim for a shard that the asked one owns.
    async fn owner_claim(home: Home, claim: Claim) -> Reply<ClaimAnswer>;
    /// A pin for a shard that the asked one owns.
    async fn owner_pin(home: Home, pin: Pin) -> Reply<PinAnswer>;
    /// An abandoned claim for a shard that the asked one owns; true once recorded.
    async fn owner_abandon(home: Home, claim: Claim) -> Reply<bool>;
    /// Records for a shard that the asked one is deputy of.
    async fn append(append: Append) -> AppendReply;
    /// What the asked one knows of the table of shards, for who can't read it.
    async fn shards() -> Known;
    /// The row of a shard may name the asked one as owner now; also a sign of life.
    async fn changed(home: Home);
    /// Bills to be held for another control; false at the memory bound.
    async fn hold(hold: Hold) -> bool;
    /// Bills of a log that are in the object store now.
    async fn release(log: Name, requests: Vec<Name>);
}
