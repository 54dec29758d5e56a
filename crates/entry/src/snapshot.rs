//! One state of the world, indexed for the request path; replaced whole, never changed.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use coordination::token::Keyring;
use policy::name::Name;
use wire::configuration::{Account, Document, Pool, Version, VersionState};
use wire::host::{Host, HostState, List, Role};
use wire::view::View;

use crate::clock;
use crate::filter::select;
use crate::server::Server;

/// SHA-256 of a caller's key.
pub type KeyHash = [u8; 32];

/// What a request's decisions need.
#[derive(Default)]
pub struct Snapshot {
    /// The control incarnation that gave the view: its log takes the bills made under it.
    pub control: Name,
    /// The document in force; its generation is 0 before there is one.
    pub document: Arc<Document>,
    /// Account names by key hash.
    pub keys: HashMap<KeyHash, Name>,
    /// Accepted session keys.
    pub keyring: Keyring,
    /// Versions under quarantine.
    pub quarantined: HashSet<Name>,
    /// Shares of new sessions, by candidate.
    pub shares: HashMap<Name, f64>,
    /// Good and rated answers, by version and task.
    pub estimates: HashMap<(Name, Name), (f64, f64)>,
    /// Backend servers that stay, by pool.
    pub pools: HashMap<Name, Vec<Arc<Server>>>,
    /// Backend servers that stay, by version.
    pub versions: HashMap<Name, Vec<Arc<Server>>>,
    /// Plans, by account, task and model.
    pub tables: select::Index,
    /// Rating services.
    pub raters: Vec<Arc<Server>>,
    /// The newest host list seen.
    pub hosts: Arc<List>,
    /// Every backend server that the list names.
    pub servers: HashMap<Name, Arc<Server>>,
    /// Entry hosts alive, this one included.
    pub entries: u32,
    /// New work must be refused.
    pub bills_full: bool,
    /// When the view came, for ageing `unconfirmed_ms` here while control is out of reach.
    pub received: Option<Instant>,
    /// Milliseconds without a confirmed generation when the view came.
    pub unconfirmed_ms: u64,
}

impl Snapshot {
    /// The next snapshot: a view on top of the one before it.
    ///
    /// `document` is none when the view's generation is the one held already. Backend servers
    /// are carried over by name and address, with their connections and health.
    #[must_use]
    pub fn next(previous: &Self, view: &View, document: Option<Document>) -> Self {
        let mut next = match document {
            Some(document) => Self::of_document(document),
            None => Self {
                document: Arc::clone(&previous.document),
                keys: previous.keys.clone(),
                keyring: previous.keyring.clone(),
                ..Self::default()
            },
        };
        next.quarantined = view.quarantined.iter().cloned().collect();
        next.shares = view.shares.iter().cloned().collect();
        next.estimates = view
            .estimates
            .iter()
            .map(|e| ((e.version.clone(), e.task.clone()), (e.good, e.rated)))
            .collect();
        next.control = view.incarnation.clone();
        next.entries = view.entries.max(1);
        next.bills_full = view.bills_full;
        next.received = Some(Instant::now());
        next.unconfirmed_ms = view.unconfirmed_ms;
        // Another control may hold an older list, or none yet. Followed, it would bring back a
        // backend server that has left, or take away all of them.
        next.hosts = match view.hosts.revision < previous.hosts.revision {
            true => Arc::clone(&previous.hosts),
            false => Arc::new(view.hosts.clone()),
        };
        for host in &Arc::clone(&next.hosts).hosts {
            next.add_host(previous, host);
        }
        next.tables = select::build_index(&next, clock::now());
        next
    }

    fn of_document(document: Document) -> Self {
        let mut keys = HashMap::new();
        for (name, account) in &document.accounts {
            let hashes = account.key_hashes.iter().filter_map(|hash| parse_hash(hash));
            keys.extend(hashes.map(|hash| (hash, name.clone())));
        }
        let mut keyring = Keyring::default();
        for (id, key) in &document.session_keys {
            keyring = keyring.with_key(*id, &parse_hex(&key.secret));
        }
        Self { document: Arc::new(document), keys, keyring, ..Self::default() }
    }

    fn add_host(&mut self, previous: &Self, host: &Host) {
        let stays = host.state == HostState::Live;
        let wanted = matches!(host.role, Role::Backend | Role::Rater) && stays;
        let Some(address) = host.address.parse().ok().filter(|_| wanted) else { return };
        let server = match previous.servers.get(&host.name) {
            Some(server) if server.address == address => Arc::clone(server),
            _ => Arc::new(Server::new(host.name.clone(), address, host.failure_domain.clone())),
        };
        self.servers.insert(host.name.clone(), Arc::clone(&server));
        if host.role == Role::Rater {
            self.raters.push(server);
            return;
        }
        for version in &host.versions {
            self.versions.entry(version.clone()).or_default().push(Arc::clone(&server));
        }
        self.pools.entry(host.pool.clone()).or_default().push(server);
    }

    /// Whether there is a document in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.document.generation > 0
    }

    /// The account that a key belongs to.
    #[must_use]
    pub fn account(&self, hash: &KeyHash) -> Option<(&Name, &Account)> {
        self.document.accounts.get_key_value(self.keys.get(hash)?)
    }

    /// A version.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&Version> {
        self.document.versions.get(name)
    }

    /// A pool.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.document.pools.get(name)
    }

    /// Whether new sessions, and requests without one, may go to a version.
    ///
    /// A cut-off host can't know that a candidate was stopped elsewhere, so past the version's
    /// `stale_limit` without a confirmed generation it opens no session on a candidate.
    #[must_use]
    pub fn opens_sessions(&self, name: &str) -> bool {
        self.version(name).is_some_and(|version| match version.state {
            _ if self.quarantined.contains(name) => false,
            VersionState::Live => true,
            VersionState::Candidate => self.unconfirmed_ms() <= version.stale_limit_ms,
            VersionState::Draining | VersionState::Withdrawn => false,
        })
    }

    /// Milliseconds without a confirmed generation, now.
    #[must_use]
    pub fn unconfirmed_ms(&self) -> u64 {
        let waited = self.received.map(|at| at.elapsed()).unwrap_or_default();
        self.unconfirmed_ms.saturating_add(u64::try_from(waited.as_millis()).unwrap_or(u64::MAX))
    }
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    KeyHash::try_from(parse_hex(text)).ok()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let pair = |at: usize| text.get(at..at + 2).and_then(|p| u8::from_str_radix(p, 16).ok());
    (0..text.len()).step_by(2).map_while(pair).collect()
}
