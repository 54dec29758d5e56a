//! Format of a message between hosts of a failure domain, and its division into datagrams.

use gateway::admission::Demand;
use gateway::backend::{LoadReport, Prefill, RestrictionNotice};
use gateway::far_loads::FarLoads;
use gateway::paces::PaceSample;
use policy::domain;
use policy::hedge;
use policy::name::Name;
use policy::poison::Suspect;
use policy::prefix::far::FarPart;
use policy::revision::Revision;
use policy::time::Millis;

use crate::caches::CacheNotice;
use crate::counts::HostCounts;
use crate::follow::Position;
use crate::record::RolloutState;
use crate::store::List;

/// Longest message, in bytes: a datagram of this length is not fragmented on any link.
pub const BYTES_MAX: usize = 1_400;

domain! {
    /// Message from one host to another.
    #[derive(Default)]
    pub struct Message {
        /// Name of the sender.
        pub host: Name,
        /// Strength class of the sender's machine.
        #[serde(default)]
        pub class: u8,
        /// Port at which the sender takes requests of hosts that reach no backend server; 0 if it
        /// takes none now.
        #[serde(default)]
        pub forward: u16,
        /// The sender's clock. Times in the entries are by this clock.
        pub now: Millis,
        /// Content of the message; empty in a message that only shows that the sender is alive.
        pub entries: Vec<Entry>,
    }

    /// Shared parts that engines of another failure domain have cached.
    #[derive(Eq)]
    pub struct FarNotice {
        /// Whether the sender is in that failure domain. The receiver passes the notice on to the
        /// hosts of its own.
        pub is_direct: bool,
        /// The parts.
        pub parts: Vec<FarPart>,
    }

    /// One item of a message.
    pub enum Entry {
        /// How new a list is that the sender reads for its peers.
        Position(Position),
        /// State of a roll-out.
        Record(RolloutState),
        /// A change of this list that is too long to be passed on is arriving at the sender.
        Incoming(List),
        /// The sender is reading all of this list.
        Reading(List),
        /// The sender overrides entries of this list that the store may have lost; its copy is at
        /// this revision.
        Doubts(List, Revision),
        /// The sender has no copy of this list yet and takes it from any peer that has it.
        Lacks(List),
        /// What the sender counted during a roll-out.
        Counted(HostCounts),
        /// A request, or a part of prompts, that is suspected of crashing servers.
        Suspect(Suspect),
        /// A restriction that a backend server has set on what it takes.
        Restricted(RestrictionNotice),
        /// A long prompt that the sender has just sent to an engine.
        Prefill(Prefill),
        /// The load of a backend server that is nearly full, or no longer so.
        Load(LoadReport),
        /// Work that accounts offer at the sender to a service that is short of room.
        Demand(Demand),
        /// Late requests and hedges of the sender for one service.
        Hedges(hedge::Report),
        /// What the sender observed of an engine's streams.
        Seen(PaceSample),
        /// What the sender has heard of an engine's cache.
        Cached(CacheNotice),
        /// What engines of another failure domain have cached. A message holds nothing else beside
        /// it, since hosts of an earlier version drop the whole message.
        Far(FarNotice),
        /// The loads of engines of another failure domain; alone in its message too.
        FarLoads(FarLoads),
    }
}

impl Message {
    /// The message as datagrams: one if it fits, else as many as it takes.
    ///
    /// Nothing that peers act on may be left out because a message is long: hosts that miss the
    /// stage of a roll-out send requests to servers that have been stopped.
    #[must_use]
    pub fn datagrams(self) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        let mut parts = vec![self];
        while let Some(mut part) = parts.pop() {
            let Some(bytes) = part.encode() else { continue };
            match part.entries.as_mut_slice() {
                _ if bytes.len() <= BYTES_MAX => datagrams.push(bytes),
                // The peer requests the changes in a call instead.
                [Entry::Position(position)] if position.changes.is_some() => {
                    position.changes = None;
                    parts.push(part);
                }
                [] | [_] => {
                    log::warn!(target: "peers", bytes = bytes.len();
                        "entry not sent: it is too long for a datagram");
                    metrics::counter!("node_peer_entries_unsent_total").increment(1);
                }
                _ => {
                    let second = part.entries.split_off(part.entries.len() / 2);
                    parts.push(Self { entries: second, ..part.clone() });
                    parts.push(part);
                }
            }
        }
        datagrams
    }

    fn encode(&self) -> Option<Vec<u8>> {
        let encoded = serde_json::to_vec(self);
        let encoded = encoded.inspect_err(|error| {
            log::warn!(target: "peers", error:% = error; "message can't be serialized");
        });
        encoded.ok()
    }
}
