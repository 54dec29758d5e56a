//! The engines from which a request's cached prompt parts can be fetched, and what became of
//! fetches.

use std::sync::Arc;

use policy::engine::fetch::Link;
use policy::name::Name;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::pool::Pool;
use crate::prefixes::HOLDERS_MAX;

/// A fetch that an attempt asks for.
#[derive(Clone)]
pub struct Fetch {
    /// The engine that has the parts cached.
    pub source: Arc<Backend>,
    /// Tokens that are fetched.
    pub tokens: f64,
    /// Expected time of the transfer, in milliseconds.
    pub ms: f64,
}

/// An engine from which parts can be fetched.
pub struct Holder {
    /// The engine.
    pub backend: Arc<Backend>,
    /// Leading tokens of the prompt that it is believed to have cached.
    pub tokens: f64,
}

impl<C: Codec> Job<C> {
    /// The speed of transfers between the engines of the service; `None` if they can't fetch, if
    /// the setting is off, or if an earlier attempt of the request failed with a fetch.
    #[must_use]
    pub fn fetch_link(&self) -> Option<Link> {
        if !self.state.placement.load().fetch || self.attempts.has_fetch_failed {
            return None;
        }
        let snapshot = self.state.snapshot.load();
        let engine = snapshot.index.services.get(&self.service)?.engine?;
        Link::new(engine.token_bytes, engine.link_mbps)
    }

    /// Engines of a version from which the prompt's parts can be fetched. They may be full, and
    /// they may have been tried.
    #[must_use]
    pub fn holders(&self, pool: &Pool, version: &Name, now: Millis) -> Vec<Holder> {
        let (model, parts) = (self.model_hash(), &self.info.parts);
        let prefixes = &self.state.prefixes;
        let can_send = |backend: &&Arc<Backend>| {
            let server = &backend.server;
            let is_silent = self.attempts.silent_domains.contains(&server.failure_domain);
            !server.is_ill(now) && !server.is_leaving() && !backend.has_ended(now) && !is_silent
        };
        let Some(members) = pool.members(version) else { return Vec::new() };
        let mut holders: Vec<Holder> = match members.all.first() {
            Some(any) if prefixes.covers(any) => {
                let indexed = prefixes.holders(any.weights(model), parts, now).into_iter();
                let mut known: Vec<(usize, f64)> = indexed
                    .filter_map(|holder| Some((members.with_start(holder.backend)?, holder.tokens)))
                    .collect();
                known.sort_unstable_by_key(|(index, _)| *index);
                let known = known.into_iter().map(|(index, tokens)| (&members.all[index], tokens));
                let usable = known.filter(|(backend, _)| can_send(backend));
                usable
                    .map(|(backend, tokens)| Holder { backend: Arc::clone(backend), tokens })
                    .collect()
            }
            _ => {
                let known = |backend: &Arc<Backend>| {
                    let tokens = prefixes.cached_tokens(backend, model, parts, now);
                    (tokens > 0.0).then(|| Holder { backend: Arc::clone(backend), tokens })
                };
                members.all.iter().filter(can_send).filter_map(known).collect()
            }
        };
        let queue = |holder: &Holder| holder.backend.transfers();
        holders.sort_by(|one, other| {
            other.tokens.total_cmp(&one.tokens).then(queue(one).cmp(&queue(other)))
        });
        holders.truncate(HOLDERS_MAX);
        holders
    }

    /// Records that an attempt failed. If it asked for a fetch, the next ones ask for none.
    pub fn record_fetch_failed(&mut self) {
        if self.attempts.fetch.take().is_some() {
            self.attempts.has_fetch_failed = true;
            metrics::counter!("gateway_fetches_total", "outcome" => "failed").increment(1);
        }
    }

    /// Records the head of an answer, which came after `head_ms` in place of `expected_ms`.
    pub fn record_fetch(&self, head_ms: f64, expected_ms: f64, now: Millis) {
        let fetch = self.attempts.fetch.as_ref();
        if let Some(fetch) = fetch {
            metrics::counter!("gateway_fetches_total", "outcome" => "answered").increment(1);
            metrics::counter!("gateway_fetched_tokens_total").increment(fetch.tokens as u64);
            metrics::histogram!("gateway_fetch_head_seconds").record(head_ms / 1_000.0);
        }
        if self.state.placement.load().fetch && !self.info.parts.is_empty() {
            self.state.fetch_times.with(&self.service, |times| {
                times.record(fetch.is_some(), head_ms, expected_ms, now);
            });
        }
    }
}
