//! `chestnutspur demo`, and the settings files of the examples.

use std::process::{Command, Output};

fn chestnutspur(arguments: &[&str]) -> Output {
    let repository = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutspur"));
    command.current_dir(repository).args(arguments).output().unwrap()
}

fn plan(seed: &str) -> Vec<u8> {
    let output = chestnutspur(&["demo", "--plan", "--requests", "500", "--seed", seed]);
    assert!(output.status.success());
    output.stdout
}

#[test]
fn plan_depends_on_its_seed_alone() {
    assert_eq!(plan("7"), plan("7"));
    assert_ne!(plan("7"), plan("8"));
    assert_eq!(plan("7").iter().filter(|byte| **byte == b'\n').count(), 500);
}

#[test]
fn unknown_deployment_is_a_usage_error() {
    let output = chestnutspur(&["demo", "--deployment", "nowhere"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

#[test]
fn examples_have_no_faults() {
    let mut checked = 0;
    for deployment in standin::deployment::Deployment::NAMES {
        let directory = format!("{}/../../examples/{deployment}", env!("CARGO_MANIFEST_DIR"));
        for file in std::fs::read_dir(directory).unwrap() {
            let file = file.unwrap().path();
            let name = file.file_name().unwrap().to_str().unwrap();
            if name == "hosts.json" || !name.ends_with(".json") {
                continue;
            }
            let output = chestnutspur(&["check", file.to_str().unwrap()]);
            assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            checked += 1;
        }
    }
    assert_eq!(checked, 2 + 14 + 12);
}

/// The demo prints one object with exactly these keys and exits with code 0, although a version
/// turns bad half way through and the platform is down for a fifth of the run. An audited count
/// that is not 0 would be named on standard error and lead to exit code 1.
#[test]
fn demo_keeps_its_promises_on_both_deployments() {
    let keys = [
        "answered",
        "refused",
        "wrong_answers",
        "doubled_runs",
        "disallowed_runs",
        "sessions_moved",
        "bills_missing",
        "bills_doubled",
        "cost_ratio_to_best",
        "exposure",
    ];
    for deployment in standin::deployment::Deployment::NAMES {
        let arguments = ["demo", "--deployment", deployment, "--requests", "400", "--json"];
        let output = chestnutspur(&arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{deployment}: {errors}");
        let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        let printed = printed.as_object().unwrap();
        assert_eq!(printed.len(), keys.len());
        assert!(keys.iter().all(|key| printed[*key].is_number()), "{printed:?}");
        assert!(printed["answered"].as_u64() > Some(0), "{printed:?}");
    }
}
