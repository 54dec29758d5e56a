//! What a readable document must keep to besides.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;

use crate::configuration::{
    Account, Document, Rollout, Service, ServiceLevel, SessionKey, Task, Version, VersionState,
};
use crate::fault::Fault;
use crate::settings::{is_sha256, is_valid_name};

/// Shortest key that signs session tokens, in bytes.
pub const SESSION_KEY_BYTES_MIN: usize = 32;
/// Longest time any member may name, in milliseconds: a week.
const MS_MAX: u64 = 7 * 24 * 3_600_000;

/// Faults under one path.
struct Place<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl Place<'_> {
    fn refuse_if(&mut self, faulty: bool, member: &str, message: &str) {
        if faulty {
            self.faults.push(Fault::at(crate::fault::join_path(&self.path, member), message));
        }
    }

    fn name(&mut self, text: &str) {
        let faulty = !is_valid_name(text);
        self.refuse_if(faulty, "", "the name must be 1 to 64 letters, digits, '-', '_' or '.'");
    }

    fn share(&mut self, member: &str, share: f64) {
        self.refuse_if(!(0.0..=1.0).contains(&share), member, "must be from 0 to 1");
    }

    fn cost(&mut self, member: &str, cost: f64) {
        self.refuse_if(!cost.is_finite() || cost < 0.0, member, "must be 0 or more");
    }

    fn time(&mut self, member: &str, ms: u64) {
        self.refuse_if(!(1..=MS_MAX).contains(&ms), member, "must be from 1 ms to a week");
    }

    fn one_of<T>(&mut self, member: &str, name: &Name, all: &BTreeMap<Name, T>, kind: &str) {
        let message = format!("there is no {kind} \"{name}\"");
        self.refuse_if(!all.contains_key(name), member, &message);
    }

    fn distinct(&mut self, member: &str, names: &[Name]) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let twice = !seen.insert(name);
            self.refuse_if(twice, &format!("{member}[{index}]"), "named twice");
        }
    }
}

/// Adds all faults of a document.
pub fn check(document: &Document, faults: &mut Vec<Fault>) {
    let mut at = |kind: &str, name: &str| {
        let mut place = Place { path: format!("{kind}.{name}"), faults: &mut *faults };
        place.name(name);
    };
    document.versions.keys().for_each(|name| at("versions", name));
    document.pools.keys().for_each(|name| at("pools", name));
    document.services.keys().for_each(|name| at("services", name));
    document.accounts.keys().for_each(|name| at("accounts", name));
    document.rollouts.keys().for_each(|name| at("rollouts", name));
    document.service_levels.keys().for_each(|name| at("service_levels", name));
    for (name, version) in &document.versions {
        let path = format!("versions.{name}");
        check_version(version, document, &mut Place { path, faults });
    }
    for (name, pool) in &document.pools {
        let mut place = Place { path: format!("pools.{name}"), faults };
        place.refuse_if(pool.slots == 0, "slots", "must not be 0");
    }
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        check_service(service, document, &mut Place { path, faults });
    }
    for (name, account) in &document.accounts {
        let path = format!("accounts.{name}");
        check_account(account, document, &mut Place { path, faults });
    }
    for (name, rollout) in &document.rollouts {
        let path = format!("rollouts.{name}");
        check_rollout(name, rollout, document, &mut Place { path, faults });
    }
    for (name, level) in &document.service_levels {
        let path = format!("service_levels.{name}");
        check_level(level, document, &mut Place { path, faults });
    }
    check_session_keys(&document.session_keys, faults);
    check_key_hashes(&document.accounts, faults);
}

fn check_version(version: &Version, document: &Document, place: &mut Place<'_>) {
    place.refuse_if(!is_valid_name(&version.model), "model", "must be a name");
    let other = document.versions.get(&version.model);
    let ambiguous = other.is_some_and(|other| other.model != version.model);
    place.refuse_if(ambiguous, "model", "is also the name of a version of another model");
    place.cost("cost", version.cost);
    place.one_of("pool", &version.pool, &document.pools, "pool");
    place.time("first_byte_ms", version.first_byte_ms);
    place.time("between_bytes_ms", version.between_bytes_ms);
    let late = version.cleared > document.generation;
    place.refuse_if(late, "cleared", "must not be past the generation the change was made from");
    for (task, share) in &version.quality {
        place.share(&format!("quality.{task}"), *share);
    }
}

fn check_service(service: &Service, document: &Document, place: &mut Place<'_>) {
    place.one_of("pool", &service.pool, &document.pools, "pool");
    place.time("deadline_ms", service.deadline_ms);
    place.cost("cost", service.cost);
    for (index, method) in service.repeatable.iter().enumerate() {
        let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        place.refuse_if(!is_method, &format!("repeatable[{index}]"), "must be an HTTP method");
    }
}

fn check_account(account: &Account, document: &Document, place: &mut Place<'_>) {
    place.refuse_if(account.key_hashes.is_empty(), "key_hashes", "at least one is needed");
    for (index, hash) in account.key_hashes.iter().enumerate() {
        let member = format!("key_hashes[{index}]");
        place.refuse_if(!is_sha256(hash), &member, "must be 64 hexadecimal digits");
    }
    for (index, version) in account.versions.iter().enumerate() {
        place.one_of(&format!("versions[{index}]"), version, &document.versions, "version");
    }
    for (index, service) in account.services.iter().enumerate() {
        place.one_of(&format!("services[{index}]"), service, &document.services, "service");
    }
    place.distinct("versions", &account.versions);
    place.distinct("services", &account.services);
    for (name, task) in &account.tasks {
        place.refuse_if(!is_valid_name(name), &format!("tasks.{name}"), "must be a name");
        check_task(name, task, place);
    }
    let rate = account.limit.requests_per_second;
    place.cost("limit.requests_per_second", rate);
    check_use(account, document, place);
}

/// An account for plain services alone needs neither versions nor tasks; any other needs both.
fn check_use(account: &Account, document: &Document, place: &mut Place<'_>) {
    let services_alone = account.versions.is_empty() && !account.services.is_empty();
    let is_live = |name: &Name| {
        document.versions.get(name).is_some_and(|version| version.state == VersionState::Live)
    };
    let live = account.versions.iter().any(is_live);
    place.refuse_if(!services_alone && !live, "versions", "must have a live one");
    let known = account.tasks.contains_key(&account.default_task);
    let none = services_alone && account.tasks.is_empty();
    let message = format!("there is no task \"{}\"", account.default_task);
    place.refuse_if(!known && !none, "default_task", &message);
}

fn check_task(name: &str, task: &Task, place: &mut Place<'_>) {
    place.share(&format!("tasks.{name}.quality_target"), task.quality_target);
    place.time(&format!("tasks.{name}.deadline_ms"), task.deadline_ms);
}

fn check_rollout(name: &Name, rollout: &Rollout, document: &Document, place: &mut Place<'_>) {
    place.one_of("version", &rollout.version, &document.versions, "version");
    let version = document.versions.get(&rollout.version);
    let candidate = version.is_none_or(|version| version.state == VersionState::Candidate);
    place.refuse_if(!candidate, "version", "must be a candidate");
    let other = document.rollouts.iter().find(|(_, other)| other.version == rollout.version);
    let twice = other.is_some_and(|(first, _)| first != name);
    place.refuse_if(twice, "version", "has a roll-out already");
    place.refuse_if(rollout.steps.is_empty(), "steps", "at least one is needed");
    for (index, share) in rollout.steps.iter().enumerate() {
        place.share(&format!("steps[{index}]"), *share);
    }
    for (index, pair) in rollout.steps.windows(2).enumerate() {
        let member = format!("steps[{}]", index + 1);
        place.refuse_if(pair[1] <= pair[0], &member, "must be higher than the one before");
    }
    place.time("step_ms", rollout.step_ms);
    place.refuse_if(rollout.min_rated == 0, "min_rated", "must not be 0");
    place.share("guard", rollout.guard);
}

fn check_level(level: &ServiceLevel, document: &Document, place: &mut Place<'_>) {
    place.one_of("account", &level.account, &document.accounts, "account");
    if let (Some(task), Some(account)) = (&level.task, document.accounts.get(&level.account)) {
        place.one_of("task", task, &account.tasks, "task");
    }
    // At 1 there is no budget of errors, and nothing to divide by.
    let open = level.objective > 0.0 && level.objective < 1.0;
    place.refuse_if(!open, "objective", "must be above 0 and below 1");
    place.time("within_ms", level.within_ms);
}

fn check_session_keys(keys: &BTreeMap<u32, SessionKey>, faults: &mut Vec<Fault>) {
    let mut place = Place { path: "session_keys".to_owned(), faults };
    place.refuse_if(keys.is_empty(), "", "at least one is needed");
    for (id, key) in keys {
        let member = format!("{id}.secret");
        let hexadecimal = key.secret.bytes().all(|b| b.is_ascii_hexdigit());
        let long = key.secret.len() >= 2 * SESSION_KEY_BYTES_MIN && key.secret.len() % 2 == 0;
        let message = "must be at least 32 bytes in hexadecimal, two digits each";
        place.refuse_if(!hexadecimal || !long, &member, message);
    }
}

/// A key of two accounts would make it a matter of chance who pays.
fn check_key_hashes(accounts: &BTreeMap<Name, Account>, faults: &mut Vec<Fault>) {
    let mut owners: BTreeMap<String, &Name> = BTreeMap::new();
    for (name, account) in accounts {
        let mut place = Place { path: format!("accounts.{name}"), faults: &mut *faults };
        for (index, hash) in account.key_hashes.iter().enumerate() {
            let owner = owners.insert(hash.to_ascii_lowercase(), name);
            let twice = owner.is_some();
            place.refuse_if(twice, &format!("key_hashes[{index}]"), "is in use already");
        }
    }
}
