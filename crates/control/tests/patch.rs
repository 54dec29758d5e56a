//! A generation told as the change from the one before.

mod common;

use common::{Deployment, document, http, wait_for};
use control::configuration::{InForce, patch};
use serde_json::{Value, json};
use wire::configuration::{Document, check};

fn in_force(value: &Value) -> InForce {
    let document: Document = check::parse(&value.to_string()).expect("a sound document");
    let text = serde_json::to_string(&document).expect("a document is JSON");
    InForce { generation: document.generation, document, text, change: None }
}

fn next(change: impl FnOnce(&mut Value)) -> InForce {
    let mut value = document(2);
    change(&mut value);
    in_force(&value)
}

#[test]
fn apply_leads_to_the_same_text() {
    let before = in_force(&document(1));
    let changed = [
        next(|_| {}),
        next(|value| value["pools"]["engines"]["slots"] = json!(9)),
        next(|value| value["pools"]["more.of-them"] = json!({"slots": 1})),
        next(|value| value["rollouts"] = json!({})),
        next(|value| value["rollouts"]["next"]["steps"] = json!([0.1, 1.0])),
        next(|value| value["versions"]["small-2"]["quality"] = json!({})),
        next(|value| value["session_keys"]["2"] = json!({"secret": "ab".repeat(32)})),
    ];
    for after in changed {
        let change = patch::between(&before, &after).expect("neighbours");
        assert_eq!(patch::apply(&before, &change), Some(after.text));
    }
}

#[test]
fn between_is_for_neighbours_alone() {
    let (one, three) = (in_force(&document(1)), in_force(&document(3)));
    assert_eq!(patch::between(&one, &three), None);
    assert_eq!(patch::between(&three, &one), None);
    assert_eq!(patch::between(&InForce::default(), &one), None);
}

// A peer's change was made from a document of the same number but another text: two deployments
// mixed up, or a platform restored from a backup. Applied blindly it would make a document that
// nobody accepted. The hash refuses it, and the whole document is fetched.
#[test]
fn apply_refuses_what_does_not_come_out_the_same() {
    let before = in_force(&document(1));
    let after = next(|value| value["pools"]["engines"]["slots"] = json!(9));
    let change = patch::between(&before, &after).expect("neighbours");
    let mut other = document(1);
    other["versions"]["small-1"]["cost"] = json!(5);
    assert_eq!(patch::apply(&in_force(&other), &change), None);
    let later = in_force(&document(2));
    assert_eq!(patch::apply(&later, &change), None, "not from this generation");
}

#[test]
fn apply_any_edits_without_panic() {
    let before = in_force(&document(1));
    fuzz::check(1_000, |edits: &Vec<(Vec<u8>, Option<u8>)>| {
        let names = ["generation", "pools", "engines", "slots", "accounts", "", "versions"];
        let values = ["9", "{}", "[]", "\"x\"", "nonsense", "null"];
        let edits = edits.iter().map(|(path, value)| wire::gossip::Edit {
            path: path.iter().map(|at| names[usize::from(*at) % names.len()].into()).collect(),
            value: value.map(|at| values[usize::from(at) % values.len()].into()),
        });
        let change = wire::gossip::Change { from: 1, hash: 7, edits: edits.collect() };
        assert_eq!(patch::apply(&before, &change), None, "no text has that hash");
    });
}

// Hosts that are one generation behind get the change alone; one that was cut off for several
// gets the whole document, and all come to the same text.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_come_to_the_same_text_by_either_way() {
    let deployment = Deployment::start(3).await;
    deployment.first_document().await;
    for host in 0..3 {
        // Gossip alone: the platform would hide what it brings.
        if host > 0 {
            deployment.cut_from_platform(host, standin::proxy::Mode::Cut);
        }
    }
    deployment.cut_from_peers(2, standin::proxy::Mode::Cut);
    for generation in 1..4 {
        let slots = 10 + u32::try_from(generation).expect("small");
        let document = common::document_with_slots(generation, slots);
        let answer = deployment.put(0, &document, &format!("change-{generation}")).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    deployment.cut_from_peers(2, standin::proxy::Mode::Pass);
    for host in 1..3 {
        deployment.wait_generation(host, 4).await;
    }
    let first = http::get(deployment.hosts[0].operators, "/configuration").await.body;
    for host in 1..3 {
        wait_for("the same text", || async {
            http::get(deployment.hosts[host].operators, "/configuration").await.body == first
        })
        .await;
    }
}
