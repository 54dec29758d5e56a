//! From whom each host of a failure domain takes what one of them has.
//!
//! The load this answers: hundreds of hosts that lack the same news at the same moment, on narrow links.
//! All asking the one that has them would fill its link, and its core, for seconds. So each asks
//! another host first, by an order that all of them work out alike: a host is asked by so many others at
//! most, and the last one has the news after as many steps as the logarithm of the hosts. A stronger host is
//! asked by more: its link brings several narrow ones what they can take. Nothing
//! depends on that order: a host that is gone, or has nothing, is passed over for the one that it would have
//! asked itself, and the last one asked is the one that has the news.

use std::collections::BTreeSet;

use crate::name::Name;
use crate::place::{hash, mix};
use crate::strength;

/// Hosts that ask one of the weakest hosts first.
const CHILDREN: usize = 4;
/// Times that this is doubled for a stronger host, at most: beyond that its core is what they wait for.
const DOUBLED_MAX: u8 = 3;

/// Hosts that ask one of a class first. Its core and its link count for half of the class each.
#[must_use]
pub fn children(class: u8) -> usize {
    CHILDREN << (class / 2).min(DOUBLED_MAX)
}

/// The hosts that a host asks one after another, the last one being the one that has the news. `hosts`
/// are all that live, each with its strength; two hosts that do not know of the same ones ask in another
/// order. Stronger hosts are asked by others, weaker ones by nobody.
#[must_use]
pub fn sources<'a>(
    own: (&'a Name, u8),
    root: &'a Name,
    hosts: impl Iterator<Item = (&'a Name, u8)>,
) -> Vec<Name> {
    let seed = hash(root.as_bytes());
    let place = |(name, class): (&'a Name, u8)| {
        (strength::rank(class, mix(hash(name.as_bytes()) ^ seed)), name, class)
    };
    let (root_itself, hosts): (Vec<_>, Vec<_>) =
        hosts.filter(|(name, _)| *name != own.0).chain([own]).partition(|(name, _)| *name == root);
    // Behind the root, which has the first place.
    let order: BTreeSet<(u64, &Name, u8)> = hosts.into_iter().map(place).collect();
    let root_class = root_itself.first().map_or(0, |(_, class)| *class);
    let order: Vec<(&Name, u8)> = [(root, root_class)]
        .into_iter()
        .chain(order.into_iter().map(|(_, name, class)| (name, class)))
        .collect();
    let mut at = order.iter().position(|(name, _)| *name == own.0).unwrap_or_default();
    let mut sources = Vec::new();
    while at > 0 {
        at = asked_by(at, &order);
        sources.push(order[at].0.clone());
    }
    sources
}

/// The place of the host that the one at a place asks first.
fn asked_by(at: usize, order: &[(&Name, u8)]) -> usize {
    let mut served = 0;
    let serves = |(_, class): &(&Name, u8)| {
        served += children(*class);
        at <= served
    };
    order.iter().position(serves).unwrap_or_default()
}
