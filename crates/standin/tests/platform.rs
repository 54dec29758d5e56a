//! The platform stand-in keeps its own promises; a test that trusts a wrong one would hide faults.

mod common;

use bytes::Bytes;
use common::{any_port, request, until};
use hyper::{Method, Request, StatusCode};
use policy::name::Name;
use standin::client::Client;
use standin::fault::Down;
use standin::platform::fault::Faults;
use standin::platform::{self, Settings};
use wire::bill::{Batch, Bill};
use wire::host::{Host, HostState, List, Role};
use wire::platform::{Committed, Condition, Conflict, Row, Transaction, Write};

fn condition(key: &str, version: u64) -> Condition {
    Condition { table: "t".into(), key: key.into(), version }
}

fn write(key: &str, value: &str) -> Write {
    Write { table: "t".into(), key: key.into(), value: Some(value.to_owned()) }
}

fn transaction(conditions: Vec<Condition>, writes: Vec<Write>) -> Request<Bytes> {
    let body = serde_json::to_vec(&Transaction { conditions, writes }).unwrap();
    request(Method::POST, "/transactions", body)
}

fn put_absent(name: &str, body: &str) -> Request<Bytes> {
    let mut put = request(Method::PUT, &format!("/objects/{name}"), body.to_owned());
    put.headers_mut().insert("if-none-match", "*".parse().unwrap());
    put
}

fn batch(incarnation: &str, number: u64, requests: &[&str]) -> Request<Bytes> {
    let bill = |request: &&str| Bill {
        request: (*request).into(),
        log: Name::from("h1.a"),
        account: "a".into(),
        task: "t".into(),
        version: "v".into(),
        cost: 1.0,
        at: policy::time::Millis(1),
        whole: true,
    };
    let bills = requests.iter().map(bill).collect();
    let incarnation = Name::from(incarnation);
    let batch = Batch { incarnation: incarnation.clone(), number, writer: incarnation, bills };
    let body = serde_json::to_string(&batch).unwrap();
    put_absent(&wire::bill::object(&batch.incarnation, number), &body)
}

#[tokio::test]
async fn transaction_applies_all_or_nothing() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    let first = transaction(vec![condition("a", 0)], vec![write("a", "1"), write("b/c", "1")]);
    let answer = client.call(first).await.unwrap();
    let committed: Committed = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(committed.versions, [1, 1]);

    // One of two conditions fails: nothing of it may show.
    let conditions = vec![condition("b/c", 1), condition("a", 0)];
    let second = transaction(conditions, vec![write("a", "2"), write("d", "2")]);
    let answer = client.call(second).await.unwrap();
    assert_eq!(answer.status(), StatusCode::CONFLICT);
    let conflict: Conflict = serde_json::from_slice(answer.body()).unwrap();
    let row = Row { table: "t".into(), key: "a".into(), version: 1, value: "1".to_owned() };
    assert_eq!(conflict.rows, [row]);
    assert_eq!(platform.row("t", "d"), None);

    let answer = client.call(request(Method::GET, "/rows/t/b/c", "")).await.unwrap();
    let row: Row = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!((row.version, row.value.as_str()), (1, "1"));
    assert_eq!(platform.records().len(), 1);
}

#[tokio::test]
async fn transaction_race_has_one_winner() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let race = |value: usize| {
        let client = Client::new(platform.address);
        async move {
            let value = value.to_string();
            let race = transaction(vec![condition("a", 0)], vec![write("a", &value)]);
            client.call(race).await.unwrap().status()
        }
    };
    let statuses = futures::future::join_all((0..32).map(race)).await;
    assert_eq!(statuses.iter().filter(|status| **status == StatusCode::OK).count(), 1);
    assert_eq!(platform.row("t", "a").unwrap().version, 1);
}

#[tokio::test]
async fn object_is_put_once() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    for (text, status) in [("one", StatusCode::CREATED), ("two", StatusCode::PRECONDITION_FAILED)] {
        assert_eq!(client.call(put_absent("x/1", text)).await.unwrap().status(), status);
    }
    let answer = client.call(request(Method::GET, "/objects/x/1", "")).await.unwrap();
    assert_eq!(answer.body().as_ref(), b"one");
    let answer = client.call(request(Method::GET, "/objects?prefix=x%2F", "")).await.unwrap();
    assert_eq!(answer.body().as_ref(), br#"["x/1"]"#);
}

#[tokio::test]
async fn lost_answer_took_effect() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    platform.set_faults(Faults { lose_answers: 2, ..Faults::default() });
    let first = transaction(vec![condition("a", 0)], vec![write("a", "1")]);
    assert!(client.call(first).await.is_err());
    assert!(client.call(put_absent("x", "one")).await.is_err());
    assert_eq!(platform.row("t", "a").unwrap().value, "1");
    // The count is used up: the same put again is told that it exists.
    let again = client.call(put_absent("x", "one")).await.unwrap();
    assert_eq!(again.status(), StatusCode::PRECONDITION_FAILED);
}

#[tokio::test]
async fn slow_write_takes_effect_after_its_caller_left() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    platform.set_faults(Faults { delay_ms: 1000, ..Faults::default() });
    let put = client.call(put_absent("x", "late"));
    assert!(tokio::time::timeout(std::time::Duration::from_millis(20), put).await.is_err());
    until(|| platform.objects("").len() == 1).await;
}

#[tokio::test]
async fn faults_have_no_effect_on_rows() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    let attempt = || client.call(transaction(Vec::new(), vec![write("a", "1")]));
    platform.set_faults(Faults { down: Down::Cut, ..Faults::default() });
    assert!(attempt().await.is_err());
    platform.set_faults(Faults { down: Down::Unavailable, ..Faults::default() });
    assert_eq!(attempt().await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    platform.set_faults(Faults { writes_per_second: 1, ..Faults::default() });
    assert_eq!(attempt().await.unwrap().status(), StatusCode::OK);
    assert_eq!(attempt().await.unwrap().status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(platform.row("t", "a").unwrap().version, 1);
    platform.close();
    assert!(attempt().await.is_err());
    platform.open();
    platform.set_faults(Faults::default());
    while attempt().await.is_err() {}
    assert_eq!(platform.row("t", "a").unwrap().version, 2);
}

#[tokio::test]
async fn hosts_come_late() {
    let host = |state| Host {
        name: "h".into(),
        role: Role::Backend,
        address: "127.0.0.1:1".into(),
        failure_domain: "d".into(),
        pool: "p".into(),
        versions: Vec::new(),
        state,
    };
    let settings = Settings { hosts: vec![host(HostState::Live)], ..Settings::default() };
    let platform = platform::start(any_port(), settings).unwrap();
    let client = Client::new(platform.address);
    let mut seen = Vec::new();
    for lag_ms in [3_600_000, 0] {
        platform.set_faults(Faults { lag_ms, ..Faults::default() });
        platform.set_hosts(vec![host(HostState::Leaving)]);
        let answer = client.call(request(Method::GET, "/hosts", "")).await.unwrap();
        let list: List = serde_json::from_slice(answer.body()).unwrap();
        seen.push(list.hosts[0].state);
    }
    assert_eq!(seen, [HostState::Live, HostState::Leaving]);
}

#[tokio::test]
async fn bills_show_doubles_and_gaps() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    for put in [batch("c1", 0, &["a", "b"]), batch("c1", 2, &["c"]), batch("c2", 0, &["b"])] {
        assert_eq!(client.call(put).await.unwrap().status(), StatusCode::CREATED);
    }
    client.call(put_absent("bills/c2/0000000001", "no batch")).await.unwrap();
    let bills = platform.bills();
    assert_eq!(bills.ids(), ["a", "b", "c"].map(Name::from).into());
    assert_eq!(bills.doubled, [Name::from("b")]);
    assert_eq!(bills.gaps, ["bills/c1/0000000001"]);
    assert_eq!(bills.broken, [Name::from("bills/c2/0000000001")]);
    assert!((bills.cost() - 3.0).abs() < 1e-9);
}
