//! What the demo and the examples promise.

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
