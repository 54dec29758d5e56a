//! Validation of the configuration document: all faults are reported, each with its path.

use serde_json::{Value, json};
use wire::configuration::check::parse;

fn document() -> Value {
    json!({
        "generation": 7,
        "versions": {
            "small-1": {"model": "small", "state": "live", "cost": 1, "pool": "engines",
                "quality": {"tagging": 0.9}},
            "small-2": {"model": "small", "state": "candidate", "cost": 1, "pool": "engines"}
        },
        "pools": {"engines": {"slots": 8}, "desk": {"slots": 4}},
        "services": {"orders": {"pool": "desk"}},
        "accounts": {
            "dwu-claims": {
                "key_hashes": ["a".repeat(64)],
                "versions": ["small-1", "small-2"],
                "services": ["orders"],
                "tasks": {"tagging": {"quality_target": 0.8, "may_repeat": true,
                    "deadline_ms": 2000}},
                "default_task": "tagging"
            }
        },
        "rollouts": {"next": {"version": "small-2", "steps": [0.05, 0.5, 1.0], "step_ms": 1000,
            "min_rated": 20, "guard": 0.7}},
        "session_keys": {"1": {"secret": "0f".repeat(32)}},
        "service_levels": {"tags": {"account": "dwu-claims", "task": "tagging",
            "objective": 0.99, "within_ms": 1000}}
    })
}

fn paths(text: &str) -> Vec<String> {
    match parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.into_iter().map(|fault| fault.path).collect(),
    }
}

fn paths_after(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut value = document();
    change(&mut value);
    paths(&value.to_string())
}

#[test]
fn parse_valid_document() {
    let parsed = parse(&document().to_string()).expect("no faults");
    assert_eq!(parsed.generation, 7);
    let text = serde_json::to_string(&parsed).expect("a document is JSON");
    assert_eq!(parse(&text), Ok(parsed));
}

#[test]
fn parse_unknown_members() {
    let faults = paths_after(|value| {
        value["colour"] = json!(1);
        value["accounts"]["dwu-claims"]["limit"] = json!({"requests": 5});
    });
    assert_eq!(faults, ["accounts.dwu-claims.limit.requests", "colour"]);
}

#[test]
fn parse_wrong_types_in_several_places() {
    let faults = paths_after(|value| {
        value["versions"]["small-1"]["cost"] = json!("cheap");
        value["versions"]["small-1"]["state"] = json!("alive");
        value["accounts"]["dwu-claims"]["versions"][1] = json!(2);
        value["pools"]["engines"] = json!([]);
        value["session_keys"]["1"]["secret"] = json!(null);
    });
    let expected = [
        "accounts.dwu-claims.versions[1]",
        "pools.engines",
        "session_keys.1.secret",
        "versions.small-1.cost",
        "versions.small-1.state",
    ];
    assert_eq!(faults, expected);
}

#[test]
fn parse_missing_members_reported_at_their_own_paths() {
    let faults = paths_after(|value| {
        let account = value["accounts"]["dwu-claims"].as_object_mut().expect("an object");
        account.remove("default_task");
        let version = value["versions"]["small-2"].as_object_mut().expect("an object");
        version.remove("pool");
    });
    assert_eq!(faults, ["accounts.dwu-claims.default_task", "versions.small-2.pool"]);
}

#[test]
fn parse_members_given_twice() {
    let text = document().to_string().replacen(
        "\"pools\":{",
        "\"pools\":{\"engines\":{\"slots\":1,\"slots\":2},",
        1,
    );
    assert_eq!(paths(&text), ["pools.engines", "pools.engines.slots"]);
}

#[test]
fn parse_names_of_missing_entries() {
    let faults = paths_after(|value| {
        value["versions"]["small-1"]["pool"] = json!("engine");
        value["services"]["orders"]["pool"] = json!("desks");
        value["accounts"]["dwu-claims"]["versions"] = json!(["small-1", "small-3"]);
        value["accounts"]["dwu-claims"]["services"] = json!(["order"]);
        value["accounts"]["dwu-claims"]["default_task"] = json!("tag");
        value["rollouts"]["next"]["version"] = json!("small-4");
        value["service_levels"]["tags"]["task"] = json!("tag");
    });
    let expected = [
        "accounts.dwu-claims.default_task",
        "accounts.dwu-claims.services[0]",
        "accounts.dwu-claims.versions[1]",
        "rollouts.next.version",
        "service_levels.tags.task",
        "services.orders.pool",
        "versions.small-1.pool",
    ];
    assert_eq!(faults, expected);
}

#[test]
fn parse_account_without_a_live_version() {
    for state in ["candidate", "draining", "withdrawn"] {
        let faults = paths_after(|value| value["versions"]["small-1"]["state"] = json!(state));
        assert_eq!(faults, ["accounts.dwu-claims.versions"], "{state}");
    }
}

#[test]
fn parse_numbers_out_of_bounds() {
    let faults = paths_after(|value| {
        value["versions"]["small-1"]["quality"]["tagging"] = json!(1.01);
        value["versions"]["small-1"]["cost"] = json!(-1);
        value["versions"]["small-1"]["cleared"] = json!(8);
        value["versions"]["small-2"]["first_byte_ms"] = json!(0);
        value["accounts"]["dwu-claims"]["tasks"]["tagging"]["quality_target"] = json!(-0.1);
        value["rollouts"]["next"]["steps"] = json!([0.5, 0.5, 1.5]);
        value["rollouts"]["next"]["guard"] = json!(2);
        value["service_levels"]["tags"]["objective"] = json!(1);
        value["pools"]["desk"]["slots"] = json!(0);
    });
    let expected = [
        "accounts.dwu-claims.tasks.tagging.quality_target",
        "pools.desk.slots",
        "rollouts.next.guard",
        "rollouts.next.steps[1]",
        "rollouts.next.steps[2]",
        "service_levels.tags.objective",
        "versions.small-1.cleared",
        "versions.small-1.cost",
        "versions.small-1.quality.tagging",
        "versions.small-2.first_byte_ms",
    ];
    assert_eq!(faults, expected);
}

#[test]
fn parse_session_keys_too_short_odd_or_absent() {
    for secret in ["0f".repeat(31), "0".repeat(65), "zz".repeat(32)] {
        let faults = paths_after(|value| value["session_keys"]["1"]["secret"] = json!(secret));
        assert_eq!(faults, ["session_keys.1.secret"], "{secret}");
    }
    assert_eq!(paths_after(|value| value["session_keys"] = json!({})), ["session_keys"]);
}

#[test]
fn parse_key_of_two_accounts() {
    let faults = paths_after(|value| {
        let account = value["accounts"]["dwu-claims"].clone();
        value["accounts"]["other"] = account;
    });
    assert_eq!(faults, ["accounts.other.key_hashes[0]"]);
}

#[test]
fn parse_array_in_place_of_an_object() {
    let faults = paths_after(|value| value["pools"]["desk"] = json!([4, 64]));
    assert_eq!(faults, ["pools.desk"]);
}

#[test]
fn parse_any_text_without_panic() {
    fuzz::check(5_000, |bytes: &Vec<u8>| {
        if let Ok(text) = std::str::from_utf8(bytes) {
            assert!(parse(text).is_err_and(|faults| !faults.is_empty()));
        }
    });
}

/// Replaces one value of a valid document by an arbitrary value. The document is either rejected
/// with faults, or accepted and the same after it was serialized and parsed again.
#[test]
fn parse_any_value_replaced() {
    let pointers: Vec<String> = pointers(&document(), "");
    let values = [
        json!(null),
        json!(-1),
        json!(1e300),
        json!(""),
        json!("x"),
        json!([[]]),
        json!({"": {}}),
        json!(true),
    ];
    fuzz::check(2_000, |(pointer, value): &(usize, u8)| {
        let mut document = document();
        let pointer = &pointers[pointer % pointers.len()];
        let value = &values[usize::from(*value) % values.len()];
        *document.pointer_mut(pointer).expect("the pointer leads to a value") = value.clone();
        match parse(&document.to_string()) {
            Ok(parsed) => {
                let text = serde_json::to_string(&parsed).expect("a document is JSON");
                assert_eq!(parse(&text), Ok(parsed));
            }
            Err(faults) => assert!(!faults.is_empty()),
        }
    });
}

fn pointers(value: &Value, path: &str) -> Vec<String> {
    let inner: Vec<String> = match value {
        Value::Object(members) => members
            .iter()
            .flat_map(|(key, value)| pointers(value, &format!("{path}/{key}")))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .flat_map(|(index, value)| pointers(value, &format!("{path}/{index}")))
            .collect(),
        _ => Vec::new(),
    };
    std::iter::once(path.to_owned()).chain(inner).collect()
}
