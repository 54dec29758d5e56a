//! The operators' console over HTTP, as a browser uses it.

mod common;

use std::net::SocketAddr;

use common::{Deployment, TOKEN, document_with_slots, http};
use control::operators::console::form::Form;
use hyper::Method;
use serde_json::json;

/// A browser that has signed in.
struct Browser {
    address: SocketAddr,
    cookie: String,
}

/// Hidden and typed members of a page's form, to be sent back.
type Members = Vec<(String, String)>;

impl Browser {
    async fn sign_in(address: SocketAddr) -> Self {
        let body = encode(&[("token".to_owned(), TOKEN.to_owned())]);
        let answer = http::call(address, Method::POST, "/console/login", &[], &body).await;
        assert_eq!(answer.status, 303, "{}", answer.text());
        let cookie = answer.header("set-cookie");
        assert!(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"), "{cookie}");
        let cookie = cookie.split(';').next().unwrap_or_default().to_owned();
        Self { address, cookie }
    }

    async fn get(&self, path: &str) -> http::Answer {
        let headers = [("cookie", self.cookie.as_str())];
        http::call(self.address, Method::GET, path, &headers, "").await
    }

    async fn post(&self, path: &str, members: &Members) -> http::Answer {
        let headers = [("cookie", self.cookie.as_str())];
        http::call(self.address, Method::POST, path, &headers, &encode(members)).await
    }
}

fn encode(members: &[(String, String)]) -> String {
    let escape = |text: &str| -> String {
        text.bytes()
            .map(|byte| match byte.is_ascii_alphanumeric() {
                true => char::from(byte).to_string(),
                false => format!("%{byte:02X}"),
            })
            .collect()
    };
    let pairs: Vec<String> =
        members.iter().map(|(name, value)| format!("{}={}", escape(name), escape(value))).collect();
    pairs.join("&")
}

/// The text between two marks, all places.
fn between<'a>(text: &'a str, from: &str, to: &str) -> Vec<&'a str> {
    text.split(from).skip(1).filter_map(|rest| rest.split(to).next()).collect()
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    Some(between(tag, &format!("{name}=\""), "\"").first()?.replace("&lt;", "<"))
}

/// What a browser would send back if nothing was typed.
fn members(page: &str) -> Members {
    let form = page.rsplit("<form").next().unwrap_or_default();
    let mut members = Vec::new();
    for tag in between(form, "<input", ">") {
        let checkbox = tag.contains("checkbox");
        let (Some(name), value) = (attribute(tag, "name"), attribute(tag, "value")) else {
            continue;
        };
        if !checkbox || tag.contains(" checked") {
            members.push((name, value.unwrap_or_default()));
        }
    }
    for area in between(form, "<textarea", "</textarea>") {
        let (tag, text) = area.split_once('>').expect("a tag ends");
        members.push((attribute(tag, "name").expect("a name"), text.to_owned()));
    }
    for select in between(form, "<select", "</select>") {
        let chosen = between(select, "<option", ">").into_iter().find(|o| o.contains(" selected"));
        let value = chosen.and_then(|option| attribute(option, "value")).unwrap_or_default();
        members.push((attribute(select, "name").expect("a name"), value));
    }
    members
}

fn typed(mut members: Members, name: &str, value: &str) -> Members {
    members.retain(|(member, _)| member != name);
    members.push((name.to_owned(), value.to_owned()));
    members
}

async fn signed_in() -> (Deployment, Browser) {
    let deployment = Deployment::start(1).await;
    deployment.first_document().await;
    let browser = Browser::sign_in(deployment.hosts[0].operators).await;
    (deployment, browser)
}

async fn state_of(deployment: &Deployment, version: &str) -> serde_json::Value {
    let document = http::get(deployment.hosts[0].operators, "/configuration").await.json();
    document["versions"][version]["state"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn save_withdraws_a_version() {
    let (deployment, browser) = signed_in().await;
    let overview = browser.get("/console/").await.text();
    assert!(overview.contains("Generation <b>1</b>"), "{overview}");
    let page = browser.get("/console/versions/small-2").await.text();
    let form = typed(members(&page), "/state", "withdrawn");
    // The roll-out must go first: the whole document is checked, and the page says so.
    let refused = browser.post("/console/versions/small-2", &form).await;
    assert_eq!(refused.status, 422, "{}", refused.text());
    assert!(refused.text().contains("rollouts.next.version"), "{}", refused.text());
    let page = browser.get("/console/rollouts/next").await.text();
    let form = typed(members(&page), "delete", "yes");
    assert_eq!(browser.post("/console/rollouts/next", &form).await.status, 200);
    let page = browser.get("/console/versions/small-2").await.text();
    let form = typed(members(&page), "/state", "withdrawn");
    let saved = browser.post("/console/versions/small-2", &form).await;
    assert_eq!(saved.status, 200, "{}", saved.text());
    assert!(saved.text().contains("host-0"), "{}", saved.text());
    assert_eq!(state_of(&deployment, "small-2").await, "withdrawn");
}

// Two operators open the same generation. The first saves; the second, unaware, saves a change of
// something else. It must not go over the first's: the page shows what changed meanwhile and
// keeps what was typed, and only a second, knowing save is taken.
#[tokio::test(flavor = "multi_thread")]
async fn save_lost_race_shows_what_changed_and_keeps_what_was_typed() {
    let (deployment, browser) = signed_in().await;
    let page = browser.get("/console/versions/small-1").await.text();
    let form = typed(members(&page), "/cost", "2.5");
    let answer = deployment.put(0, &document_with_slots(1, 77), "rival").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let lost = browser.post("/console/versions/small-1", &form).await;
    assert_eq!(lost.status, 409);
    let page = lost.text();
    let row = "<td>pools.engines.slots</td><td>8</td><td>77</td>";
    assert!(page.contains(row) && page.contains("value=\"2.5\""), "{page}");
    assert_eq!(deployment.platform.accepted_generations().len(), 2);
    let saved = browser.post("/console/versions/small-1", &members(&page)).await;
    assert_eq!(saved.status, 200, "{}", saved.text());
    let document = http::get(deployment.hosts[0].operators, "/configuration").await.json();
    assert_eq!(document["versions"]["small-1"]["cost"], 2.5);
    assert_eq!(document["pools"]["engines"]["slots"], 77, "the rival's change stands");
}

// The browser sends a form twice, by a double click or a reload. It is one change.
#[tokio::test(flavor = "multi_thread")]
async fn save_sent_twice_is_one_change() {
    let (deployment, browser) = signed_in().await;
    let page = browser.get("/console/versions/small-1").await.text();
    let form = typed(members(&page), "/cost", "3");
    for _ in 0..2 {
        let saved = browser.post("/console/versions/small-1", &form).await;
        assert!(saved.text().contains("generation <b>2</b>"), "{}", saved.text());
    }
    assert_eq!(deployment.platform.accepted_generations().len(), 2);
}

// A page elsewhere makes the operator's browser send a form here. With the cookie but without
// the session's own token, or with another session's, nothing may change.
#[tokio::test(flavor = "multi_thread")]
async fn post_forged_form_refused() {
    let (deployment, browser) = signed_in().await;
    let other = Browser::sign_in(browser.address).await;
    let page = browser.get("/console/versions/small-1").await.text();
    let form = typed(members(&page), "/state", "withdrawn");
    let without: Members = form.iter().filter(|(name, _)| name != "csrf").cloned().collect();
    assert_eq!(browser.post("/console/versions/small-1", &without).await.status, 403);
    assert_eq!(other.post("/console/versions/small-1", &form).await.status, 403);
    let stranger = Browser { address: browser.address, cookie: "chestnutspur-console=x".into() };
    assert_eq!(stranger.post("/console/versions/small-1", &form).await.status, 401);
    assert_eq!(stranger.get("/console/versions/small-1").await.status, 303);
    assert_eq!(state_of(&deployment, "small-1").await, "live");
    let wrong = [("token".to_owned(), "guess".to_owned())];
    let path = "/console/login";
    let answer = http::call(browser.address, Method::POST, path, &[], &encode(&wrong)).await;
    assert_eq!((answer.status, answer.header("set-cookie")), (401, ""));
}

// Several members are wrong at once. Each is told at its field, and everything typed stays, also
// what is no number; text that would be markup comes back as text.
#[tokio::test(flavor = "multi_thread")]
async fn save_refused_shows_each_fault_at_its_field() {
    let (deployment, browser) = signed_in().await;
    let page = browser.get("/console/accounts/dwu-claims").await.text();
    let script = "<script>alert(1)</script>";
    let form = typed(members(&page), "/default_task", script);
    let form = typed(form, "/tasks/tagging/quality_target", "most");
    let form = typed(form, "/versions", "small-1\nsmall-9");
    let refused = browser.post("/console/accounts/dwu-claims", &form).await;
    assert_eq!(refused.status, 422);
    let page = refused.text();
    assert!(!page.contains(script) && page.contains("&lt;script&gt;"), "{page}");
    for (field, fault) in [
        ("/versions", "there is no version"),
        ("/default_task", "there is no task"),
        ("/tasks/tagging/quality_target", "invalid type: string"),
    ] {
        let after = page.split(&format!("name=\"{field}\"")).nth(1).unwrap_or_default();
        let until = after.split("<label").next().unwrap_or_default();
        assert!(until.contains(fault), "{field}: {until}");
    }
    let kept = members(&page);
    assert!(kept.contains(&("/tasks/tagging/quality_target".into(), "most".into())), "{kept:?}");
    assert!(kept.contains(&("/versions".into(), "small-1\nsmall-9".into())), "{kept:?}");
    assert_eq!(deployment.platform.accepted_generations().len(), 1);
}

#[test]
fn changes_tell_no_secret() {
    let key = |secret: &str| json!({"generation": 1, "session_keys": {"1": {"secret": secret}}});
    let old = key("0f0f");
    for new in [key("1e1e"), json!({"generation": 2, "session_keys": {}})] {
        let changes = control::operators::console::diff::changes(&old, &new);
        assert_eq!(changes.len(), 1);
        let told = format!("{changes:?}");
        assert!(!told.contains("0f0f") && !told.contains("1e1e"), "{told}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn save_adds_an_account_with_a_task() {
    let (deployment, browser) = signed_in().await;
    let page = browser.get("/console/accounts/+new").await.text();
    let mut form = typed(members(&page), "name", "trentvale");
    for (name, value) in [
        ("/versions", "small-1"),
        ("/key_hashes", &"b".repeat(64)),
        ("/default_task", "orders"),
        ("add", "orders"),
    ] {
        form = typed(form, name, value);
    }
    let saved = browser.post("/console/accounts/+new", &form).await;
    assert_eq!(saved.status, 200, "{}", saved.text());
    let document = http::get(deployment.hosts[0].operators, "/configuration").await.json();
    let task = &document["accounts"]["trentvale"]["tasks"]["orders"];
    assert_eq!(task["may_repeat"], json!(false));
}

/// Whatever bytes come as a form are read without a panic, and what we encode reads back.
#[test]
fn form_any_bytes() {
    fuzz::check(5_000, |bytes: &Vec<u8>| {
        let form = Form::parse(bytes);
        assert!(form.all("csrf").count() <= bytes.len());
        let text = String::from_utf8_lossy(bytes).into_owned();
        let again = Form::parse(encode(&[("name".to_owned(), text.clone())]).as_bytes());
        assert_eq!(again.get("name"), text);
    });
}
