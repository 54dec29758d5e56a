//! The two deployments of `examples/`, with what the stand-ins need to play their surroundings.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;
use serde_json::json;
use wire::configuration::{Document, check};
use wire::fault::Fault;
use wire::host::{Host, Role};
use wire::store::Row;

use crate::backend::Capacity;
use crate::{engine, platform, service};

/// The platform's table of configurations.
const TABLE: &str = "configuration";
/// Time to the first piece of an answer that every version needs, in milliseconds.
const SERVICE_MS: u64 = 5;
/// What each unit of a version's cost adds to it: dearer versions are larger and slower.
const SERVICE_MS_PER_COST: f64 = 1.5;
/// Pieces of a streamed answer.
const TOKENS: u32 = 12;
/// Time one call of a plain service takes, in milliseconds.
const DESK_MS: u64 = 3;

const NL_CENTRAAL: [&str; 2] = [
    include_str!("../../../examples/nl-centraal/configuration.json"),
    include_str!("../../../examples/nl-centraal/hosts.json"),
];
const MIDLANDS: [&str; 2] = [
    include_str!("../../../examples/midlands/configuration.json"),
    include_str!("../../../examples/midlands/hosts.json"),
];

/// A deployment: its configuration and its hosts.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// `nl-centraal` or `midlands`.
    pub name: Name,
    /// Its first configuration.
    pub document: Document,
    /// Its hosts, at the addresses of the examples' settings.
    pub hosts: Vec<Host>,
}

/// Why the examples can't be used.
#[derive(Debug)]
pub enum Error {
    /// No deployment of that name.
    Unknown(String),
    /// The configuration document has faults.
    Document(Vec<Fault>),
    /// The host list is no host list.
    Hosts(serde_json::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(name) => {
                write!(f, "no deployment {name:?}: there are {}", Deployment::NAMES.join(", "))
            }
            Self::Document(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(f, "configuration: {}", faults.join("; "))
            }
            Self::Hosts(error) => write!(f, "hosts: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Vec<Fault>> for Error {
    fn from(faults: Vec<Fault>) -> Self {
        Self::Document(faults)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Hosts(error)
    }
}

impl Deployment {
    /// The deployments there are.
    pub const NAMES: [&'static str; 2] = ["nl-centraal", "midlands"];

    /// A deployment by its name.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn named(name: &str) -> Result<Self, Error> {
        let [document, hosts] = match name {
            "nl-centraal" => NL_CENTRAAL,
            "midlands" => MIDLANDS,
            _ => return Err(Error::Unknown(name.to_owned())),
        };
        let document = check::parse(document)?;
        let hosts = serde_json::from_str(hosts)?;
        Ok(Self { name: name.into(), document, hosts })
    }

    /// The key that an account's callers send; the document holds its hash.
    #[must_use]
    pub fn account_key(&self, account: &str) -> String {
        format!("demo-{}-{account}-key", self.name)
    }

    /// The operators' token; controls' settings hold its hash.
    #[must_use]
    pub fn operator_token(&self) -> String {
        format!("demo-{}-operator-token", self.name)
    }

    /// Hosts of a role, in the order of the list.
    pub fn hosts_with_role(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |host| host.role == role)
    }

    /// All failure domains.
    #[must_use]
    pub fn failure_domains(&self) -> BTreeSet<Name> {
        self.hosts.iter().map(|host| host.failure_domain.clone()).collect()
    }

    /// Settings of a platform with the document in force and the hosts listed.
    #[must_use]
    pub fn platform(&self) -> platform::Settings {
        platform::Settings {
            hosts: self.hosts.clone(),
            rows: configuration_rows(&self.document),
            ..platform::Settings::default()
        }
    }

    /// Settings of the engine that a host runs. Its answers are as good as the document expects.
    #[must_use]
    pub fn engine(&self, host: &Host, seed: u64) -> engine::Settings {
        engine::Settings {
            name: host.name.clone(),
            seed,
            capacity: self.capacity(host),
            versions: self.engine_versions(host),
            draw_by_prompt: true,
            ..engine::Settings::default()
        }
    }

    fn engine_versions(&self, host: &Host) -> BTreeMap<Name, engine::Version> {
        let served = host.versions.iter();
        let known = served.filter_map(|name| Some((name, self.document.versions.get(name)?)));
        known.map(|(name, version)| (name.clone(), engine_version(version))).collect()
    }

    /// Settings of the plain service that a host runs.
    #[must_use]
    pub fn service(&self, host: &Host, seed: u64) -> service::Settings {
        service::Settings {
            name: host.pool.clone(),
            seed,
            capacity: self.capacity(host),
            service_ms: DESK_MS,
            ..service::Settings::default()
        }
    }

    fn capacity(&self, host: &Host) -> Capacity {
        match self.document.pools.get(&host.pool) {
            Some(pool) => Capacity { slots: pool.slots, queue: pool.queue },
            None => Capacity::default(),
        }
    }
}

/// The platform's rows, as if an operator had put a document in force.
#[must_use]
pub fn configuration_rows(document: &Document) -> Vec<Row> {
    let change = "first";
    let generation = document.generation;
    let text = serde_json::to_string(document).unwrap_or_default();
    let current = json!({"generation": generation, "change": change});
    let kept = json!({"change": change, "text": text});
    let row = |key: String, value: serde_json::Value| Row {
        table: TABLE.into(),
        key: key.into(),
        version: 1.into(),
        value: value.to_string(),
    };
    vec![row(format!("document/{generation}"), kept), row("current".to_owned(), current)]
}

fn engine_version(version: &wire::configuration::Version) -> engine::Version {
    engine::Version {
        service_ms: SERVICE_MS + (version.cost * SERVICE_MS_PER_COST) as u64,
        tokens: TOKENS,
        between_tokens_ms: 1,
        quality: version.quality.clone(),
    }
}
