//! The two deployments of `examples/`, with the settings of the stand-ins that surround them.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;
use serde_json::json;
use wire::configuration::{Document, check};
use wire::fault::Fault;
use wire::host::{Host, Role};
use wire::store::Row;

use crate::backend::Capacity;
use crate::{engine, platform, service};

/// The table of the platform's store that holds configurations.
const CONFIGURATION_TABLE: &str = "configuration";
/// Time to the first piece of an answer of a version whose cost is 0, in milliseconds.
const SERVICE_BASE_MS: u64 = 5;
/// Time that each unit of a version's cost adds to [`SERVICE_BASE_MS`], in milliseconds: dearer
/// versions are larger and slower.
const SERVICE_MS_PER_COST: f64 = 1.5;
/// Tokens of every answer; a streamed answer has a piece for each.
const ANSWER_TOKENS: u32 = 12;
/// Time that one call of a plain service takes, in milliseconds.
const SERVICE_CALL_MS: u64 = 3;

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
    /// The configuration that the deployment starts with.
    pub document: Document,
    /// The hosts, at the addresses that the example's settings name.
    pub hosts: Vec<Host>,
}

/// The reason why a deployment can't be loaded.
#[derive(Debug)]
pub enum Error {
    /// No deployment has this name.
    Unknown(String),
    /// The configuration document is invalid.
    Document(Vec<Fault>),
    /// The host list can't be parsed.
    Hosts(serde_json::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(name) => {
                write!(f, "unknown deployment {name:?}; known are {}", Deployment::NAMES.join(", "))
            }
            Self::Document(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(f, "invalid configuration: {}", faults.join("; "))
            }
            Self::Hosts(error) => write!(f, "invalid host list: {error}"),
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
    /// Names of all deployments.
    pub const NAMES: [&'static str; 2] = ["nl-centraal", "midlands"];

    /// Loads the deployment of a name.
    ///
    /// # Errors
    /// When no deployment has the name, or its files are invalid.
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

    /// The key that callers of a client account send; the configuration document holds its hash.
    #[must_use]
    pub fn account_key(&self, account: &str) -> String {
        format!("demo-{}-{account}-key", self.name)
    }

    /// The operators' token; the settings of the control hosts hold its hash.
    #[must_use]
    pub fn operator_token(&self) -> String {
        format!("demo-{}-operator-token", self.name)
    }

    /// The hosts that have a role, in the order of the host list.
    pub fn hosts_with_role(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |host| host.role == role)
    }

    /// The failure domains of all hosts.
    #[must_use]
    pub fn failure_domains(&self) -> BTreeSet<Name> {
        self.hosts.iter().map(|host| host.failure_domain.clone()).collect()
    }

    /// Settings of a platform in which this configuration is in force and these hosts are listed.
    #[must_use]
    pub fn platform(&self) -> platform::Settings {
        platform::Settings {
            hosts: self.hosts.clone(),
            rows: configuration_rows(&self.document),
            ..platform::Settings::default()
        }
    }

    /// Settings of the engine that a host runs. The quality of its answers is what the
    /// configuration document expects.
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
        let configured = served.filter_map(|name| Some((name, self.document.versions.get(name)?)));
        configured.map(|(name, version)| (name.clone(), engine_version(version))).collect()
    }

    /// Settings of the plain service that a host runs.
    #[must_use]
    pub fn service(&self, host: &Host, seed: u64) -> service::Settings {
        service::Settings {
            name: host.pool.clone(),
            seed,
            capacity: self.capacity(host),
            service_ms: SERVICE_CALL_MS,
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

/// The rows of the platform's store as they are after an operator put a document in force.
#[must_use]
pub fn configuration_rows(document: &Document) -> Vec<Row> {
    let change = "first";
    let generation = document.generation;
    let text = serde_json::to_string(document).unwrap_or_default();
    let current = json!({"generation": generation, "change": change});
    let kept = json!({"change": change, "text": text});
    let row = |key: String, value: serde_json::Value| Row {
        table: CONFIGURATION_TABLE.into(),
        key: key.into(),
        version: 1.into(),
        value: value.to_string(),
    };
    vec![row(format!("document/{generation}"), kept), row("current".to_owned(), current)]
}

fn engine_version(version: &wire::configuration::Version) -> engine::Version {
    engine::Version {
        service_ms: SERVICE_BASE_MS + (version.cost * SERVICE_MS_PER_COST) as u64,
        tokens: ANSWER_TOKENS,
        between_tokens_ms: 1,
        quality: version.quality.clone(),
    }
}
