//! From whom each host of a failure domain takes what one of them has.
//!
//! The load this answers: hundreds of hosts that lack the same news at the same moment, on narrow links.
//! All asking the one that has them would fill its link, and its core, for seconds. So each asks
//! another host first, by an order that all of them work out alike: a host is asked by so many others at
//! most, and the last one has the news after as many steps as the logarithm of the hosts. Nothing
//! depends on that order: a host that is gone, or has nothing, is passed over for the one that it would have
//! asked itself, and the last one asked is the one that has the news.

use std::collections::BTreeSet;

use crate::name::Name;
use crate::place::{hash, mix};
use crate::strength;

/// Hosts that ask one host first.
const CHILDREN: usize = 4;

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
        (strength::rank(class, mix(hash(name.as_bytes()) ^ seed)), name)
    };
    let hosts = hosts.filter(|(name, _)| *name != own.0).chain([own]);
    let hosts = hosts.filter(|(name, _)| *name != root);
    // Behind the root, which has the first place.
    let order: BTreeSet<(u64, &Name)> = hosts.map(place).collect();
    let order: Vec<&Name> = order.into_iter().map(|(_, name)| name).collect();
    let mut at = order.iter().position(|name| *name == own.0).map_or(0, |index| index + 1);
    let mut sources = Vec::new();
    while at > 0 {
        at = (at - 1) / CHILDREN;
        sources.push(if at == 0 { root.clone() } else { order[at - 1].clone() });
    }
    sources
}
