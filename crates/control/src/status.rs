//! Which generation is in force on which host, asked of all controls at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use policy::domain;
use policy::name::Name;
use wire::gossip::Mark;

use crate::node;
use crate::process::Process;

/// Controls asked at a time.
const ASKED_AT_ONCE: usize = 32;
/// How long an accepted change's answer waits for hosts that have not got it.
const IN_FORCE: Duration = Duration::from_secs(2);
/// First pause between two rounds of asking; each is twice as long as the one before, so that a
/// host that stays away costs few rounds.
const PAUSE: Duration = Duration::from_millis(50);

domain! {
    /// What `GET /status` says.
    #[derive(Default)]
    pub struct Status {
        /// The asked control's host.
        pub host: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Its incarnation.
        pub incarnation: Name,
        /// Whether it serves a generation.
        pub ready: bool,
        /// The generation in force on it.
        pub generation: u64,
        /// Milliseconds since that was confirmed.
        pub unconfirmed_ms: u64,
        /// Whether new work is refused because bills can't be kept safe.
        pub bills_full: bool,
        /// Bills held here that no log is known to have, its own and other controls'.
        pub bills_held: u64,
        /// All hosts of ours, by name.
        pub hosts: Vec<Host>,
        /// Versions under quarantine.
        pub quarantined: Vec<Mark>,
        /// Shares in force of versions under roll-out.
        pub shares: Vec<(Name, f64)>,
    }

    /// One host of ours.
    #[derive(Default)]
    pub struct Host {
        /// Its name.
        pub host: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The generation in its control; none if that was not reached.
        pub control: Option<u64>,
        /// The generation in its entry; none if it asks no control that was reached.
        pub entry: Option<u64>,
        /// Milliseconds since its control's generation was confirmed.
        pub unconfirmed_ms: u64,
    }

    /// Where a generation is in force.
    #[derive(Default)]
    pub struct Reach {
        /// The generation.
        pub generation: u64,
        /// Hosts on which control and entry both have it, or a later one.
        pub in_force: Vec<Name>,
        /// Hosts of which that is not known.
        pub waiting: Vec<Name>,
    }
}

impl Host {
    fn has(&self, generation: u64, expected: bool) -> bool {
        let control = self.control.is_some_and(|held| held >= generation);
        // A host that runs no entry has nothing to wait for there.
        let entry = self.entry.map_or(!expected, |held| held >= generation);
        control && entry
    }
}

/// Asks all controls.
pub async fn hosts(process: &Arc<Process>) -> Vec<Host> {
    let now = node::now();
    let mut hosts: BTreeMap<Name, Host> = BTreeMap::new();
    for name in process.hosts.ours() {
        hosts.insert(name.clone(), Host { host: name, ..Host::default() });
    }
    let own = process.node.host();
    let row = entry(&mut hosts, own);
    row.failure_domain = process.node.failure_domain().clone();
    row.control = Some(process.configuration.in_force().generation);
    row.unconfirmed_ms = process.configuration.unconfirmed_ms(now);
    let mut entries = process.views.standing(now);
    let asked = process.node.peers.all().into_iter().map(|member| async move {
        let mut digest = process.gossip.digest(node::now());
        digest.wants_entries = true;
        (member.clone(), process.gossip.call(&member, digest).await)
    });
    // Once the platform lists our controls, one that is neither listed nor reached is not waited
    // for: a replaced host would stand as waiting for ever.
    let listed: BTreeSet<Name> = hosts.keys().cloned().collect();
    let mut answers = futures::stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
    while let Some((member, delta)) = answers.next().await {
        if delta.is_none() && process.hosts.lists_controls() && !listed.contains(&member.host) {
            continue;
        }
        let row = entry(&mut hosts, &member.host);
        row.failure_domain = member.failure_domain;
        if let Some(delta) = delta {
            row.control = Some(delta.digest.generation);
            row.unconfirmed_ms = delta.digest.unconfirmed_ms;
            entries.extend(delta.entries);
        }
    }
    for (name, generation) in entries {
        // One that changed controls stands at two for a while; the higher is what it has.
        let row = entry(&mut hosts, &name);
        row.entry = Some(row.entry.unwrap_or(0).max(generation));
    }
    hosts.into_values().collect()
}

fn entry<'a>(hosts: &'a mut BTreeMap<Name, Host>, name: &Name) -> &'a mut Host {
    hosts.entry(name.clone()).or_insert_with(|| Host { host: name.clone(), ..Host::default() })
}

/// All that `GET /status` says.
pub async fn status(process: &Arc<Process>) -> Status {
    let in_force = process.configuration.in_force();
    Status {
        host: process.node.host().clone(),
        failure_domain: process.node.failure_domain().clone(),
        incarnation: process.node.incarnation.clone(),
        ready: process.ready(),
        generation: in_force.generation,
        unconfirmed_ms: process.configuration.unconfirmed_ms(node::now()),
        bills_full: process.ledger.full(),
        bills_held: process.ledger.held(),
        hosts: hosts(process).await,
        quarantined: process.gossip.marks.in_force(&in_force.document),
        shares: process.gossip.rollouts.shares(&in_force.document),
    }
}

/// Waits until a generation is in force on all hosts, but not for long.
pub async fn reach(process: &Arc<Process>, generation: u64) -> Reach {
    let started = tokio::time::Instant::now();
    let mut pause = PAUSE;
    loop {
        let expected: BTreeSet<Name> = process.hosts.entry_hosts();
        let hosts = hosts(process).await;
        let (has, lacks): (Vec<Host>, Vec<Host>) =
            hosts.into_iter().partition(|host| host.has(generation, expected.contains(&host.host)));
        let late = started.elapsed() >= IN_FORCE;
        if lacks.is_empty() || late {
            let names = |hosts: Vec<Host>| hosts.into_iter().map(|host| host.host).collect();
            return Reach { generation, in_force: names(has), waiting: names(lacks) };
        }
        tokio::time::sleep(pause.min(IN_FORCE.saturating_sub(started.elapsed()))).await;
        pause *= 2;
    }
}
