//! `chestnutspur experiment`, run from the command line.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

fn experiment(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_chestnutspur");
    Command::new(program).arg("experiment").args(arguments).output().unwrap()
}

/// Writes a smaller version of the example scenario, changed by `change`, to a file of this name.
fn scenario(name: &str, change: impl FnOnce(&mut Value)) -> PathBuf {
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiment/lost-30-hosts.json");
    let mut value: Value =
        serde_json::from_str(&std::fs::read_to_string(example).unwrap()).unwrap();
    value["hosts"] = 4.into();
    value["engines"]["count"] = 8.into();
    value["load_per_s"] = 50.into();
    value["length_s"] = 14.into();
    change(&mut value);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, value.to_string()).unwrap();
    file
}

#[test]
fn experiment_as_text_json_and_pictures() {
    let file = scenario("experiment.json", |_| ());
    let file = file.to_str().unwrap();
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("experiment-pictures");
    let _ = std::fs::remove_dir_all(&directory);
    let text = experiment(&[file, "--svg", directory.to_str().unwrap()]);
    assert!(text.status.success());
    let table = String::from_utf8(text.stdout).unwrap();
    // One heading, the column names and seven policies (ways).
    assert_eq!(table.lines().count(), 9, "{table}");
    for name in ["served.svg", "in-time.svg"] {
        assert!(std::fs::read_to_string(directory.join(name)).unwrap().contains("</svg>"));
    }
    let json = String::from_utf8(experiment(&[file, "--json"]).stdout).unwrap();
    let rows: Vec<Value> = json.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(rows.len(), 7);
    assert_eq!((&rows[0]["way"], &rows[0]["runs"]), (&"ours".into(), &3.into()));
    assert_eq!(rows[0]["seconds"].as_array().unwrap().len(), 14);
}

#[test]
fn experiment_faults_are_usage_errors() {
    let file = scenario("experiment-faults.json", |value| {
        value["engines"]["slots"] = 0.into();
        value["seed"] = 1.into();
    });
    let faulty = experiment(&[file.to_str().unwrap()]);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(faulty.stdout.is_empty());
    let errors = String::from_utf8(faulty.stderr).unwrap();
    assert!(errors.contains("engines.slots: must be more than 0"), "{errors}");
    assert!(errors.contains("seed: unknown member"), "{errors}");
}

#[test]
fn experiment_without_a_file_is_a_usage_error() {
    assert_eq!(experiment(&["/nowhere/scenario.json"]).status.code(), Some(2));
    assert_eq!(experiment(&[]).status.code(), Some(2));
}
