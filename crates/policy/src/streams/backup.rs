//! Backups of running streams: which runs have their KV cache copied to another engine, and which
//! engine keeps the copy.
//!
//! Load: an engine crashes or a failure domain loses power. All streams that ran there are resumed
//! at the same time, at engines that are already busy and that read every prompt again, one after
//! another. Streams with long prompts then pause for longer than their callers allow. An engine
//! that has a copy of the KV cache reads nothing again.
//!
//! A copy takes memory that running requests need, and bytes. So a run gets a backup only if its
//! resumption without one would be late, and only at an engine whose memory is not short.

use crate::domain;
use crate::engine::Engine;
use crate::engine::fetch::{self, Link, Source};
use crate::sample;

/// Standard deviations above the mean that are assumed for other hosts' backups at an engine. Hosts
/// do not see each other's backups, which they place at random.
const BACKUP_DEVIATIONS: f64 = 2.0;
/// Weight of one request in the usual lengths of prompts.
const USUAL_WEIGHT: f64 = 0.03;

domain! {
    /// Usual lengths of the prompts of one service, as moving averages.
    #[derive(Copy, Default)]
    pub struct UsualPrompt {
        /// Tokens that belong to one request or session alone; `None` before the first request.
        own: Option<f64>,
        /// Tokens that other requests share; an engine holds them once.
        shared: f64,
    }

    /// A run that may get a backup.
    #[derive(Copy)]
    pub struct Run {
        /// Hash of the failure domain of the run's engine.
        pub domain: u64,
        /// Estimated requests at the run's engine.
        pub load: f64,
        /// Length of the prompt, in tokens.
        pub prompt: f64,
        /// Prompt tokens that a usual engine reads per millisecond with the run's model.
        pub tokens_per_ms: f64,
        /// Longest pause between two events that the route allows, in milliseconds.
        pub pause_ms: f64,
        /// Time until the caller's deadline, in milliseconds.
        pub left_ms: f64,
    }

    /// Another engine, which could resume the run or keep its backup.
    #[derive(Copy)]
    pub struct Target {
        /// Hash of the engine's failure domain.
        pub domain: u64,
        /// State of the engine.
        pub engine: Engine,
        /// Tokens of the backups that this host has asked for at the engine and that may exist.
        pub backup_tokens: f64,
    }

    /// Properties of the service's engines.
    #[derive(Copy)]
    pub struct Fleet {
        /// Tokens that the KV cache of an engine holds; 0 if it is not known.
        pub capacity: f64,
        /// Number of failure domains with engines.
        pub domains: usize,
        /// Speed of transfers between engines; `None` if it is not known.
        pub link: Option<Link>,
        /// Usual lengths of prompts.
        pub usual: UsualPrompt,
    }

    /// A backup that a run should have.
    #[derive(Copy)]
    pub struct Backup {
        /// Index of the engine that keeps it.
        pub target: usize,
        /// Expected pause of the stream without the backup, in milliseconds.
        pub pause_ms: f64,
    }

    /// Why a run gets no backup.
    #[derive(Copy, Eq)]
    pub enum Withheld {
        /// Resumed without a backup, the stream would be in time.
        InTime,
        /// No engine that could keep the backup has memory for it.
        Memory,
        /// The transfer would take longer than the pause that it saves.
        Bytes,
    }
}

impl Withheld {
    /// The value of the `why` label in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Memory => "memory",
            Self::Bytes => "bytes",
        }
    }
}

impl UsualPrompt {
    /// Records a prompt of `own` tokens that belong to its request alone and `shared` ones.
    pub fn record(&mut self, own: f64, shared: f64) {
        let Some(usual) = self.own else {
            *self = Self { own: Some(own), shared };
            return;
        };
        self.own = Some(usual + USUAL_WEIGHT * (own - usual));
        self.shared += USUAL_WEIGHT * (shared - self.shared);
    }
}

/// Decides whether a run gets a backup, and at which engine. `targets` are the other open engines
/// of the run's version, and `draw` is uniform in 0 to 1.
///
/// Hosts decide at the same time by the same reports. If all of them chose the emptiest engine, it
/// would have no memory left. The draw therefore spreads backups in proportion to the free memory,
/// and to the free slots: where none is free, a stream waits until another one ends, which takes
/// longer than all else.
///
/// # Errors
/// Why the run gets none.
pub fn choose(run: &Run, targets: &[Target], fleet: &Fleet, draw: f64) -> Result<Backup, Withheld> {
    let allowed_ms = run.pause_ms.min(run.left_ms);
    let one_lost_ms = pause_after_engine_loss_ms(run, targets, fleet);
    let domain_lost_ms = pause_after_domain_loss_ms(run, targets, fleet);
    let pause_ms = one_lost_ms.max(domain_lost_ms);
    if pause_ms <= allowed_ms {
        return Err(Withheld::InTime);
    }
    let rooms = rooms(run, targets, fleet);
    let is_far = |index: usize| targets[index].domain != run.domain;
    // A backup in the run's own failure domain is lost with it. It helps only where the loss of the
    // engine alone makes the stream late.
    let far = draw_by_room(&rooms, is_far, draw);
    let near = || draw_by_room(&rooms, |index| !is_far(index), draw);
    let target = far.or_else(|| if one_lost_ms > allowed_ms { near() } else { None });
    let target = target.ok_or(Withheld::Memory)?;
    match transfer_ms(run, &targets[target], fleet) > pause_ms {
        true => Err(Withheld::Bytes),
        false => Ok(Backup { target, pause_ms }),
    }
}

/// Time that the transfer of the prompt's KV cache takes, in milliseconds; 0 if it is not known.
fn transfer_ms(run: &Run, target: &Target, fleet: &Fleet) -> f64 {
    let source = Source { id: 0, domain: run.domain, tokens: run.prompt, transfers: 0 };
    let target = fetch::Target { id: 1, domain: target.domain };
    let transfer = fleet.link.and_then(|link| link.transfer((0, &source), &target, 0.0));
    transfer.map_or(0.0, |transfer| transfer.ms)
}

/// Expected pause of the stream if its engine alone is lost, in milliseconds: the best engine takes
/// it over. All streams of the lost engine spread over the others.
fn pause_after_engine_loss_ms(run: &Run, targets: &[Target], fleet: &Fleet) -> f64 {
    let ahead = run.load / targets.len().max(1) as f64;
    let pauses = targets.iter().map(|target| pause_ms(run, target, ahead, fleet));
    pauses.min_by(f64::total_cmp).unwrap_or_default()
}

/// Expected pause of the stream if its failure domain is lost, in milliseconds; 0 if there is no
/// other domain. The remaining engines take over equal numbers of streams.
fn pause_after_domain_loss_ms(run: &Run, targets: &[Target], fleet: &Fleet) -> f64 {
    let (lost, others): (Vec<&Target>, Vec<&Target>) =
        targets.iter().partition(|target| target.domain == run.domain);
    if others.is_empty() || fleet.domains < 2 {
        return 0.0;
    }
    let lost_load: f64 = lost.iter().map(|target| target.engine.load()).sum();
    let load_per_lost = (run.load + lost_load) / (lost.len() + 1) as f64;
    let ahead = load_per_lost / (fleet.domains - 1) as f64;
    let sum: f64 = others.iter().map(|target| pause_ms(run, target, ahead, fleet)).sum();
    sum / others.len() as f64
}

/// Time until an engine has read the run's prompt, with `ahead` other resumed streams ahead of it,
/// in milliseconds.
fn pause_ms(run: &Run, target: &Target, ahead: f64, fleet: &Fleet) -> f64 {
    let engine = &target.engine;
    let missing = (run.prompt - engine.cached).max(0.0);
    // Engines read short prompts first, so those ahead are not longer than this one.
    let each = fleet.usual.own.unwrap_or(missing).min(missing);
    let token_ms = (1.0 + engine.slowdown) / run.tokens_per_ms.max(f64::MIN_POSITIVE);
    engine.wait_ms + (missing + ahead * each) * token_ms
}

/// For each engine the weight with which it is drawn: its tokens of memory that backups may take
/// times its free slots, or 0 if the run's backup does not fit.
fn rooms(run: &Run, targets: &[Target], fleet: &Fleet) -> Vec<f64> {
    let own = fleet.usual.own.unwrap_or(run.prompt);
    // The engines that remain after a loss need this share of their memory for the streams that
    // they take over. Backups may take no more than that.
    let groups = if fleet.domains > 1 { fleet.domains } else { targets.len() + 1 };
    let bound = fleet.capacity / groups as f64;
    let sum = |part: fn(&Target) -> f64| targets.iter().map(part).sum::<f64>();
    let own_load = sum(|target| f64::from(target.engine.own));
    // What the other hosts do as a multiple of what this one does.
    let others = (sum(|target| target.engine.load()) / own_load.max(1.0) - 1.0).max(0.0);
    let own_mean = sum(|target| target.backup_tokens) / targets.len().max(1) as f64;
    let others_mean = own_mean * others;
    let others_backups = others_mean + BACKUP_DEVIATIONS * (others_mean * run.prompt).sqrt();
    let room = |target: &Target| {
        let engine = &target.engine;
        let (load, slots) = (engine.load(), f64::from(engine.slots));
        let used = fleet.usual.shared + load * own;
        let backups = target.backup_tokens + others_backups;
        let room = bound.min(fleet.capacity - used) - backups;
        // Requests wait for a slot or for memory, and the report does not tell for which.
        let is_short = load > slots;
        let fits = !is_short && room >= run.prompt;
        // A stream that continues needs a slot as well. One is added because some of the engine's
        // requests end within the pause.
        let free_slots = slots - load + 1.0;
        if fits { room * free_slots * (1.0 - engine.suspicion).max(0.0) } else { 0.0 }
    };
    targets.iter().map(room).collect()
}

/// Draws one of the accepted engines with probabilities in proportion to their rooms; `None` if
/// none has room.
fn draw_by_room(rooms: &[f64], accepts: impl Fn(usize) -> bool, draw: f64) -> Option<usize> {
    let is_open = |(index, room): (usize, &f64)| *room > 0.0 && accepts(index);
    let weight = |(index, room)| if is_open((index, room)) { *room } else { 0.0 };
    let weights = || rooms.iter().enumerate().map(weight);
    let drawn = sample::weighted(weights(), draw * weights().sum::<f64>());
    drawn.or_else(|| weights().rposition(|weight| weight > 0.0))
}
