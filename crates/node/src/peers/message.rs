//! A message between hosts of one failure domain, and how a long one is sent in pieces.

use gateway::backend::{Prefill, RestrictionNotice};
use gateway::paces::PaceSample;
use policy::domain;
use policy::name::Name;
use policy::poison::Suspect;
use policy::revision::Revision;
use policy::time::Millis;

use crate::counts::Counting;
use crate::follow::Position;
use crate::record::Snapshot;
use crate::store::List;

/// Longest message, in bytes: a datagram that no link divides.
pub const BYTES_MAX: usize = 1_400;

domain! {
    /// A message from one host to another.
    #[derive(Default)]
    pub struct Message {
        /// The sender's name.
        pub host: Name,
        /// The sender's strength.
        #[serde(default)]
        pub class: u8,
        /// The port at which the sender takes requests of hosts that reach no backend server; 0 if it takes
        /// none now.
        #[serde(default)]
        pub forward: u16,
        /// The sender's clock; times in the entries are of it.
        pub now: Millis,
        /// What it says; none if only that the sender is there.
        pub entries: Vec<Entry>,
    }

    /// One thing that a message says.
    pub enum Entry {
        /// How new a list is that the sender reads for the others.
        Position(Position),
        /// How a roll-out stands.
        Record(Snapshot),
        /// A list of which the sender is being sent a change that is too long to be passed on.
        Incoming(List),
        /// A list all of which the sender is reading.
        Reading(List),
        /// A list against which the sender holds on to something that the store may have lost, and the revision of
        /// what the sender has.
        Doubts(List, Revision),
        /// A list of which the sender knows nothing yet, and would take from who has it.
        Lacks(List),
        /// What the sender counted of a roll-out.
        Counted(Counting),
        /// A request that was lost with servers.
        Suspect(Suspect),
        /// What a backend server says of how much it takes.
        Restricted(RestrictionNotice),
        /// A prompt that was just sent.
        Prefill(Prefill),
        /// What streams of an engine showed.
        Seen(PaceSample),
    }
}

impl Message {
    /// The message as it is sent: whole if it fits, else in as many pieces as it takes.
    ///
    /// Nothing that others go by may be left out of a message because it is long: hosts that don't
    /// hear how a roll-out stands send to servers that have been stopped.
    #[must_use]
    pub fn pieces(self) -> Vec<Vec<u8>> {
        let mut pieces = Vec::new();
        let mut parts = vec![self];
        while let Some(mut part) = parts.pop() {
            let Some(bytes) = part.write() else { continue };
            match part.entries.as_mut_slice() {
                _ if bytes.len() <= BYTES_MAX => pieces.push(bytes),
                // The changes are had by a call.
                [Entry::Position(position)] if position.changes.is_some() => {
                    position.changes = None;
                    parts.push(part);
                }
                [] | [_] => {
                    log::warn!(target: "peers", bytes = bytes.len();
                        "entry too long for a message, not sent");
                    metrics::counter!("node_peer_entries_unsent_total").increment(1);
                }
                _ => {
                    let second = part.entries.split_off(part.entries.len() / 2);
                    parts.push(Self { entries: second, ..part.clone() });
                    parts.push(part);
                }
            }
        }
        pieces
    }

    fn write(&self) -> Option<Vec<u8>> {
        let written = serde_json::to_vec(self);
        let written = written.inspect_err(|error| {
            log::warn!(target: "peers", error:% = error; "message not written");
        });
        written.ok()
    }
}
