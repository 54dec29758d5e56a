//! Exchanges with other controls of all failure domains.
//!
//! Each control asks one other at a time, going through a shuffled list of all, so that nobody is
//! left out for long. What must be everywhere soon, a generation or a quarantine, is pushed to a
//! few at once; each who learns by it pushes on. The steady round only repairs what pushes missed,
//! so its interval may grow with the number of members and its bytes a second need not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::debug;
use policy::name::Name;
use policy::time::Millis;
use rand::seq::{IndexedRandom, SliceRandom};
use wire::gossip::{Counts, Delta, Digest, News};

use crate::burn;
use crate::configuration;
use crate::hosts;
use crate::marks::Marks;
use crate::news::Log;
use crate::node::{self, Node};
use crate::peers::{CALL, Member, Source};
use crate::rollout;

/// Members notified at once of what is urgent.
const FANOUT: usize = 4;
/// Members up to which the interval of settings is kept; beyond, it grows in proportion.
const MEMBERS_SMALL: u64 = 5;
/// It grows no further than this.
const INTERVAL_MS_MAX: u64 = 2_000;

/// The controller.
pub struct Controller {
    /// The process.
    pub node: Arc<Node>,
    /// What is in force.
    pub configuration: Arc<configuration::Controller>,
    /// The list of hosts.
    pub hosts: Arc<hosts::Controller>,
    /// Quarantines.
    pub marks: Arc<Marks>,
    /// Where roll-outs stand.
    pub rollouts: Arc<rollout::Controller>,
    /// Counts of service levels.
    pub burn: Arc<burn::Controller>,
    log: Mutex<Log>,
    arrived: tokio::sync::broadcast::Sender<News>,
}

impl Controller {
    /// No news yet.
    #[must_use]
    pub fn new(
        node: Arc<Node>,
        configuration: Arc<configuration::Controller>,
        hosts: Arc<hosts::Controller>,
    ) -> Self {
        let rollouts = Arc::new(rollout::Controller::new(node.clone(), configuration.clone()));
        let (arrived, _) = tokio::sync::broadcast::channel(1024);
        Self {
            node,
            configuration,
            hosts,
            marks: Arc::default(),
            rollouts,
            burn: Arc::default(),
            log: Mutex::default(),
            arrived,
        }
    }

    /// Each piece of news once, own ones too.
    #[must_use]
    pub fn arrivals(&self) -> tokio::sync::broadcast::Receiver<News> {
        self.arrived.subscribe()
    }

    /// Publishes counts as news of this control.
    pub fn publish(&self, counts: Counts, now: Millis) {
        let news = self.log().publish(&self.node.incarnation, counts, now);
        // No receiver means that nobody here draws conclusions yet.
        let _ = self.arrived.send(news);
    }

    fn log(&self) -> std::sync::MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is held here.
    #[must_use]
    pub fn digest(&self, now: Millis) -> Digest {
        let hosts = self.hosts.hosts();
        Digest {
            from: self.node.incarnation.clone(),
            failure_domain: self.node.failure_domain().clone(),
            address: self.node.address(),
            generation: self.configuration.in_force().generation,
            unconfirmed_ms: self.configuration.unconfirmed_ms(now),
            hosts: hosts.hash,
            hosts_revision: hosts.list.revision,
            marks: self.marks.hash(),
            rollouts: self.rollouts.hash(),
            news: self.log().held(),
            ..Digest::default()
        }
    }

    /// Answers one exchange; follows up in the background what the asker has and we lack.
    pub fn answer(self: &Arc<Self>, theirs: &Digest, now: Millis) -> Delta {
        self.meet(theirs, now);
        let ours = self.digest(now);
        let marks = match ours.marks == theirs.marks {
            true => Vec::new(),
            false => self.marks.all(),
        };
        let rollouts = match ours.rollouts == theirs.rollouts {
            true => Vec::new(),
            false => self.rollouts.rows(),
        };
        let levels = match theirs.wants_levels {
            true => self.burn.all(),
            false => Vec::new(),
        };
        let news = self.log().lacking(&theirs.news);
        if self.lacks(&ours, theirs) {
            let (gossip, theirs) = (self.clone(), theirs.clone());
            tokio::spawn(async move {
                if let Some(member) = gossip.node.peers.by_incarnation(&theirs.from) {
                    gossip.follow(&member, &theirs).await;
                }
            });
        }
        let in_force = self.configuration.in_force();
        let change = in_force.change.clone().filter(|change| change.from == theirs.generation);
        Delta { digest: ours, news, marks, rollouts, levels, change, ..Delta::default() }
    }

    /// Whether the urgent parts of another's digest are ahead of ours.
    fn lacks(&self, ours: &Digest, theirs: &Digest) -> bool {
        theirs.generation > ours.generation
            || theirs.marks != ours.marks
            || theirs.rollouts != ours.rollouts
    }

    fn meet(&self, theirs: &Digest, now: Millis) {
        let host = node::host_of(&theirs.from);
        if let Ok(address) = theirs.address.parse::<SocketAddr>() {
            self.node.peers.learn(Source::Gossip, &host, &theirs.failure_domain, address);
        }
        self.node.peers.heard(&host, &theirs.from, theirs.generation, now);
        if theirs.generation == self.configuration.in_force().generation {
            self.configuration.confirm(theirs.generation, now - theirs.unconfirmed_ms);
        }
    }

    /// Fetches what another's digest shows that we lack.
    async fn follow(self: &Arc<Self>, member: &Member, theirs: &Digest) {
        if theirs.generation > self.configuration.in_force().generation {
            self.ask(member).await;
        }
        if theirs.generation > self.configuration.in_force().generation {
            self.configuration.fetch_from(&member.link, theirs.generation).await;
        }
        if theirs.marks != self.marks.hash() || theirs.rollouts != self.rollouts.hash() {
            self.ask(member).await;
        }
    }

    /// One exchange; says whether the other answered.
    pub async fn exchange(self: &Arc<Self>, member: &Member) -> Option<Delta> {
        let delta = self.ask(member).await?;
        if delta.digest.generation > self.configuration.in_force().generation {
            self.configuration.fetch_from(&member.link, delta.digest.generation).await;
            self.meet(&delta.digest, node::now());
        }
        self.refresh_hosts(member, &delta.digest).await;
        Some(delta)
    }

    async fn ask(self: &Arc<Self>, member: &Member) -> Option<Delta> {
        let digest = self.digest(node::now());
        self.call(member, digest).await
    }

    /// Sends a digest and takes in the answer.
    pub async fn call(self: &Arc<Self>, member: &Member, digest: Digest) -> Option<Delta> {
        let asked = node::now();
        let answer = member
            .link
            .call(CALL, |client, context| async move { client.gossip(context, digest).await });
        let delta = match answer.await {
            Ok(delta) => delta,
            Err(error) => {
                debug!("gossip: {}: {error}", member.host);
                metrics::counter!("gossip_failed_total").increment(1);
                self.node.peers.missed(&member.host);
                return None;
            }
        };
        metrics::counter!("gossip_exchanges_total").increment(1);
        self.meet(&delta.digest, asked);
        for mark in &delta.marks {
            self.marks.add(mark);
        }
        if let Some(change) = &delta.change {
            self.configuration.change(change);
        }
        self.rollouts.take(&delta.rollouts);
        self.burn.join(&delta.levels);
        for news in &delta.news {
            if self.log().take(news, node::now()) {
                let _ = self.arrived.send(news.clone());
            }
        }
        Some(delta)
    }

    /// A newer list that differs: from the platform, or from the peer if that gives no answer.
    async fn refresh_hosts(&self, member: &Member, theirs: &Digest) {
        let ours = self.hosts.hosts();
        if theirs.hosts == ours.hash || theirs.hosts_revision <= ours.list.revision {
            return;
        }
        if self.hosts.poll().await.is_err() || self.hosts.revision() < theirs.hosts_revision {
            self.view_from(member).await;
        }
    }

    /// Takes document, hosts and marks from a peer's view, as a starting control does.
    pub async fn view_from(&self, member: &Member) {
        let ask = wire::view::ViewRequest::default();
        let answer = member
            .link
            .call(CALL, |client, context| async move { client.view(context, ask).await });
        let Ok(view) = answer.await else { return };
        self.hosts.take(view.hosts);
    }

    /// How long one round lasts among so many members.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let members = self.node.peers.len() as u64;
        let base = self.node.settings.gossip_ms;
        let grown = base * members.max(MEMBERS_SMALL) / MEMBERS_SMALL;
        Duration::from_millis(grown.min(INTERVAL_MS_MAX.max(base)))
    }

    /// Goes round all members for ever.
    pub async fn run(self: Arc<Self>) {
        let mut round: Vec<Name> = Vec::new();
        loop {
            let interval = self.interval();
            self.node.peers.expect(interval);
            self.log().expire(node::now());
            self.node.peers.expire(node::now());
            if round.is_empty() {
                round = self.node.peers.all().into_iter().map(|member| member.host).collect();
                round.shuffle(&mut rand::rng());
            }
            if let Some(member) = round.pop().and_then(|host| self.node.peers.get(&host)) {
                let gossip = self.clone();
                // Of its own, so that a silent member does not hold up the round.
                tokio::spawn(async move { gossip.exchange(&member).await });
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Pushes each new generation, quarantine and roll-out's step to a few members for ever.
    pub async fn push(self: Arc<Self>) {
        let mut generations = self.configuration.watch();
        let mut marks = self.marks.watch();
        let mut rollouts = self.rollouts.watch();
        loop {
            tokio::select! {
                changed = generations.changed() => if changed.is_err() { return },
                changed = marks.changed() => if changed.is_err() { return },
                changed = rollouts.changed() => if changed.is_err() { return },
            }
            let members = self.node.peers.all();
            for member in members.choose_multiple(&mut rand::rng(), FANOUT) {
                let (gossip, member) = (self.clone(), member.clone());
                tokio::spawn(async move { gossip.exchange(&member).await });
            }
        }
    }
}
