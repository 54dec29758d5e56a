//! Which of the things that a request may be known again by speaks against it.
//!
//! A server that ends takes all requests with it that are under way there, with all parts of their
//! prompts. Each end has one cause, though. So ends that something else explains better, since more
//! servers ended under that, don't count; and where two things were lost with the same servers, a
//! request that has only one of them shows which it is.

use super::{Crash, Digest, Fingerprint, HELD, Kind, SUSPECT, Suspect, TRIAL_MS, Verdict};
use crate::time::Millis;

/// What is to be done with a request, and what speaks against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Judgement {
    /// What is to be done.
    pub verdict: Verdict,
    /// What decided, if anything speaks against the request.
    pub cause: Option<(Digest, Kind)>,
}

impl Judgement {
    const INNOCENT: Self = Self { verdict: Verdict::Run, cause: None };

    /// The one that lets less through.
    fn stricter(self, other: Self) -> Self {
        if rank(self.verdict) < rank(other.verdict) { other } else { self }
    }
}

fn rank(verdict: Verdict) -> (u8, u64) {
    match verdict {
        Verdict::Run => (0, 0),
        Verdict::Trial { servers, .. } => (1, u64::from(servers)),
        Verdict::Hold(ms) => (2, ms),
    }
}

/// What is to be done with a request by all that is known of what it has, and of everything else.
pub(super) fn judge<'a>(
    request: &Fingerprint,
    known: impl Fn(Digest) -> Option<&'a Suspect>,
    all: impl Iterator<Item = &'a Suspect> + Clone,
    now: Millis,
) -> Judgement {
    let own = request.causes().filter_map(|(digest, _)| known(digest));
    let judged = own.map(|suspect| judge_one(request, suspect, all.clone(), now));
    judged.fold(Judgement::INNOCENT, Judgement::stricter)
}

fn judge_one<'a>(
    request: &Fingerprint,
    suspect: &Suspect,
    all: impl Iterator<Item = &'a Suspect> + Clone,
    now: Millis,
) -> Judgement {
    let servers = suspect.server_count(now);
    if servers < SUSPECT {
        return Judgement::INNOCENT;
    }
    let heavy =
        all.filter(|other| other.digest != suspect.digest && other.server_count(now) >= HELD);
    let stronger = heavy.clone().filter(|other| other.server_count(now) > servers);
    let is_unexplained = |crash: &Crash| !stronger.clone().any(|other| other.was_lost_with(crash));
    let verdict = suspect.verdict_by(is_unexplained, now);
    let is_twin = |other: &Suspect| {
        other.server_count(now) == servers
            && !request.contains(other.digest)
            && suspect.crashes.iter().all(|crash| other.was_lost_with(crash))
    };
    let verdict = match verdict {
        Verdict::Hold(_) if heavy.clone().any(is_twin) => {
            Verdict::Trial { servers: SUSPECT, alone_ms: TRIAL_MS }
        }
        verdict => verdict,
    };
    Judgement { verdict, cause: Some((suspect.digest, suspect.kind)) }
}

impl Suspect {
    fn was_lost_with(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.is_same(crash))
    }
}
