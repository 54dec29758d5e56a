//! Immutable state that requests read: the configuration, the host list and what controls decided,
//! indexed by the keys that requests use. An update replaces the snapshot as a whole.

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

/// SHA-256 of a caller's API key.
pub type KeyHash = [u8; 32];

/// State from one view of a control, on which all decisions about a request are based.
#[derive(Default)]
pub struct Snapshot {
    /// Incarnation of the control that sent the view; the log of that incarnation takes the bills
    /// that are made under this snapshot.
    pub control: Name,
    /// Configuration document in force; its generation is 0 before the first one.
    pub document: Arc<Document>,
    /// Account names by the hash of an API key.
    pub keys: HashMap<KeyHash, Name>,
    /// Session keys from the document, by which the host signs and checks session tokens.
    pub keyring: Keyring,
    /// Versions under quarantine.
    pub quarantined: HashSet<Name>,
    /// Share of new sessions, 0 to 1, that each candidate version may get.
    pub shares: HashMap<Name, f64>,
    /// Numbers of good and of rated answers, by version and task.
    pub estimates: HashMap<(Name, Name), (f64, f64)>,
    /// Backend servers that are not leaving, by pool.
    pub pools: HashMap<Name, Vec<Arc<Server>>>,
    /// Backend servers that are not leaving, by version.
    pub versions: HashMap<Name, Vec<Arc<Server>>>,
    /// Selection plans by account, task and model.
    pub plans: select::Index,
    /// Rating services that are not leaving.
    pub raters: Vec<Arc<Server>>,
    /// Newest host list that any control has sent.
    pub hosts: Arc<List>,
    /// All servers of `pools` and `raters`, by name.
    pub servers: HashMap<Name, Arc<Server>>,
    /// Number of live entry hosts, this one included; at least 1.
    pub entries: u32,
    /// Whether new requests must be rejected because the controls hold as many bills as they may.
    pub bills_full: bool,
    /// When the view arrived; none before the first one. `unconfirmed_ms` grows from then on while
    /// controls are unreachable.
    pub received: Option<Instant>,
    /// Milliseconds without a confirmed generation at the time the view arrived.
    pub unconfirmed_ms: u64,
}

impl Snapshot {
    /// Builds the snapshot that follows `previous` under a new view.
    ///
    /// `document` is none if the view has the generation that `previous` has already. Servers with
    /// an unchanged name and address are carried over with their connections and health.
    #[must_use]
    pub fn next(previous: &Self, view: &View, document: Option<Document>) -> Self {
        let mut next = match document {
            Some(document) => Self::from_document(document),
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
        // Another control may have an older host list, or none yet. Using it would bring back a
        // backend server that has left, or remove all servers.
        next.hosts = match view.hosts.revision < previous.hosts.revision {
            true => Arc::clone(&previous.hosts),
            false => Arc::new(view.hosts.clone()),
        };
        for host in &Arc::clone(&next.hosts).hosts {
            next.add_host(previous, host);
        }
        next.plans = select::build_index(&next, clock::now());
        next
    }

    fn from_document(document: Document) -> Self {
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
        let is_live = host.state == HostState::Live;
        let is_used = matches!(host.role, Role::Backend | Role::Rater) && is_live;
        let Some(address) = host.address.parse().ok().filter(|_| is_used) else { return };
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

    /// Whether a document is in force, without which no request can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.document.generation > 0
    }

    /// Name and settings of the account that an API key belongs to.
    #[must_use]
    pub fn account(&self, hash: &KeyHash) -> Option<(&Name, &Account)> {
        self.document.accounts.get_key_value(self.keys.get(hash)?)
    }

    /// Settings of a version; none if the document does not name it.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&Version> {
        self.document.versions.get(name)
    }

    /// Settings of a pool; none if the document does not name it.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.document.pools.get(name)
    }

    /// Whether a version may get new sessions and requests without a session.
    ///
    /// A partitioned host can't know that a candidate was stopped elsewhere. After the version's
    /// `stale_limit_ms` without a confirmed generation it opens no more sessions on a candidate.
    #[must_use]
    pub fn accepts_new_sessions(&self, name: &str) -> bool {
        self.version(name).is_some_and(|version| match version.state {
            _ if self.quarantined.contains(name) => false,
            VersionState::Live => true,
            VersionState::Candidate => self.unconfirmed_ms() <= version.stale_limit_ms,
            VersionState::Draining | VersionState::Withdrawn => false,
        })
    }

    /// Milliseconds without a confirmed generation up to now.
    #[must_use]
    pub fn unconfirmed_ms(&self) -> u64 {
        let age = self.received.map(|at| at.elapsed()).unwrap_or_default();
        self.unconfirmed_ms.saturating_add(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    KeyHash::try_from(parse_hex(text)).ok()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let pair = |at: usize| text.get(at..at + 2).and_then(|p| u8::from_str_radix(p, 16).ok());
    (0..text.len()).step_by(2).map_while(pair).collect()
}
