//! The registry of one host: all requests and parts of prompts that were lost with backend servers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::judge::{self, Judgement};
use super::{
    CLEARED_MS, Crash, Digest, Fingerprint, Kind, RecentAnswers, SAME_ANSWER_MS, Suspect,
    TRIAL_SERVERS_MIN, Verdict,
};
use crate::name::Name;
use crate::time::Millis;

/// Most suspects, requests and parts, that are remembered.
const SUSPECTS_MAX: usize = 512;
/// Most attempts that wait for the news that their servers have ended.
const PENDING_MAX: usize = 1_024;
/// How long a lost attempt waits for the news that its server has ended, in milliseconds. The end
/// of a server that stops responding is known only when the list of backend servers shows it.
const LOST_WAIT_MS: u64 = 5_000;
/// How long an abandoned attempt waits for the end of its server, in milliseconds. A server that
/// ends later did not end because of that attempt.
const ABANDONED_WAIT_MS: u64 = 500;
/// How long after a server's end an attempt that is lost counts as lost with that server, in
/// milliseconds.
const ENDED_SERVER_MS: u64 = 1_000;
/// Most ended servers that are remembered.
const ENDED_SERVERS_MAX: usize = 256;
/// How long a request that was lost with one server may be answered elsewhere before it is shared
/// with other hosts, in milliseconds. Nearly all such requests are answered by then.
const UNANSWERED_MS: u64 = 1_000;
/// Most suspects that are shared at once.
const SHARED_SUSPECTS_MAX: usize = 24;
/// Number of servers of a service that end in a row, without an answer of the service in between,
/// beyond which crashes no longer count against parts of prompts: the service is down, and parts
/// that all requests contain would otherwise be held once it is back.
const CRASH_STREAK_MAX: u32 = 8;

/// One sending of a request to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Fingerprint of the request that was sent.
    pub request: Fingerprint,
    /// Name of the server.
    pub server: Name,
    /// When the server's process had started, as in [`Crash::born`].
    pub born: u64,
    /// Whether the server's answer has not begun, or only just, as in [`Crash::is_early`].
    pub is_early: bool,
}

impl Attempt {
    fn crash(&self, at: Millis) -> Crash {
        Crash { server: self.server.clone(), born: self.born, at, is_early: self.is_early }
    }
}

/// How a server has answered a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// With success and completely.
    Whole,
    /// With a failure. That clears the request but not the parts of its prompt, which the server
    /// may not even have read.
    Failure,
    /// With an answer that seems complete but would look the same if the server had crashed midway.
    Unframed,
}

/// Where a suspect's newest state still has to be sent: the store, the peers of the failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Unsent {
    store: bool,
    peers: bool,
}

/// An attempt that was lost or abandoned and counts as a crash if its server turns out to have
/// ended.
#[derive(Debug)]
struct Pending {
    attempt: Attempt,
    at: Millis,
    /// When the server's end no longer counts.
    until: Millis,
}

#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    unsent: Unsent,
    /// Whether this host itself saw a crash or an answer, so that its row in the store has the
    /// suspect.
    is_own: bool,
    /// Whether other hosts know the suspect, so that they must be told when it is cleared.
    is_shared: bool,
}

impl Entry {
    /// Sort key of what other hosts need most, largest first: suspects with enough crashed servers
    /// for a trial, then cleared ones that other hosts know, then the rest.
    fn urgency(&self, now: Millis) -> (u32, bool, Option<Millis>) {
        let servers = self.suspect.server_count(now);
        let is_cleared = self.is_shared && self.suspect.crashes.is_empty();
        let last_change = self.suspect.last_crash_at().max(self.suspect.answered_at);
        (if servers < TRIAL_SERVERS_MIN { 0 } else { servers }, is_cleared, last_change)
    }
}

/// Where a host received a suspect from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From another host of the failure domain, which sends it to all hosts there.
    Peer,
    /// From the store, which the other hosts of the failure domain have not read yet.
    Store,
}

/// What one host knows of requests and parts of prompts that may crash servers.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Digest, Entry>,
    pending: VecDeque<Pending>,
    ended_servers: VecDeque<(Name, Millis)>,
    answered_requests: RecentAnswers,
    answered_parts: RecentAnswers,
    /// Streak of ended servers by service; removed when a server of the service answers.
    crash_streaks: HashMap<Name, CrashStreak>,
}

/// Servers of one service that ended one after the other while they ran attempts of this host.
#[derive(Clone, Debug, Default)]
struct CrashStreak {
    last_server: Name,
    length: u32,
}

impl CrashStreak {
    fn record(&mut self, server: &Name) {
        if self.last_server != *server || self.length == 0 {
            self.last_server = server.clone();
            self.length = self.length.saturating_add(1);
        }
    }
}

impl Registry {
    /// Whether the host knows of no suspect at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records an attempt that broke off. It counts as a crash if its server has just ended or does
    /// so soon.
    pub fn record_loss(&mut self, attempt: Attempt, now: Millis) {
        self.ended_servers.retain(|(_, at)| now.since(*at) < ENDED_SERVER_MS);
        match self.ended_servers.iter().any(|(server, _)| *server == attempt.server) {
            true => self.record_crash(&attempt, now, now),
            false => self.await_end(Pending { attempt, at: now, until: now + LOST_WAIT_MS }, now),
        }
    }

    /// Records an attempt that was abandoned while its server worked on it: the server may still
    /// crash because of it.
    pub fn record_abandoned(&mut self, attempt: Attempt, now: Millis) {
        self.await_end(Pending { attempt, at: now, until: now + ABANDONED_WAIT_MS }, now);
    }

    fn await_end(&mut self, pending: Pending, now: Millis) {
        self.pending.retain(|pending| now < pending.until);
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_front();
        }
        self.pending.push_back(pending);
    }

    /// Records a server's end; returns the requests that were lost with it.
    pub fn record_server_end(&mut self, server: &Name, now: Millis) -> Vec<Fingerprint> {
        self.ended_servers.retain(|(ended, _)| ended != server);
        if self.ended_servers.len() >= ENDED_SERVERS_MAX {
            self.ended_servers.pop_front();
        }
        self.ended_servers.push_back((server.clone(), now));
        let pending = std::mem::take(&mut self.pending);
        let is_on_server = |pending: &Pending| pending.attempt.server == *server;
        let (on_server, others): (VecDeque<Pending>, _) =
            pending.into_iter().partition(is_on_server);
        self.pending = others;
        let mut requests = Vec::new();
        for Pending { attempt, at, .. } in
            on_server.into_iter().filter(|pending| now < pending.until)
        {
            self.record_crash(&attempt, at, now);
            requests.push(attempt.request);
        }
        requests
    }

    fn record_crash(&mut self, attempt: &Attempt, at: Millis, now: Millis) {
        self.add_crash(attempt.request.request, Kind::Request, attempt.crash(at), now);
        let streak = self.crash_streaks.entry(attempt.request.service.clone()).or_default();
        streak.record(&attempt.server);
        let is_down = streak.length > CRASH_STREAK_MAX;
        for part in attempt.request.parts.iter() {
            match attempt.is_early {
                // A part crashes servers as they begin to answer, so a later crash clears it.
                false => self.clear(*part, Kind::Part, at),
                true if is_down || self.was_answered_recently(*part, at) => {}
                true => self.add_crash(*part, Kind::Part, attempt.crash(at), now),
            }
        }
    }

    fn add_crash(&mut self, digest: Digest, kind: Kind, crash: Crash, now: Millis) {
        let entry = self.entry(digest, kind, now);
        if entry.suspect.add_crash(crash) {
            entry.is_own = true;
            entry.unsent = Unsent { store: true, peers: true };
        }
    }

    /// Records a server's answer, which clears the request, and its parts if the answer is whole.
    pub fn record_answer(&mut self, request: &Fingerprint, answer: Answer, now: Millis) {
        if answer == Answer::Unframed {
            return;
        }
        self.pending.retain(|pending| pending.attempt.request.request != request.request);
        self.clear(request.request, Kind::Request, now);
        self.crash_streaks.remove(&request.service);
        if answer == Answer::Whole {
            request.parts.iter().for_each(|part| self.clear(*part, Kind::Part, now));
        }
    }

    fn clear(&mut self, digest: Digest, kind: Kind, now: Millis) {
        self.answers_mut(kind).record_answer(digest, now);
        if let Some(entry) = self.entries.get_mut(&digest) {
            // Only an answer that removes crashes is shared: a frequent request is answered often.
            let is_cleared = entry.suspect.crashes.is_empty();
            if entry.suspect.record_answer(now) && !is_cleared {
                entry.is_own = true;
                entry.unsent = Unsent { store: true, peers: true };
            }
        }
    }

    fn answers_mut(&mut self, kind: Kind) -> &mut RecentAnswers {
        match kind {
            Kind::Request => &mut self.answered_requests,
            Kind::Part => &mut self.answered_parts,
        }
    }

    fn was_answered_recently(&self, part: Digest, now: Millis) -> bool {
        self.answered_parts.answered_at(part).is_some_and(|at| now.since(at) < CLEARED_MS)
    }

    /// Merges a suspect received from elsewhere, with times of this host's clock; returns whether
    /// it contained something new.
    pub fn learn(&mut self, received: &Suspect, source: Source, now: Millis) -> bool {
        // Answers matter only for requests that something speaks against.
        let matters = !received.crashes.is_empty() || self.entries.contains_key(&received.digest);
        let entry = self.entry(received.digest, received.kind, now);
        let own_answered_at = entry.suspect.answered_at;
        let cleared = received.answered_at.is_some_and(|at| entry.suspect.record_answer(at));
        let added = received
            .crashes
            .iter()
            .filter(|crash| entry.suspect.add_crash((*crash).clone()))
            .count();
        let is_news = matters && (cleared || added > 0);
        entry.is_shared |= is_news;
        entry.unsent.peers |= is_news && source == Source::Store;
        // Hosts that suspect the request don't know that it was answered here.
        let is_answer_news = own_answered_at
            .filter(|at| !received.crashes.is_empty() && now.since(*at) < CLEARED_MS)
            .is_some_and(|at| received.answered_at.is_none_or(|known| at > known + SAME_ANSWER_MS));
        if is_answer_news {
            entry.is_own = true;
            entry.is_shared = true;
            entry.unsent.peers = true;
            entry.unsent.store |= source == Source::Store;
        }
        is_news
    }

    /// Judges a request by all that the host knows of it and of other suspects.
    #[must_use]
    pub fn judge(&self, request: &Fingerprint, now: Millis) -> Judgement {
        let all = self.entries.values().map(|entry| &entry.suspect);
        judge::judge(request, |digest| self.suspect(digest), all, now)
    }

    /// The verdict on a request or part by its own crashes alone.
    #[must_use]
    pub fn verdict(&self, digest: Digest, now: Millis) -> Verdict {
        self.entries.get(&digest).map_or(Verdict::Run, |entry| entry.suspect.verdict(now))
    }

    /// What the host knows of a request or part; none if nothing.
    #[must_use]
    pub fn suspect(&self, digest: Digest) -> Option<&Suspect> {
        self.entries.get(&digest).map(|entry| &entry.suspect)
    }

    /// Whether something is to be sent to peers or the store, now or soon.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.unsent.store || entry.unsent.peers)
    }

    /// Takes the suspects to send to the peers of the failure domain now, the most urgent first.
    pub fn take_for_peers(&mut self, now: Millis) -> Vec<Suspect> {
        self.prune(now);
        let due = self
            .entries
            .values_mut()
            .filter(|entry| entry.unsent.peers && should_share(entry, now));
        let mut due: Vec<&mut Entry> = due.collect();
        due.sort_by_key(|entry| std::cmp::Reverse(entry.urgency(now)));
        let due = due.into_iter().take(SHARED_SUSPECTS_MAX).map(|entry| {
            entry.unsent.peers = false;
            entry.is_shared = true;
            entry.suspect.clone()
        });
        due.collect()
    }

    /// Takes the new content of this host's row in the store; none if the row stays as it is. If
    /// there are too many suspects for a row, the most urgent ones are kept.
    pub fn take_store_row(&mut self, now: Millis) -> Option<Vec<Suspect>> {
        self.prune(now);
        let mut due = self.entries.values().filter(|entry| entry.unsent.store);
        if !due.any(|entry| should_share(entry, now)) {
            return None;
        }
        let own =
            self.entries.values_mut().filter(|entry| entry.is_own && should_share(entry, now));
        let mut own: Vec<&mut Entry> = own.collect();
        own.sort_by_key(|entry| std::cmp::Reverse(entry.urgency(now)));
        let own = own.into_iter().map(|entry| {
            entry.unsent.store = false;
            entry.is_shared = true;
            entry.suspect.clone()
        });
        let mut own: Vec<Suspect> = own.collect();
        own.truncate(SHARED_SUSPECTS_MAX);
        Some(own)
    }

    /// Marks the suspects of a row that the store did not accept, so that it is written again.
    pub fn mark_unsent(&mut self, row: &[Suspect]) {
        for suspect in row {
            if let Some(entry) = self.entries.get_mut(&suspect.digest) {
                entry.unsent.store = true;
            }
        }
    }

    /// Marks the suspects of this host's row, which the store may have lost, so that it is written
    /// again.
    pub fn mark_own_unsent(&mut self) {
        for entry in self.entries.values_mut().filter(|entry| entry.is_own && entry.is_shared) {
            entry.unsent.store = true;
        }
    }

    /// The suspects that are on trial or held, for hosts that may not know them, such as one that
    /// has just started; those with the most crashed servers first.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let all = self.entries.values().map(|entry| &entry.suspect);
        let mut suspects: Vec<&Suspect> =
            all.filter(|suspect| suspect.verdict(now) != Verdict::Run).collect();
        suspects.sort_by_key(|s| std::cmp::Reverse((s.server_count(now), s.last_crash_at())));
        suspects.into_iter().take(SHARED_SUSPECTS_MAX).cloned().collect()
    }

    /// Removes expired suspects, and drops the pending updates that no other host needs.
    fn prune(&mut self, now: Millis) {
        self.entries.retain(|_, entry| !entry.suspect.is_expired(now));
        for entry in self.entries.values_mut() {
            let is_cleared = entry.suspect.crashes.is_empty() && !entry.is_shared;
            let is_unanswered =
                entry.suspect.last_crash_at().is_some_and(|last| now.since(last) > UNANSWERED_MS);
            let is_minor = is_unanswered && !entry.suspect.is_worth_sharing(now, UNANSWERED_MS);
            if is_cleared || is_minor && !entry.is_shared {
                entry.unsent = Unsent::default();
            }
        }
    }

    fn entry(&mut self, digest: Digest, kind: Kind, now: Millis) -> &mut Entry {
        if self.entries.len() >= SUSPECTS_MAX && !self.entries.contains_key(&digest) {
            self.evict_least_suspect(now);
        }
        let answered_at = self.answers_mut(kind).answered_at(digest);
        self.entries.entry(digest).or_insert_with(|| Entry {
            suspect: Suspect { kind, answered_at, ..Suspect::new(digest) },
            unsent: Unsent::default(),
            is_own: false,
            is_shared: false,
        })
    }

    /// Evicts the suspect with the least evidence against it, so that many victims don't push out
    /// the one that crashes servers.
    fn evict_least_suspect(&mut self, now: Millis) {
        let rank = |entry: &Entry| (entry.suspect.server_count(now), entry.suspect.last_crash_at());
        let least = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.entries.remove(&digest);
        }
    }
}

/// Whether other hosts should learn of the suspect, or of its being cleared, now.
fn should_share(entry: &Entry, now: Millis) -> bool {
    let was_cleared = entry.is_shared && entry.suspect.answered_at.is_some();
    was_cleared || entry.suspect.is_worth_sharing(now, UNANSWERED_MS)
}
