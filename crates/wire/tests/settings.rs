//! Validation of settings: all faults are reported at once, each with its path.

use wire::settings::{self, Settings};

fn paths(text: &str) -> Vec<String> {
    let faults = settings::parse(text).expect_err("faults");
    faults.into_iter().map(|fault| fault.path).collect()
}

const ENTRY: &str = r#"{"role": "entry", "name": "e1", "failure_domain": "north",
    "listen": "127.0.0.1:0", "operators": "127.0.0.1:0", "peer_key": {"text": "0123456789abcdef"},
    "controls": [{"name": "c1", "failure_domain": "north", "address": "127.0.0.1:1"}]}"#;

/// Settings of a node with the given further members.
fn node(members: &str) -> String {
    format!(
        r#"{{"role": "node", "name": "n", "failure_domain": "d", "listen": "127.0.0.1:1",
            "operators": "127.0.0.1:2", "platform": "127.0.0.1:3", {members}}}"#
    )
}

#[test]
fn parse_valid_settings() {
    assert!(matches!(settings::parse(ENTRY), Ok(Settings::Entry(_))));
}

#[test]
fn parse_reports_every_missing_member() {
    let missing = ["name", "failure_domain", "listen", "operators", "controls", "peer_key"];
    let found = paths(r#"{"role": "entry"}"#);
    for member in missing {
        assert!(found.iter().any(|path| path == member), "{member} is not in {found:?}");
    }
    assert!(paths(r#"{"role": "control"}"#).contains(&"platform".to_owned()));
}

#[test]
fn parse_reports_faults_of_several_kinds() {
    let text = ENTRY
        .replace("\"e1\"", "\"no name\"")
        .replace(
            "\"listen\": \"127.0.0.1:0\"",
            "\"listen\": 80, \"listne\": 1, \"drain_ms\": \"x\"",
        )
        .replace("0123456789abcdef", "short");
    let mut found = paths(&text);
    found.sort();
    assert_eq!(found, ["drain_ms", "listen", "listne", "name", "peer_key"]);
}

/// Guards against a share that would allow more hedged requests than there are requests.
#[test]
fn parse_hedging_share() {
    for share in ["-0.1", "1.1", "1e400", "\"x\""] {
        let found = paths(&node(&format!(r#""hedging": {{"share": {share}}}"#)));
        assert!(found.iter().all(|path| path.is_empty() || path == "hedging.share"), "{found:?}");
    }
    assert_eq!(paths(&node(r#""hedging": {}"#)), ["hedging.share"]);
    assert!(settings::parse(&node(r#""hedging": {"share": 0.05}"#)).is_ok());
}

#[test]
fn parse_text_without_settings() {
    assert_eq!(paths("{}"), ["role"]);
    assert_eq!(paths("[]"), ["role"]);
    assert_eq!(paths("no JSON"), [""]);
}

/// The message of a fault never contains the secret, in whatever form the settings hold it.
#[test]
fn parse_hides_secrets() {
    let bare = ENTRY.replace(r#"{"text": "0123456789abcdef"}"#, r#""tooshort""#);
    let listed = ENTRY.replace(r#"{"text": "0123456789abcdef"}"#, r#"{"txt": "tooshort"}"#);
    for text in [ENTRY.replace("0123456789abcdef", "tooshort"), bare, listed] {
        let faults = settings::parse(&text).expect_err("a fault");
        assert!(faults.iter().all(|fault| !fault.to_string().contains("tooshort")), "{faults:?}");
        assert!(faults.iter().any(|fault| fault.path.starts_with("peer_key")), "{faults:?}");
    }
}

#[test]
fn parse_any_text_without_panic() {
    fuzz::check(3_000, |edits: &Vec<(u16, u8)>| {
        let mut bytes = ENTRY.as_bytes().to_vec();
        for (index, byte) in edits.iter().take(6) {
            let index = usize::from(*index) % bytes.len();
            bytes[index] = *byte;
        }
        // Any result is accepted; only a panic fails the test.
        let _ = settings::parse(&String::from_utf8_lossy(&bytes));
    });
}

#[test]
fn parse_resources_below_their_minimum() {
    let text = |resources: &str| node(&format!("\"resources\": {resources}"));
    assert!(settings::parse(&text(r#"{"core_share": 0.12, "link_mbps": 20}"#)).is_ok());
    assert!(settings::parse(&text("{}")).is_ok());
    assert_eq!(paths(&text(r#"{"core_share": 0}"#)), ["resources.core_share"]);
    assert_eq!(paths(&text(r#"{"link_mbps": -20}"#)), ["resources.link_mbps"]);
    assert!(settings::parse(&text(r#"{"descriptors": 4100, "memory_mb": 120}"#)).is_ok());
    assert_eq!(paths(&text(r#"{"descriptors": 100}"#)), ["resources.descriptors"]);
    assert_eq!(paths(&text(r#"{"memory_mb": 0}"#)), ["resources.memory_mb"]);
    assert_eq!(paths(&text(r#"{}, "standing_delay_ms": 0"#)), ["standing_delay_ms"]);
    let admission = r#"{}, "admission": {"waiting_max": 0}"#;
    assert_eq!(paths(&text(admission)), ["admission.waiting_max"]);
    let held = |share: &str| format!(r#"{{}}, "held_bytes": {{"memory_share": {share}}}"#);
    assert!(settings::parse(&text(&held("1"))).is_ok());
    for share in ["0", "-0.1", "1.01"] {
        assert_eq!(paths(&text(&held(share))), ["held_bytes.memory_share"], "{share}");
    }
}

#[test]
fn parse_placement_off_unless_set() {
    let placement = |text: &str| match settings::parse(&node(text)) {
        Ok(Settings::Node(node)) => (node.placement.speeds, node.placement.fetch),
        other => panic!("{other:?}"),
    };
    assert_eq!(placement(r#""first_start": false"#), (false, false));
    assert_eq!(placement(r#""placement": {"fetch": true}"#), (false, true));
    assert_eq!(placement(r#""placement": {"speeds": true, "fetch": true}"#), (true, true));
    assert_eq!(paths(&node(r#""placement": {"speeds": 1}"#)), ["placement.speeds"]);
    assert_eq!(paths(&node(r#""placement": {"speed": true}"#)), ["placement.speed"]);
}

#[test]
fn parse_streams_off_unless_set() {
    let streams = |text: &str| match settings::parse(&node(text)) {
        Ok(Settings::Node(node)) => (node.streams.backup, node.streams.relocate),
        other => panic!("{other:?}"),
    };
    assert_eq!(streams(r#""first_start": false"#), (false, false));
    assert_eq!(streams(r#""streams": {"backup": true}"#), (true, false));
    assert_eq!(streams(r#""streams": {"backup": true, "move": true}"#), (true, true));
    assert_eq!(paths(&node(r#""streams": {"move": "yes"}"#)), ["streams.move"]);
    assert_eq!(paths(&node(r#""streams": {"relocate": true}"#)), ["streams.relocate"]);
}

#[test]
fn parse_failure_domains_too_many_repeated_or_without_the_own() {
    let text = |domains: &str| node(&format!("\"failure_domains\": {domains}"));
    assert!(settings::parse(&text("[]")).is_ok());
    assert!(settings::parse(&text(r#"["c", "d"]"#)).is_ok());
    let many: Vec<String> = (0..9_999).map(|number| format!("\"{number}\"")).collect();
    let many = format!(r#"["d", {}]"#, many.join(", "));
    for wrong in [r#"["c"]"#, r#"["d", "c", "d"]"#, &many] {
        assert_eq!(paths(&text(wrong)), ["failure_domains"], "{wrong:.20}");
    }
}

/// Guards against a message that names several limits, so that the operator can't see which one is
/// violated.
#[test]
fn parse_duration_below_its_minimum_reports_the_minimum() {
    for (member, min) in
        [("change_ms", 1_900), ("leaving_ms", 1_900), ("contact_ms", 2_000), ("drain_ms", 1_000)]
    {
        let with = |ms: u64| settings::parse(&node(&format!("\"{member}\": {ms}")));
        assert!(with(min).is_ok(), "{member}");
        let faults = with(min - 1).expect_err("a fault");
        let found: Vec<String> = faults.iter().map(|fault| fault.message.clone()).collect();
        assert_eq!(found, [format!("must be at least {min}")], "{member}");
    }
}

/// Guards against an index that takes more memory than a small host has, and one of no use.
#[test]
fn parse_prefix_index_outside_its_bounds() {
    let text = |index: &str| node(&format!("\"prefix_index\": {index}"));
    assert!(settings::parse(&text("null")).is_ok());
    assert!(settings::parse(&text(r#"{"entries_max": 65536}"#)).is_ok());
    for wrong in [r#"{"entries_max": 0}"#, r#"{"entries_max": 160001}"#] {
        assert_eq!(paths(&text(wrong)), ["prefix_index.entries_max"], "{wrong}");
    }
    assert!(settings::parse(&text("{}")).is_err());
}

/// Guards against hosts that announce caches to other failure domains without an index, or although no
/// engine may fetch.
#[test]
fn parse_placement_far_needs_fetch_and_index() {
    let index = r#""prefix_index": {"entries_max": 4096}"#;
    let placement = |rest: &str| format!("\"placement\": {{\"far\": true{rest}}}");
    let fetch = placement(r#", "fetch": true"#);
    assert!(settings::parse(&node(&format!("{index}, {fetch}"))).is_ok());
    for wrong in [fetch, format!("{index}, {}", placement(""))] {
        assert_eq!(paths(&node(&wrong)), ["placement.far"], "{wrong}");
    }
}

/// Guards against hosts that announce loads to other failure domains without knowing those of their
/// own.
#[test]
fn parse_placement_far_loads_needs_loads() {
    let placement = |text: &str| node(&format!("\"placement\": {{\"far_loads\": true{text}}}"));
    assert!(settings::parse(&placement(r#", "loads": true"#)).is_ok());
    assert_eq!(paths(&placement("")), ["placement.far_loads"]);
}

#[test]
fn parse_exposure_share_outside_0_to_1() {
    let text = |share: &str| node(&format!("\"exposure_share\": {share}"));
    assert!(settings::parse(&text("0.15")).is_ok());
    for wrong in ["1.5", "-0.1"] {
        assert_eq!(paths(&text(wrong)), ["exposure_share"], "{wrong}");
    }
}
