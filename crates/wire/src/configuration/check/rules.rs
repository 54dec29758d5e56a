//! Rules that a document must obey beyond having the right form.

use std::collections::{BTreeMap, BTreeSet};

use policy::name::Name;

use crate::configuration::{
    Account, Document, Rollout, Service, ServiceLevel, SessionKey, Task, Version, VersionState,
};
use crate::fault::Fault;
use crate::settings::{is_sha256_hex, is_valid_name};

/// Shortest accepted key for session tokens, in bytes.
pub const SESSION_KEY_BYTES_MIN: usize = 32;
/// Longest duration that any member may hold, in milliseconds: a week.
const DURATION_MS_MAX: u64 = 7 * 24 * 3_600_000;

/// Collects the faults of the members under one path.
struct Checker<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl Checker<'_> {
    fn report_if(&mut self, is_faulty: bool, member: &str, message: &str) {
        if is_faulty {
            self.faults.push(Fault::at(crate::fault::join_path(&self.path, member), message));
        }
    }

    fn check_name(&mut self, text: &str) {
        let is_faulty = !is_valid_name(text);
        self.report_if(is_faulty, "", "the name must be 1 to 64 letters, digits, '-', '_' or '.'");
    }

    fn check_share(&mut self, member: &str, share: f64) {
        self.report_if(!(0.0..=1.0).contains(&share), member, "must be from 0 to 1");
    }

    fn check_cost(&mut self, member: &str, cost: f64) {
        self.report_if(!cost.is_finite() || cost < 0.0, member, "must be 0 or more");
    }

    fn check_duration(&mut self, member: &str, ms: u64) {
        self.report_if(!(1..=DURATION_MS_MAX).contains(&ms), member, "must be from 1 ms to a week");
    }

    fn check_exists<T>(
        &mut self,
        member: &str,
        name: &Name,
        existing: &BTreeMap<Name, T>,
        kind: &str,
    ) {
        let message = format!("there is no {kind} \"{name}\"");
        self.report_if(!existing.contains_key(name), member, &message);
    }

    fn check_distinct(&mut self, member: &str, names: &[Name]) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let is_repeated = !seen.insert(name);
            self.report_if(is_repeated, &format!("{member}[{index}]"), "named twice");
        }
    }
}

/// Adds all faults of a document.
pub fn check(document: &Document, faults: &mut Vec<Fault>) {
    let mut check_name = |kind: &str, name: &str| {
        let mut checker = Checker { path: format!("{kind}.{name}"), faults: &mut *faults };
        checker.check_name(name);
    };
    document.versions.keys().for_each(|name| check_name("versions", name));
    document.pools.keys().for_each(|name| check_name("pools", name));
    document.services.keys().for_each(|name| check_name("services", name));
    document.accounts.keys().for_each(|name| check_name("accounts", name));
    document.rollouts.keys().for_each(|name| check_name("rollouts", name));
    document.service_levels.keys().for_each(|name| check_name("service_levels", name));
    for (name, version) in &document.versions {
        let path = format!("versions.{name}");
        check_version(version, document, &mut Checker { path, faults });
    }
    for (name, pool) in &document.pools {
        let mut checker = Checker { path: format!("pools.{name}"), faults };
        checker.report_if(pool.slots == 0, "slots", "must not be 0");
    }
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        check_service(service, document, &mut Checker { path, faults });
    }
    for (name, account) in &document.accounts {
        let path = format!("accounts.{name}");
        check_account(account, document, &mut Checker { path, faults });
    }
    for (name, rollout) in &document.rollouts {
        let path = format!("rollouts.{name}");
        check_rollout(name, rollout, document, &mut Checker { path, faults });
    }
    for (name, level) in &document.service_levels {
        let path = format!("service_levels.{name}");
        check_level(level, document, &mut Checker { path, faults });
    }
    check_session_keys(&document.session_keys, faults);
    check_key_hashes(&document.accounts, faults);
}

fn check_version(version: &Version, document: &Document, checker: &mut Checker<'_>) {
    checker.report_if(!is_valid_name(&version.model), "model", "must be a name");
    let namesake = document.versions.get(&version.model);
    let is_ambiguous = namesake.is_some_and(|namesake| namesake.model != version.model);
    checker.report_if(is_ambiguous, "model", "is also the name of a version of another model");
    checker.check_cost("cost", version.cost);
    checker.check_exists("pool", &version.pool, &document.pools, "pool");
    checker.check_duration("first_byte_ms", version.first_byte_ms);
    checker.check_duration("between_bytes_ms", version.between_bytes_ms);
    let is_future = version.cleared > document.generation;
    checker.report_if(
        is_future,
        "cleared",
        "must not be past the generation the change was made from",
    );
    for (task, share) in &version.quality {
        checker.check_share(&format!("quality.{task}"), *share);
    }
}

fn check_service(service: &Service, document: &Document, checker: &mut Checker<'_>) {
    checker.check_exists("pool", &service.pool, &document.pools, "pool");
    checker.check_duration("deadline_ms", service.deadline_ms);
    checker.check_cost("cost", service.cost);
    for (index, method) in service.repeatable.iter().enumerate() {
        let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        checker.report_if(!is_method, &format!("repeatable[{index}]"), "must be an HTTP method");
    }
}

fn check_account(account: &Account, document: &Document, checker: &mut Checker<'_>) {
    checker.report_if(account.key_hashes.is_empty(), "key_hashes", "at least one is needed");
    for (index, hash) in account.key_hashes.iter().enumerate() {
        let member = format!("key_hashes[{index}]");
        checker.report_if(!is_sha256_hex(hash), &member, "must be 64 hexadecimal digits");
    }
    for (index, version) in account.versions.iter().enumerate() {
        checker.check_exists(&format!("versions[{index}]"), version, &document.versions, "version");
    }
    for (index, service) in account.services.iter().enumerate() {
        checker.check_exists(&format!("services[{index}]"), service, &document.services, "service");
    }
    checker.check_distinct("versions", &account.versions);
    checker.check_distinct("services", &account.services);
    for (name, task) in &account.tasks {
        checker.report_if(!is_valid_name(name), &format!("tasks.{name}"), "must be a name");
        check_task(name, task, checker);
    }
    let rate = account.limit.requests_per_second;
    checker.check_cost("limit.requests_per_second", rate);
    check_usable(account, document, checker);
}

/// Checks that an account has versions and tasks. An account that uses plain services only needs
/// neither; every other account needs both.
fn check_usable(account: &Account, document: &Document, checker: &mut Checker<'_>) {
    let has_services_only = account.versions.is_empty() && !account.services.is_empty();
    let is_live = |name: &Name| {
        document.versions.get(name).is_some_and(|version| version.state == VersionState::Live)
    };
    let has_live_version = account.versions.iter().any(is_live);
    checker.report_if(!has_services_only && !has_live_version, "versions", "must have a live one");
    let has_default_task = account.tasks.contains_key(&account.default_task);
    let needs_no_task = has_services_only && account.tasks.is_empty();
    let message = format!("there is no task \"{}\"", account.default_task);
    checker.report_if(!has_default_task && !needs_no_task, "default_task", &message);
}

fn check_task(name: &str, task: &Task, checker: &mut Checker<'_>) {
    checker.check_share(&format!("tasks.{name}.quality_target"), task.quality_target);
    checker.check_duration(&format!("tasks.{name}.deadline_ms"), task.deadline_ms);
}

fn check_rollout(name: &Name, rollout: &Rollout, document: &Document, checker: &mut Checker<'_>) {
    checker.check_exists("version", &rollout.version, &document.versions, "version");
    let version = document.versions.get(&rollout.version);
    let is_candidate = version.is_none_or(|version| version.state == VersionState::Candidate);
    checker.report_if(!is_candidate, "version", "must be a candidate");
    let other = document.rollouts.iter().find(|(_, other)| other.version == rollout.version);
    let has_other_rollout = other.is_some_and(|(first, _)| first != name);
    checker.report_if(has_other_rollout, "version", "has a roll-out already");
    checker.report_if(rollout.steps.is_empty(), "steps", "at least one is needed");
    for (index, share) in rollout.steps.iter().enumerate() {
        checker.check_share(&format!("steps[{index}]"), *share);
    }
    for (index, pair) in rollout.steps.windows(2).enumerate() {
        let member = format!("steps[{}]", index + 1);
        checker.report_if(pair[1] <= pair[0], &member, "must be higher than the one before");
    }
    checker.check_duration("step_ms", rollout.step_ms);
    checker.report_if(rollout.min_rated == 0, "min_rated", "must not be 0");
    checker.check_share("guard", rollout.guard);
}

fn check_level(level: &ServiceLevel, document: &Document, checker: &mut Checker<'_>) {
    checker.check_exists("account", &level.account, &document.accounts, "account");
    if let (Some(task), Some(account)) = (&level.task, document.accounts.get(&level.account)) {
        checker.check_exists("task", task, &account.tasks, "task");
    }
    // With an objective of 1 the error budget is 0, and burn rates would be divided by it.
    let is_inside = level.objective > 0.0 && level.objective < 1.0;
    checker.report_if(!is_inside, "objective", "must be above 0 and below 1");
    checker.check_duration("within_ms", level.within_ms);
}

fn check_session_keys(keys: &BTreeMap<u32, SessionKey>, faults: &mut Vec<Fault>) {
    let mut checker = Checker { path: "session_keys".to_owned(), faults };
    checker.report_if(keys.is_empty(), "", "at least one is needed");
    for (id, key) in keys {
        let member = format!("{id}.secret");
        let is_hexadecimal = key.secret.bytes().all(|b| b.is_ascii_hexdigit());
        let is_long_enough =
            key.secret.len() >= 2 * SESSION_KEY_BYTES_MIN && key.secret.len() % 2 == 0;
        let message = "must be at least 32 bytes in hexadecimal, two digits each";
        checker.report_if(!is_hexadecimal || !is_long_enough, &member, message);
    }
}

/// Reports keys of more than one account: it would be a matter of chance which account pays.
fn check_key_hashes(accounts: &BTreeMap<Name, Account>, faults: &mut Vec<Fault>) {
    let mut owners: BTreeMap<String, &Name> = BTreeMap::new();
    for (name, account) in accounts {
        let mut checker = Checker { path: format!("accounts.{name}"), faults: &mut *faults };
        for (index, hash) in account.key_hashes.iter().enumerate() {
            let owner = owners.insert(hash.to_ascii_lowercase(), name);
            let is_shared = owner.is_some();
            checker.report_if(is_shared, &format!("key_hashes[{index}]"), "is in use already");
        }
    }
}
