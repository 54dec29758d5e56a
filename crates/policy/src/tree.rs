//! From whom each host of a failure domain takes what one of them has.
//!
//! The load this answers: hundreds of hosts that lack the same news at the same moment, on narrow links.
//! All asking the one that has them would fill its link, and its core, for seconds. So each asks
//! another host first, by an order that all of them work out alike: a host is asked by so many others at
//! most, and the last one has the news after as many steps as the logarithm of the hosts. A strong host is
//! asked by more: its link brings several narrow ones what they can take. Nothing
//! depends on that order: a host that is gone, or has nothing, is passed over for the one that it would have
//! asked itself, and the last one asked is the one that has the news.

use std::collections::BTreeSet;

use crate::name::Name;
use crate::place::{hash, mix};
use crate::strength;

/// Hosts that ask one host first.
const CHILDREN: usize = 4;
/// The same of a strong host. Each of them may know another revision, and what it lacks is packed for it
/// alone: many would take the core of the host that they ask.
const CHILDREN_OF_STRONG: usize = 8;
/// Classes above the weakest host of the domain from which on a host is a strong one: four times its strength.
const STRONG: u8 = 2;

/// Hosts that ask one of a class first, where the weakest host of the domain is of another.
#[must_use]
pub fn children(class: u8, weakest: u8) -> usize {
    if class >= weakest.saturating_add(STRONG) { CHILDREN_OF_STRONG } else { CHILDREN }
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
    let hosts: Vec<(&Name, u8)> = hosts.filter(|(name, _)| *name != own.0).chain([own]).collect();
    let weakest = hosts.iter().map(|(_, class)| *class).min().unwrap_or_default();
    // The root has the first place.
    let place = |(name, class): &(&'a Name, u8)| {
        (*name != root, strength::rank(*class, mix(hash(name.as_bytes()) ^ seed)), *name, *class)
    };
    let unknown_root = (!hosts.iter().any(|(name, _)| *name == root)).then_some((root, weakest));
    let order: BTreeSet<_> = hosts.iter().chain(&unknown_root).map(place).collect();
    let order: Vec<(&Name, usize)> =
        order.into_iter().map(|(_, _, name, class)| (name, children(class, weakest))).collect();
    let mut at = order.iter().position(|(name, _)| *name == own.0).unwrap_or_default();
    let mut sources = Vec::new();
    while at > 0 {
        at = asked_by(at, &order);
        sources.push(order[at].0.clone());
    }
    sources
}

/// The place of the host that the one at a place asks first, in an order of hosts, each with its children.
fn asked_by(at: usize, order: &[(&Name, usize)]) -> usize {
    let mut served = 0;
    let serves = |(_, children): &(&Name, usize)| {
        served += children;
        at <= served
    };
    order.iter().position(serves).unwrap_or_default()
}
