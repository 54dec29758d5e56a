//! Faults of a scenario are reported with their paths.

use experiment::scenario::Scenario;

fn faults(change: impl FnOnce(&mut serde_json::Value)) -> Vec<String> {
    let text = include_str!("../../../examples/experiment/lost-30-hosts.json");
    let mut value = serde_json::from_str(text).unwrap();
    change(&mut value);
    match Scenario::parse(&value.to_string()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn parse_committed_without_faults() {
    assert!(faults(|_| ()).is_empty());
    let text = include_str!("../../../examples/experiment/lost-300-hosts.json");
    assert!(Scenario::parse(text).is_ok());
}

#[test]
fn parse_names_all_faults() {
    let found = faults(|value| {
        value["hosts"] = 401.into();
        value["engines"]["slots"] = 0.into();
        value["engines"]["memory"] = 5.into();
        value["kinds"][1]["weight"] = (-1.0).into();
        value["causes"][0]["for_s"] = 0.into();
        value["ways"][1]["name"] = "ours".into();
    });
    let expected = [
        "causes[0].for_s: must be more than 0",
        "engines.memory: unknown member",
        "engines.slots: must be more than 0",
        "hosts: must be from 1 to 400",
        "kinds[1].weight: must be more than 0",
        "ways[1].name: must differ from the others",
    ];
    assert_eq!(found, expected);
}

#[test]
fn parse_refuses_negative_counts() {
    let found = faults(|value| value["engines"]["count"] = (-3).into());
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("engines.count: ") && found[0].contains("-3"), "{found:?}");
}

#[test]
fn parse_names_unknown_ways() {
    let found = faults(|value| value["ways"][0]["pick"] = "best".into());
    assert!(found.iter().any(|fault| fault.starts_with("ways[0].pick: ")), "{found:?}");
}

#[test]
fn parse_names_what_is_missing() {
    let found = faults(|value| {
        value["engines"].as_object_mut().unwrap().remove("memory_tokens");
    });
    assert_eq!(found, ["engines.memory_tokens: missing"]);
}
