//! Validates settings that could be deserialized.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use policy::name::Name;
use policy::relay;

use super::{Control, Entry, Node, Resources, Secret, is_sha256_hex, is_valid_name};
use crate::fault::Fault;

/// Most failure domains that a deployment may have.
const FAILURE_DOMAINS_MAX: usize = 1_000;
/// With fewer descriptors a host has none left for callers, after those for its own files and
/// connections.
const DESCRIPTORS_MIN: u32 = 512;
/// Most worker threads that a process may have.
const THREADS_MAX: u32 = 256;
/// Entries that the prefix cache index may have. With the most it takes 7.4 MB.
const PREFIX_ENTRIES: RangeInclusive<usize> = 128..=160_000;

/// Most requests that may wait at one host for a service.
const WAITING_MAX: u32 = 1_000_000;

/// Adds the faults of settings of `entry`.
pub fn check_entry(entry: &Entry, faults: &mut Vec<Fault>) {
    check_common(&entry.name, &entry.failure_domain, &entry.log, faults);
    check_secret(&entry.peer_key, faults);
    if entry.controls.is_empty() {
        faults.push(Fault::at("controls", "at least one is needed"));
    }
    if !(0.0..=1.0).contains(&entry.rated_share) {
        faults.push(Fault::at("rated_share", "must be from 0 to 1"));
    }
    for (member, is_too_small) in [
        ("bounds.header_bytes", entry.bounds.header_bytes < 1024),
        ("bounds.body_bytes", entry.bounds.body_bytes < 1024),
        ("bounds.slow_ms", entry.bounds.slow_ms == 0),
        ("bounds.in_flight", entry.bounds.in_flight == 0),
    ] {
        if is_too_small {
            faults.push(Fault::at(member, "too small to serve anything"));
        }
    }
}

/// Adds the faults of settings of `control`.
pub fn check_control(control: &Control, faults: &mut Vec<Fault>) {
    check_common(&control.name, &control.failure_domain, &control.log, faults);
    check_secret(&control.peer_key, faults);
    for (index, hash) in control.operator_token_hashes.iter().enumerate() {
        if !is_sha256_hex(hash) {
            let path = format!("operator_token_hashes[{index}]");
            faults.push(Fault::at(path, "must be 64 hexadecimal digits"));
        }
    }
    for (member, is_too_small) in [
        ("bills_max", control.bills_max == 0),
        ("poll_ms", control.poll_ms == 0),
        ("gossip_ms", control.gossip_ms == 0),
        ("shards", control.shards == 0),
    ] {
        if is_too_small {
            faults.push(Fault::at(member, "must not be 0"));
        }
    }
}

fn check_failure_domains(node: &Node, faults: &mut Vec<Fault>) {
    let domains = &node.failure_domains;
    let names: BTreeSet<&Name> = domains.iter().collect();
    let message = match () {
        () if domains.is_empty() => return,
        () if domains.len() > FAILURE_DOMAINS_MAX => "must name no more than 1000",
        () if names.len() < domains.len() => "names a failure domain twice",
        () if !names.contains(&node.failure_domain) => "must name the host's own",
        () => return,
    };
    faults.push(Fault::at("failure_domains", message));
}

/// Adds the faults of settings of `node`.
pub fn check_node(node: &Node, faults: &mut Vec<Fault>) {
    check_common(&node.name, &node.failure_domain, &node.log, faults);
    check_failure_domains(node, faults);
    check_resources(&node.resources, faults);
    for (member, value, max) in [
        ("repeats.share", node.repeats.share, 10.0),
        ("repeats.slack", node.repeats.slack, 1e6),
        ("exposure_share", node.exposure_share, 1.0),
    ] {
        if !(0.0..=max).contains(&value) {
            faults.push(Fault::at(member, format!("must be from 0 to {max}")));
        }
    }
    if node.held_bytes.is_some_and(|held| !(held.memory_share > 0.0 && held.memory_share <= 1.0)) {
        faults.push(Fault::at("held_bytes.memory_share", "must be more than 0 and at most 1"));
    }
    if node.hedging.as_ref().is_some_and(|hedging| !(0.0..=1.0).contains(&hedging.share)) {
        faults.push(Fault::at("hedging.share", "must be from 0 to 1"));
    }
    if node.standing_delay_ms.is_some_and(|ms| !(ms.is_finite() && ms > 0.0)) {
        faults.push(Fault::at("standing_delay_ms", "must be more than 0"));
    }
    if node.admission.is_some_and(|admission| !(1..=WAITING_MAX).contains(&admission.waiting_max)) {
        faults.push(Fault::at("admission.waiting_max", format!("must be from 1 to {WAITING_MAX}")));
    }
    for (member, value, min) in [
        ("repeats.window_ms", node.repeats.window_ms, 100),
        // A change takes as long to be read if a call of the store or a host is lost meanwhile.
        ("change_ms", node.change_ms, relay::CHANGE_MS_MIN),
        ("leaving_ms", node.leaving_ms, relay::CHANGE_MS_MIN),
        ("contact_ms", node.contact_ms, 2_000),
        ("drain_ms", node.drain_ms, 1_000),
    ] {
        if value < min {
            faults.push(Fault::at(member, format!("must be at least {min}")));
        }
    }
    if node.prefix_index.is_some_and(|index| !PREFIX_ENTRIES.contains(&index.entries_max)) {
        let (min, max) = (PREFIX_ENTRIES.start(), PREFIX_ENTRIES.end());
        let message = format!("must be from {min} to {max}");
        faults.push(Fault::at("prefix_index.entries_max", message));
    }
    if node.placement.far && !(node.placement.fetch && node.prefix_index.is_some()) {
        faults.push(Fault::at("placement.far", "needs placement.fetch and prefix_index"));
    }
    if node.placement.far_loads && !node.placement.loads {
        faults.push(Fault::at("placement.far_loads", "needs placement.loads"));
    }
    if !(1..=THREADS_MAX).contains(&node.threads) {
        faults.push(Fault::at("threads", format!("must be from 1 to {THREADS_MAX}")));
    }
}

fn check_resources(resources: &Resources, faults: &mut Vec<Fault>) {
    for (member, value) in [
        ("resources.core_share", resources.core_share),
        ("resources.link_mbps", resources.link_mbps),
    ] {
        if !(value.is_finite() && value > 0.0) {
            faults.push(Fault::at(member, "must be more than 0"));
        }
    }
    if resources.descriptors.is_some_and(|count| count < DESCRIPTORS_MIN) {
        let message = format!("must be at least {DESCRIPTORS_MIN}");
        faults.push(Fault::at("resources.descriptors", message));
    }
    if resources.memory_mb == Some(0) {
        faults.push(Fault::at("resources.memory_mb", "must be more than 0"));
    }
}

fn check_common(name: &Name, failure_domain: &Name, log: &Name, faults: &mut Vec<Fault>) {
    for (member, text) in [("name", name), ("failure_domain", failure_domain)] {
        if !is_valid_name(text) {
            faults.push(Fault::at(member, "must be 1 to 64 letters, digits, '-', '_' or '.'"));
        }
    }
    if !["off", "error", "warn", "info", "debug", "trace"].contains(&log.as_str()) {
        faults.push(Fault::at("log", "must be off, error, warn, info, debug or trace"));
    }
}

fn check_secret(secret: &Secret, faults: &mut Vec<Fault>) {
    if let Err(message) = secret.load() {
        faults.push(Fault::at("peer_key", message));
    }
}
