//! The way of a claim or pin to the owner of its shard, and its answer there.

use std::sync::Arc;
use std::time::Instant;

use coordination::home::{Home, account_key};
use coordination::owner::{Owner, Refusal, Verdict};
use coordination::shard::Role;
use policy::name::Name;
use policy::time::Millis;
use tarpc::client::RpcError;
use tarpc::context::Context;
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::rpc::ControlClient;
use wire::shard::{Holder, Reply};

use crate::node::now;
use crate::shards::{ANSWER, CALL, Inner, RETRY_AFTER_MS, ROUTE, SAFE};

/// Something that is asked of a key's home.
pub trait Ask: Clone + Send + Sync + 'static {
    /// What the home says.
    type Answer: Send + 'static;
    /// Account and key, joined.
    fn key(&self) -> Name;
    /// Has the owner take it in.
    fn begin(&self, owner: &mut Owner, now: Millis) -> Result<(), Refusal>;
    /// The owner's answer, once it is safe.
    fn finish(&self, home: &Home, owner: &Owner, now: Millis) -> Option<Self::Answer>;
    /// No answer could be had.
    fn unavailable(&self, home: &Home, may_have_run: bool, retry_after_ms: u64) -> Self::Answer;
    /// Asks a control that may be the owner.
    fn call(
        self,
        client: ControlClient,
        context: Context,
        home: Home,
    ) -> impl Future<Output = Result<Reply<Self::Answer>, RpcError>> + Send;
}

impl Ask for Claim {
    type Answer = ClaimAnswer;

    fn key(&self) -> Name {
        account_key(&self.account, &self.key)
    }

    fn begin(&self, owner: &mut Owner, now: Millis) -> Result<(), Refusal> {
        owner.claim(&self.key(), &self.request, self.keep_ms, now)
    }

    fn finish(&self, home: &Home, owner: &Owner, now: Millis) -> Option<ClaimAnswer> {
        owner.verdict(&self.key(), &self.request, now).map(|verdict| match verdict {
            Verdict::Granted => ClaimAnswer::Granted,
            Verdict::Taken { request } => ClaimAnswer::Taken { request },
            // Abandoned while it waited.
            Verdict::Vacant => self.unavailable(home, false, RETRY_AFTER_MS),
        })
    }

    fn unavailable(&self, home: &Home, may_have_run: bool, retry_after_ms: u64) -> ClaimAnswer {
        let home = home.failure_domain.clone();
        ClaimAnswer::Unavailable { home, may_have_run, retry_after_ms }
    }

    async fn call(
        self,
        client: ControlClient,
        context: Context,
        home: Home,
    ) -> Result<Reply<ClaimAnswer>, RpcError> {
        client.owner_claim(context, home, self).await
    }
}

impl Ask for Pin {
    type Answer = PinAnswer;

    fn key(&self) -> Name {
        account_key(&self.account, &self.session)
    }

    fn begin(&self, owner: &mut Owner, now: Millis) -> Result<(), Refusal> {
        owner.pin(&self.key(), &self.version, self.keep_ms, now)
    }

    fn finish(&self, _: &Home, owner: &Owner, now: Millis) -> Option<PinAnswer> {
        owner.version(&self.key(), now).map(|version| PinAnswer::Pinned { version })
    }

    fn unavailable(&self, home: &Home, _: bool, retry_after_ms: u64) -> PinAnswer {
        PinAnswer::Unavailable { home: home.failure_domain.clone(), retry_after_ms }
    }

    async fn call(
        self,
        client: ControlClient,
        context: Context,
        home: Home,
    ) -> Result<Reply<PinAnswer>, RpcError> {
        client.owner_pin(context, home, self).await
    }
}

/// A claim given back.
#[derive(Clone)]
pub struct Abandon(pub Claim);

impl Ask for Abandon {
    type Answer = bool;

    fn key(&self) -> Name {
        self.0.key()
    }

    fn begin(&self, owner: &mut Owner, now: Millis) -> Result<(), Refusal> {
        owner.abandon(&self.key(), &self.0.request, now)
    }

    fn finish(&self, _: &Home, owner: &Owner, now: Millis) -> Option<bool> {
        let verdict = owner.verdict(&self.key(), &self.0.request, now);
        verdict.map(|verdict| verdict != Verdict::Granted)
    }

    fn unavailable(&self, _: &Home, _: bool, _: u64) -> bool {
        false
    }

    async fn call(
        self,
        client: ControlClient,
        context: Context,
        home: Home,
    ) -> Result<Reply<bool>, RpcError> {
        client.owner_abandon(context, home, self.0).await
    }
}

impl Inner {
    /// Asks the owner, wherever it is.
    pub async fn route<A: Ask>(self: &Arc<Self>, ask: A) -> A::Answer {
        let layout = self.table.layout();
        let Some(home) = layout.and_then(|layout| layout.home(&ask.key())) else {
            let failure_domain = self.node.failure_domain().clone();
            let home = Home { failure_domain, shard: 0 };
            return ask.unavailable(&home, false, RETRY_AFTER_MS);
        };
        let deadline = Instant::now() + ROUTE;
        while Instant::now() < deadline {
            let targets = self.targets(&home);
            // Nobody of the failure domain was heard from lately. The caller is answered at once
            // rather than kept waiting; a home that is back is heard from within a moment.
            if targets.is_empty() {
                break;
            }
            for target in targets {
                match self.ask(&target, &home, &ask).await {
                    Some(Reply::Answer(answer)) => return answer,
                    Some(Reply::Elsewhere { holder }) => self.table.learn(&home, &holder),
                    None => {}
                }
                if Instant::now() >= deadline {
                    break;
                }
            }
            let _ = self.table.refresh().await;
            tokio::time::sleep(CALL / 8).await;
        }
        ask.unavailable(&home, false, RETRY_AFTER_MS)
    }

    /// Whom to ask, in order: owner, deputy, then anyone of the failure domain, who knows better.
    fn targets(&self, home: &Home) -> Vec<Name> {
        let holder = self.table.holder(home).unwrap_or_default();
        let mut targets = vec![holder.owner, holder.deputy];
        let alive = self.node.peers.alive(now());
        let near = alive.into_iter().filter(|peer| peer.failure_domain == home.failure_domain);
        targets.extend(near.map(|peer| peer.incarnation));
        if home.failure_domain == *self.node.failure_domain() {
            targets.push(self.node.incarnation.clone());
        }
        let mut seen = std::collections::HashSet::new();
        targets.retain(|name| self.is_alive(name) && seen.insert(name.clone()));
        targets
    }

    async fn ask<A: Ask>(
        self: &Arc<Self>,
        target: &Name,
        home: &Home,
        ask: &A,
    ) -> Option<Reply<A::Answer>> {
        if *target == self.node.incarnation {
            return Some(self.answer(home, ask).await);
        }
        let peer = self.node.peers.by_incarnation(target)?;
        let (ask, home) = (ask.clone(), home.clone());
        let asked =
            peer.link.call(ANSWER, async |client, context| ask.call(client, context, home).await);
        asked.await.ok()
    }

    /// Answers as owner; as anything else, says who the owner is.
    pub async fn answer<A: Ask>(self: &Arc<Self>, home: &Home, ask: &A) -> Reply<A::Answer> {
        let cell = self.cell(home);
        let mut turn = cell.turn.subscribe();
        let begun = match cell.lock().owner() {
            Some(owner) => ask.begin(owner, now()),
            None => Err(Refusal::Leaving),
        };
        match begun {
            Ok(()) => cell.work.notify_one(),
            Err(Refusal::Closed { until }) => {
                return Reply::Answer(ask.unavailable(home, true, until.since(now())));
            }
            Err(Refusal::Full) => {
                return Reply::Answer(ask.unavailable(home, false, RETRY_AFTER_MS));
            }
            Err(Refusal::Leaving) => return self.elsewhere(home, &cell),
        }
        let deadline = tokio::time::Instant::now() + SAFE;
        loop {
            let finished = cell.lock().owner().map(|owner| ask.finish(home, owner, now()));
            match finished {
                Some(Some(answer)) => return Reply::Answer(answer),
                Some(None) => {}
                None => break,
            }
            if tokio::time::timeout_at(deadline, turn.changed()).await.is_err() {
                return Reply::Answer(ask.unavailable(home, false, RETRY_AFTER_MS));
            }
        }
        self.elsewhere(home, &cell)
    }

    /// Someone could not reach the owner and came here: a deputy looks whether it should take
    /// over.
    fn elsewhere<T>(&self, home: &Home, cell: &super::cell::Cell) -> Reply<T> {
        let own = match &cell.lock().role {
            Role::Owner(owner) => Holder { epoch: owner.epoch, ..Holder::default() },
            Role::Deputy(deputy) => {
                let (epoch, owner) = (deputy.epoch, deputy.owner.clone());
                Holder { epoch, owner, ..Holder::default() }
            }
            Role::Idle => Holder::default(),
        };
        cell.suspect();
        let holder = self.table.holder(home).filter(|known| known.epoch >= own.epoch);
        Reply::Elsewhere { holder: holder.unwrap_or(own) }
    }
}
