//! The one tarpc service between our processes; controls serve it.
//!
//! Which process asks what: entries ask `view`, `claim`, `pin`, `bill` and `report`; controls ask
//! each other the rest. Both are authenticated by [`crate::peer`]'s handshake.

use policy::name::Name;

use crate::bill::{Bill, Held};
use crate::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use crate::evidence::Report;
use crate::gossip::{Delta, Digest};
use crate::shard::{Append, Appended};
use crate::view::{Ask, View};

/// Served by each control.
#[tarpc::service]
pub trait Control {
    /// The view, when it differs from the one held or the wait is over.
    async fn view(ask: Ask) -> View;
    /// Claims an idempotency key, wherever its home is.
    async fn claim(claim: Claim) -> ClaimAnswer;
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
    async fn owner_claim(shard: u32, claim: Claim) -> ClaimAnswer;
    /// A pin for a shard that the asked one owns.
    async fn owner_pin(shard: u32, pin: Pin) -> PinAnswer;
    /// Records for a shard that the asked one is deputy of.
    async fn append(append: Append) -> Appended;
    /// Bills of another incarnation, to be held for it; false at the memory bound.
    async fn hold(incarnation: Name, bills: Vec<Bill>) -> bool;
    /// Bills of another incarnation that are in the object store now.
    async fn release(incarnation: Name, requests: Vec<Name>);
}
