//! From which host each host of a failure domain takes changes that one of them has.
//!
//! The critical case is that hundreds of hosts on narrow links lack the same changes at the same
//! moment. If all of them asked the host that has the changes, its link and its core would be busy
//! for seconds. Each therefore asks another host first, in a tree that all hosts compute alike. A
//! limited number of hosts ask any one host first, so the last host has the changes after a number
//! of steps that grows with the logarithm of the number of hosts. More hosts ask a strong host: its
//! link feeds several narrow ones.
//!
//! Nothing depends on the tree. A host that is gone, or does not have the changes, is skipped for
//! the one that it would have asked itself, and the last one asked is the one that has the changes.

use std::collections::BTreeSet;

use crate::name::Name;
use crate::place::{hash, mix};
use crate::strength;

/// Most hosts that ask one host first.
const CHILDREN_MAX: usize = 4;
/// Most hosts that ask one strong host first. Each of them may know another revision, and the
/// changes that it lacks are packed for it alone, so a larger number would overload the core of the
/// strong host.
const STRONG_CHILDREN_MAX: usize = 8;
/// Number of strength classes above the weakest host of the domain from which a host is strong; two
/// classes mean four times the strength.
const STRONG_CLASS_GAP: u8 = 2;

/// Most hosts that ask a host of strength class `class` first, where `weakest` is the class of the
/// weakest host of the domain.
#[must_use]
pub fn children_max(class: u8, weakest: u8) -> usize {
    if class >= weakest.saturating_add(STRONG_CLASS_GAP) {
        STRONG_CHILDREN_MAX
    } else {
        CHILDREN_MAX
    }
}

/// Returns the hosts that the host `own` asks one after another, the last one being `root`, which
/// has the changes. `hosts` are all hosts that are alive, each with its strength class. Two hosts
/// that know of different hosts compute different trees. Strong hosts stand near the root, so that
/// others ask them; nobody asks the weakest ones.
#[must_use]
pub fn sources<'a>(
    own: (&'a Name, u8),
    root: &'a Name,
    hosts: impl Iterator<Item = (&'a Name, u8)>,
) -> Vec<Name> {
    let seed = hash(root.as_bytes());
    let hosts: Vec<(&Name, u8)> = hosts.filter(|(name, _)| *name != own.0).chain([own]).collect();
    let weakest = hosts.iter().map(|(_, class)| *class).min().unwrap_or_default();
    // Sorts the root first, and the others by rank.
    let sort_key = |(name, class): &(&'a Name, u8)| {
        (*name != root, strength::rank(*class, mix(hash(name.as_bytes()) ^ seed)), *name, *class)
    };
    let unknown_root = (!hosts.iter().any(|(name, _)| *name == root)).then_some((root, weakest));
    let order: BTreeSet<_> = hosts.iter().chain(&unknown_root).map(sort_key).collect();
    let order: Vec<(&Name, usize)> =
        order.into_iter().map(|(_, _, name, class)| (name, children_max(class, weakest))).collect();
    let mut index = order.iter().position(|(name, _)| *name == own.0).unwrap_or_default();
    let mut sources = Vec::new();
    while index > 0 {
        index = parent(index, &order);
        sources.push(order[index].0.clone());
    }
    sources
}

/// Returns the index of the host that the host at `index` asks first. `order` holds the hosts from
/// the root on, each with the number of hosts that ask it first.
fn parent(index: usize, order: &[(&Name, usize)]) -> usize {
    let mut served = 0;
    let serves = |(_, children): &(&Name, usize)| {
        served += children;
        index <= served
    };
    order.iter().position(serves).unwrap_or_default()
}
