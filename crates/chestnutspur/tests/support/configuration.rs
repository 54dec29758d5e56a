//! The configuration document that the tests start from.

use serde_json::{Value, json};
use sha2::Digest;

/// Returns the SHA-256 of a text in hexadecimal.
pub fn sha256(text: &str) -> String {
    sha2::Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a document with two client accounts, one model in three versions and one plain service.
pub fn document() -> Value {
    let version = |cost: f64, quality: f64, state: &str| {
        json!({
            "model": "letters", "state": state, "cost": cost, "pool": "models",
            "quality": {"tag": quality, "letter": quality},
            "first_byte_ms": 1000, "between_bytes_ms": 1000,
        })
    };
    let task = |target: f64, may_repeat: bool| json!({"quality_target": target, "may_repeat": may_repeat, "deadline_ms": 10_000});
    let account = |key: &str, versions: Value| {
        json!({
            "key_hashes": [sha256(key)], "versions": versions, "services": ["portal"],
            "default_task": "tag",
            "tasks": {"tag": task(0.8, true), "letter": task(0.9, false)},
        })
    };
    json!({
        "generation": 0,
        "versions": {
            "small-1": version(1.0, 0.85, "live"),
            "large-1": version(8.0, 0.98, "live"),
            "large-2": version(6.0, 0.98, "draining"),
        },
        "pools": {"models": {"slots": 32}, "portal": {"slots": 8}},
        "services": {"portal": {"pool": "portal"}},
        "accounts": {
            "first": account("first key", json!(["small-1", "large-1", "large-2"])),
            "second": account("second key", json!(["large-1"])),
        },
        "session_keys": {"1": {"secret": "5".repeat(64)}},
    })
}
