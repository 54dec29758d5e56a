//! Decides which suspect among a request and the parts of its prompt speaks against sending it.
//!
//! A crash loses all requests in flight at the server, with all parts of their prompts, but it has
//! only one cause. So a crash does not count against a suspect if another suspect with more crashed
//! servers was lost in it as well and explains it better. Where two suspects were lost with the
//! same servers, a trial of a request that contains only one of them shows which one is the cause.

use super::{
    Crash, Digest, Fingerprint, HOLD_SERVERS_MIN, Kind, Suspect, TRIAL_MS, TRIAL_SERVERS_MIN,
    Verdict,
};
use crate::time::Millis;

/// The verdict on a request and the suspect that led to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Judgement {
    /// What may be done with the request.
    pub verdict: Verdict,
    /// The suspect that decided; none if nothing speaks against the request.
    pub cause: Option<(Digest, Kind)>,
}

impl Judgement {
    const INNOCENT: Self = Self { verdict: Verdict::Run, cause: None };

    /// The judgement whose verdict restricts the request more.
    fn stricter(self, other: Self) -> Self {
        if strictness(self.verdict) < strictness(other.verdict) { other } else { self }
    }
}

fn strictness(verdict: Verdict) -> (u8, u64) {
    match verdict {
        Verdict::Run => (0, 0),
        Verdict::Trial { servers, .. } => (1, u64::from(servers)),
        Verdict::Hold(ms) => (2, ms),
    }
}

/// Judges a request by the suspects among its digests, which `find` returns, in comparison with
/// `all` suspects that the host knows.
pub(super) fn judge<'a>(
    request: &Fingerprint,
    find: impl Fn(Digest) -> Option<&'a Suspect>,
    all: impl Iterator<Item = &'a Suspect> + Clone,
    now: Millis,
) -> Judgement {
    let own = request.digests().filter_map(|(digest, _)| find(digest));
    let judged = own.map(|suspect| judge_suspect(request, suspect, all.clone(), now));
    judged.fold(Judgement::INNOCENT, Judgement::stricter)
}

fn judge_suspect<'a>(
    request: &Fingerprint,
    suspect: &Suspect,
    all: impl Iterator<Item = &'a Suspect> + Clone,
    now: Millis,
) -> Judgement {
    let servers = suspect.server_count(now);
    if servers < TRIAL_SERVERS_MIN {
        return Judgement::INNOCENT;
    }
    let held =
        all.filter(|s| s.digest != suspect.digest && s.server_count(now) >= HOLD_SERVERS_MIN);
    let stronger = held.clone().filter(|other| other.server_count(now) > servers);
    let is_unexplained = |crash: &Crash| !stronger.clone().any(|other| other.has_crash(crash));
    let verdict = suspect.verdict_by(is_unexplained, now);
    let is_alternative = |other: &Suspect| {
        other.server_count(now) == servers
            && !request.contains(other.digest)
            && suspect.crashes.iter().all(|crash| other.has_crash(crash))
    };
    let verdict = match verdict {
        Verdict::Hold(_) if held.clone().any(is_alternative) => {
            Verdict::Trial { servers: TRIAL_SERVERS_MIN, alone_ms: TRIAL_MS }
        }
        verdict => verdict,
    };
    Judgement { verdict, cause: Some((suspect.digest, suspect.kind)) }
}

impl Suspect {
    fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.is_same(crash))
    }
}
