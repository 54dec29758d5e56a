//! What one host knows of what was lost with servers: requests, and parts of prompts.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::judge::{self, Judgement};
use super::{
    CLEARED_MS, Crash, Digest, Fingerprint, Kind, RecentAnswers, SAME_MS, SUSPECT, Suspect, Verdict,
};
use crate::name::Name;
use crate::time::Millis;

/// Requests and parts remembered at most.
const SUSPECTS_MAX: usize = 512;
/// Lost runs remembered at most, until it is known whether their servers have ended.
const LOST_MAX: usize = 1_024;
/// How long that may take, in milliseconds. A server that falls silent is known to have ended when
/// the list of servers says so.
const LOST_MS: u64 = 5_000;
/// A run that was given up is its server's doing if that ends within this time, in milliseconds.
const GIVEN_UP_MS: u64 = 500;
/// A run that is lost this long after its server's end is lost by it, in milliseconds.
const ENDED_MS: u64 = 1_000;
/// Ends of servers remembered at most.
const ENDED_MAX: usize = 256;
/// A request lost with one server is reported only if it is not answered elsewhere within this time,
/// in milliseconds: nearly all are.
const UNANSWERED_MS: u64 = 1_000;
/// Requests reported at once at most.
const SHARED_MAX: usize = 24;
/// Servers that end in a row, with not one answer of their service between, after which more ends say
/// nothing of parts: the service is down, and parts that all requests have would be held once it is back.
const DOWN_AFTER: u32 = 8;

/// A run of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: Fingerprint,
    /// The server.
    pub server: Name,
    /// See [`Crash::born`].
    pub born: u64,
    /// See [`Crash::is_early`].
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
    /// With success, whole.
    Whole,
    /// With a failure. That says nothing of its prompt: perhaps it was never looked at.
    Failure,
    /// With what looks whole, but would look the same if the server had ended on the way.
    Unframed,
}

/// Who has to be notified of what is known of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Unsent {
    store: bool,
    peers: bool,
}

#[derive(Debug)]
struct Lost {
    run: Attempt,
    at: Millis,
    /// It is its server's doing if the server ends by then.
    until: Millis,
}

#[derive(Debug)]
struct Known {
    suspect: Suspect,
    unsent: Unsent,
    /// This host lost it with a server, or answered it.
    is_own: bool,
    /// Others have been notified of it, so they are notified when it is cleared.
    is_shared: bool,
}

impl Known {
    /// What the others need most comes first: what is held or may soon be, then what was cleared, then
    /// the rest.
    fn urgency(&self, now: Millis) -> (u32, bool, Option<Millis>) {
        let servers = self.suspect.server_count(now);
        let is_cleared = self.is_shared && self.suspect.crashes.is_empty();
        let heard = self.suspect.last_crash_at().max(self.suspect.answered_at);
        (if servers < SUSPECT { 0 } else { servers }, is_cleared, heard)
    }
}

/// Where something was learnt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From another host of the failure domain, which tells all of them.
    Peer,
    /// From the store; the other hosts of the failure domain don't know it yet.
    Store,
}

/// What one host knows.
#[derive(Debug, Default)]
pub struct Registry {
    known: BTreeMap<Digest, Known>,
    lost: VecDeque<Lost>,
    ended: VecDeque<(Name, Millis)>,
    recent: RecentAnswers,
    recent_parts: RecentAnswers,
    /// By service, since a server of it last answered.
    ends_in_a_row: HashMap<Name, Ends>,
}

/// Servers that ended one after the other, with runs of this host.
#[derive(Clone, Debug, Default)]
struct Ends {
    last: Name,
    count: u32,
}

impl Ends {
    fn note(&mut self, server: &Name) {
        if self.last != *server || self.count == 0 {
            self.last = server.clone();
            self.count = self.count.saturating_add(1);
        }
    }
}

impl Registry {
    /// Whether nothing speaks against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A run was lost.
    pub fn record_loss(&mut self, run: Attempt, now: Millis) {
        self.ended.retain(|(_, at)| now.since(*at) < ENDED_MS);
        match self.ended.iter().any(|(server, _)| *server == run.server) {
            true => self.crashed(&run, now, now),
            false => self.await_end(Lost { run, at: now, until: now + LOST_MS }, now),
        }
    }

    /// A run was given up while its server worked on it. The server may end of it all the same.
    pub fn record_abandoned(&mut self, run: Attempt, now: Millis) {
        self.await_end(Lost { run, at: now, until: now + GIVEN_UP_MS }, now);
    }

    fn await_end(&mut self, lost: Lost, now: Millis) {
        self.lost.retain(|lost| now < lost.until);
        if self.lost.len() >= LOST_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back(lost);
    }

    /// A server has ended; the requests that were lost with it.
    pub fn record_server_end(&mut self, server: &Name, now: Millis) -> Vec<Fingerprint> {
        self.ended.retain(|(ended, _)| ended != server);
        if self.ended.len() >= ENDED_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back((server.clone(), now));
        let lost = std::mem::take(&mut self.lost);
        let is_here = |lost: &Lost| lost.run.server == *server;
        let (here, elsewhere): (VecDeque<Lost>, _) = lost.into_iter().partition(is_here);
        self.lost = elsewhere;
        let mut requests = Vec::new();
        for Lost { run, at, .. } in here.into_iter().filter(|lost| now < lost.until) {
            self.crashed(&run, at, now);
            requests.push(run.request);
        }
        requests
    }

    fn crashed(&mut self, run: &Attempt, at: Millis, now: Millis) {
        self.note_crash(run.request.request, Kind::Request, run.crash(at), now);
        let ends = self.ends_in_a_row.entry(run.request.service.clone()).or_default();
        ends.note(&run.server);
        let is_down = ends.count > DOWN_AFTER;
        for part in run.request.parts.iter() {
            match run.is_early {
                // A server that ends of a part does so when it begins to answer.
                false => self.clear(*part, Kind::Part, at),
                true if is_down || self.was_answered_lately(*part, at) => {}
                true => self.note_crash(*part, Kind::Part, run.crash(at), now),
            }
        }
    }

    fn note_crash(&mut self, digest: Digest, kind: Kind, crash: Crash, now: Millis) {
        let known = self.entry(digest, kind, now);
        if known.suspect.add(crash) {
            known.is_own = true;
            known.unsent = Unsent { store: true, peers: true };
        }
    }

    /// A server has answered it.
    pub fn record_answer(&mut self, request: &Fingerprint, answer: Answer, now: Millis) {
        if answer == Answer::Unframed {
            return;
        }
        self.lost.retain(|lost| lost.run.request.request != request.request);
        self.clear(request.request, Kind::Request, now);
        self.ends_in_a_row.remove(&request.service);
        if answer == Answer::Whole {
            request.parts.iter().for_each(|part| self.clear(*part, Kind::Part, now));
        }
    }

    fn clear(&mut self, digest: Digest, kind: Kind, now: Millis) {
        self.recent_mut(kind).record_answer(digest, now);
        if let Some(known) = self.known.get_mut(&digest) {
            // Once in a while is enough: a request that comes often is answered often.
            let is_cleared = known.suspect.crashes.is_empty();
            if known.suspect.clear(now) && !is_cleared {
                known.is_own = true;
                known.unsent = Unsent { store: true, peers: true };
            }
        }
    }

    fn recent_mut(&mut self, kind: Kind) -> &mut RecentAnswers {
        match kind {
            Kind::Request => &mut self.recent,
            Kind::Part => &mut self.recent_parts,
        }
    }

    fn was_answered_lately(&self, part: Digest, now: Millis) -> bool {
        self.recent_parts.answered_at(part).is_some_and(|at| now.since(at) < CLEARED_MS)
    }

    /// Something was learnt of a request or part, with times of this host's clock; whether it is news.
    pub fn learn(&mut self, heard: &Suspect, source: Source, now: Millis) -> bool {
        // An answer matters to nobody until something speaks against the request.
        let matters = !heard.crashes.is_empty() || self.known.contains_key(&heard.digest);
        let known = self.entry(heard.digest, heard.kind, now);
        let answered_here = known.suspect.answered_at;
        let cleared = heard.answered_at.is_some_and(|at| known.suspect.clear(at));
        let added =
            heard.crashes.iter().filter(|crash| known.suspect.add((*crash).clone())).count();
        let is_news = matters && (cleared || added > 0);
        known.is_shared |= is_news;
        known.unsent.peers |= is_news && source == Source::Store;
        // Who suspects it does not know that it was answered here.
        let is_answer_news = answered_here
            .filter(|at| !heard.crashes.is_empty() && now.since(*at) < CLEARED_MS)
            .is_some_and(|at| heard.answered_at.is_none_or(|known| at > known + SAME_MS));
        if is_answer_news {
            known.is_own = true;
            known.is_shared = true;
            known.unsent.peers = true;
            known.unsent.store |= source == Source::Store;
        }
        is_news
    }

    /// What is to be done with a request, and why.
    #[must_use]
    pub fn judge(&self, request: &Fingerprint, now: Millis) -> Judgement {
        let all = self.known.values().map(|known| &known.suspect);
        judge::judge(request, |digest| self.suspect(digest), all, now)
    }

    /// What is to be done with a request, by what is known of it alone.
    #[must_use]
    pub fn verdict(&self, digest: Digest, now: Millis) -> Verdict {
        self.known.get(&digest).map_or(Verdict::Run, |known| known.suspect.verdict(now))
    }

    /// What is known of a request.
    #[must_use]
    pub fn suspect(&self, digest: Digest) -> Option<&Suspect> {
        self.known.get(&digest).map(|known| &known.suspect)
    }

    /// Whether somebody may have to be notified of something, now or soon.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.known.values().any(|known| known.unsent.store || known.unsent.peers)
    }

    /// What the other hosts of the failure domain are to be notified of now.
    pub fn take_for_peers(&mut self, now: Millis) -> Vec<Suspect> {
        self.settle(now);
        let due = self.known.values_mut().filter(|known| known.unsent.peers && is_due(known, now));
        let mut due: Vec<&mut Known> = due.collect();
        due.sort_by_key(|known| std::cmp::Reverse(known.urgency(now)));
        let due = due.into_iter().take(SHARED_MAX).map(|known| {
            known.unsent.peers = false;
            known.is_shared = true;
            known.suspect.clone()
        });
        due.collect()
    }

    /// What this host's row in the store is to say now; none if it stays as it is. The newest come
    /// first where there are too many.
    pub fn take_store_row(&mut self, now: Millis) -> Option<Vec<Suspect>> {
        self.settle(now);
        let mut due = self.known.values().filter(|known| known.unsent.store);
        if !due.any(|known| is_due(known, now)) {
            return None;
        }
        let own = self.known.values_mut().filter(|known| known.is_own && is_due(known, now));
        let mut own: Vec<&mut Known> = own.collect();
        own.sort_by_key(|known| std::cmp::Reverse(known.urgency(now)));
        let own = own.into_iter().map(|known| {
            known.unsent.store = false;
            known.is_shared = true;
            known.suspect.clone()
        });
        let mut own: Vec<Suspect> = own.collect();
        own.truncate(SHARED_MAX);
        Some(own)
    }

    /// The store did not take this host's row.
    pub fn mark_unsent(&mut self, row: &[Suspect]) {
        for suspect in row {
            if let Some(known) = self.known.get_mut(&suspect.digest) {
                known.unsent.store = true;
            }
        }
    }

    /// The store may have lost this host's row.
    pub fn mark_own_unsent(&mut self) {
        for known in self.known.values_mut().filter(|known| known.is_own && known.is_shared) {
            known.unsent.store = true;
        }
    }

    /// What is held or sent by one host at a time, for a host that has just come; what most servers ended
    /// under comes first.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let all = self.known.values().map(|known| &known.suspect);
        let mut suspects: Vec<&Suspect> =
            all.filter(|suspect| suspect.verdict(now) != Verdict::Run).collect();
        suspects.sort_by_key(|s| std::cmp::Reverse((s.server_count(now), s.last_crash_at())));
        suspects.into_iter().take(SHARED_MAX).cloned().collect()
    }

    /// Forgets what is over, and does not wait to tell of what nobody needs to know.
    fn settle(&mut self, now: Millis) {
        self.known.retain(|_, known| !known.suspect.is_forgotten(now));
        for known in self.known.values_mut() {
            let is_cleared = known.suspect.crashes.is_empty() && !known.is_shared;
            let waited =
                known.suspect.last_crash_at().is_some_and(|last| now.since(last) > UNANSWERED_MS);
            let is_minor = waited && !known.suspect.is_notable(now, UNANSWERED_MS);
            if is_cleared || is_minor && !known.is_shared {
                known.unsent = Unsent::default();
            }
        }
    }

    fn entry(&mut self, digest: Digest, kind: Kind, now: Millis) -> &mut Known {
        if self.known.len() >= SUSPECTS_MAX && !self.known.contains_key(&digest) {
            self.make_room(now);
        }
        let answered_at = self.recent_mut(kind).answered_at(digest);
        self.known.entry(digest).or_insert_with(|| Known {
            suspect: Suspect { kind, answered_at, ..Suspect::new(digest) },
            unsent: Unsent::default(),
            is_own: false,
            is_shared: false,
        })
    }

    /// Gives up the one that least speaks against. Many victims must not push out the one that ends
    /// servers.
    fn make_room(&mut self, now: Millis) {
        let rank = |known: &Known| (known.suspect.server_count(now), known.suspect.last_crash_at());
        let least = self.known.iter().min_by_key(|(_, known)| rank(known));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.known.remove(&digest);
        }
    }
}

/// Whether others should know of it now.
fn is_due(known: &Known, now: Millis) -> bool {
    let was_cleared = known.is_shared && known.suspect.answered_at.is_some();
    was_cleared || known.suspect.is_notable(now, UNANSWERED_MS)
}
