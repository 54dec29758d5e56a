//! The stand-in platform behaves as documented: other tests rely on it, and a wrong stand-in would
//! hide faults of the system.

mod common;

use ::platform::names::call;
use ::platform::store::message::{Answer, Objects, Reference, Transaction};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use common::{any_port, request, wait_until};
use hyper::{Method, Request, StatusCode};
use policy::name::Name;
use standin::client::Client;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::platform::{self, Settings};
use wire::bill::{Batch, Bill};
use wire::host::{Host, HostState, Role};

fn reference(key: &str) -> Reference {
    Reference { table: "t".into(), key: key.into(), ..Reference::default() }
}

fn condition(key: &str, revision: u64) -> Reference {
    Reference { row_version: Some(revision), ..reference(key) }
}

fn write(key: &str, value: &str) -> Reference {
    Reference { value: Some(STANDARD.encode(value)), ..reference(key) }
}

fn transaction(expected: Vec<Reference>, writes: Vec<Reference>) -> Request<Bytes> {
    let remove = Vec::new();
    let body = serde_json::to_vec(&Transaction { expected, writes, remove }).unwrap();
    request(Method::POST, call::COMMIT, body)
}

fn get(key: &str) -> Request<Bytes> {
    let path = format!("{}?table=t&part=&from={key}&target={key}%00", call::READ);
    request(Method::GET, &path, "")
}

fn answer(body: &[u8]) -> Answer {
    serde_json::from_slice(body).unwrap()
}

fn put_absent(name: &str, body: &str) -> Request<Bytes> {
    let mut put = request(Method::PUT, &format!("{}/{name}", call::PUT_OBJECT), body.to_owned());
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
    put_absent(&wire::bill::object_name(&batch.incarnation, number), &body)
}

#[tokio::test]
async fn transaction_applies_all_or_nothing() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    let first = transaction(vec![condition("a", 0)], vec![write("a", "1"), write("b/c", "1")]);
    let committed = client.call(first).await.unwrap();
    assert_eq!(answer(committed.body()).row_version, 1);

    // The second of two conditions fails, so none of the writes may take effect.
    let conditions = vec![condition("b/c", 1), condition("a", 0)];
    let second = transaction(conditions, vec![write("a", "2"), write("d", "2")]);
    let conflict = client.call(second).await.unwrap();
    assert_eq!(conflict.status(), StatusCode::PRECONDITION_FAILED);
    let rows = answer(conflict.body()).rows;
    assert_eq!(rows.len(), 1);
    assert_eq!((rows[0].key.as_str(), rows[0].row_version), ("a", 1));
    assert_eq!(rows[0].value.as_deref(), Some(STANDARD.encode("1").as_str()));
    assert_eq!(platform.row("t", "d"), None);

    let read = answer(client.call(get("b/c")).await.unwrap().body());
    assert_eq!(read.rows.len(), 1);
    assert_eq!(read.rows[0].row_version, 1);
    assert_eq!(read.rows[0].value.as_deref(), Some(STANDARD.encode("1").as_str()));
    assert_eq!(platform.records().len(), 1);
}

#[tokio::test]
async fn transaction_over_the_limits_is_rejected() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    let many = (0..101).map(|number| write(&format!("k{number}"), "1")).collect();
    let long = vec![write("k", &"x".repeat(65_537))];
    for writes in [many, long] {
        let rejected = client.call(transaction(Vec::new(), writes)).await.unwrap();
        assert_eq!(rejected.status(), StatusCode::BAD_REQUEST);
    }
    assert!(platform.rows("t").is_empty());
}

#[tokio::test]
async fn concurrent_transactions_have_one_winner() {
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
    assert_eq!(platform.row("t", "a").unwrap().version.number, 1);
}

#[tokio::test]
async fn second_put_of_an_object_fails() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    for (text, status) in [("one", StatusCode::OK), ("two", StatusCode::PRECONDITION_FAILED)] {
        assert_eq!(client.call(put_absent("x/1", text)).await.unwrap().status(), status);
    }
    let path = format!("{}/x%2F1", call::GET_OBJECT);
    let object = client.call(request(Method::GET, &path, "")).await.unwrap();
    assert_eq!(object.body().as_ref(), b"one");
    let path = format!("{}?prefix=x%2F", call::LIST_OBJECTS);
    let listed = client.call(request(Method::GET, &path, "")).await.unwrap();
    let listed: Objects = serde_json::from_slice(listed.body()).unwrap();
    assert_eq!((listed.names.as_slice(), listed.has_more), (["x/1".to_owned()].as_slice(), false));
}

#[tokio::test]
async fn write_takes_effect_when_its_answer_is_lost() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    platform.set_faults(Faults { lose_answers: 2, ..Faults::default() });
    let first = transaction(vec![condition("a", 0)], vec![write("a", "1")]);
    assert!(client.call(first).await.is_err());
    assert!(client.call(put_absent("x", "one")).await.is_err());
    assert_eq!(platform.row("t", "a").unwrap().value, "1");
    // Both lost answers are used up: the same put is answered, and finds that the object exists.
    let again = client.call(put_absent("x", "one")).await.unwrap();
    assert_eq!(again.status(), StatusCode::PRECONDITION_FAILED);
}

#[tokio::test]
async fn slow_write_takes_effect_after_its_caller_has_gone() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    platform.set_faults(Faults { delay_ms: 1000, ..Faults::default() });
    let put = client.call(put_absent("x", "late"));
    assert!(tokio::time::timeout(std::time::Duration::from_millis(20), put).await.is_err());
    wait_until(|| platform.objects("").len() == 1).await;
}

#[tokio::test]
async fn rejected_writes_change_no_rows() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    let attempt = || client.call(transaction(Vec::new(), vec![write("a", "1")]));
    platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    assert!(attempt().await.is_err());
    platform.set_faults(Faults { down: Outage::Unavailable, ..Faults::default() });
    assert_eq!(attempt().await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    platform.set_faults(Faults { writes_per_second: 1, ..Faults::default() });
    assert_eq!(attempt().await.unwrap().status(), StatusCode::OK);
    assert_eq!(attempt().await.unwrap().status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(platform.row("t", "a").unwrap().version.number, 1);
    platform.close();
    assert!(attempt().await.is_err());
    platform.open();
    platform.set_faults(Faults::default());
    while attempt().await.is_err() {}
    assert_eq!(platform.row("t", "a").unwrap().version.number, 2);
}

#[tokio::test]
async fn host_list_is_seen_after_its_lag() {
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
        let path = format!("{}?table=hosts&part=", call::READ);
        let listed = answer(client.call(request(Method::GET, &path, "")).await.unwrap().body());
        let value = STANDARD.decode(listed.rows[0].value.as_deref().unwrap()).unwrap();
        seen.push(serde_json::from_slice::<Host>(&value).unwrap().state);
    }
    assert_eq!(seen, [HostState::Live, HostState::Leaving]);
}

#[tokio::test]
async fn bills_show_repeated_missing_and_broken_ones() {
    let platform = platform::start(any_port(), Settings::default()).unwrap();
    let client = Client::new(platform.address);
    for put in [batch("c1", 0, &["a", "b"]), batch("c1", 2, &["c"]), batch("c2", 0, &["b"])] {
        assert_eq!(client.call(put).await.unwrap().status(), StatusCode::OK);
    }
    client.call(put_absent("bills/c2/0000000001", "no batch")).await.unwrap();
    let bills = platform.bills();
    assert_eq!(bills.ids(), ["a", "b", "c"].map(Name::from).into());
    assert_eq!(bills.doubled, [Name::from("b")]);
    assert_eq!(bills.gaps, ["bills/c1/0000000001"]);
    assert_eq!(bills.broken, [Name::from("bills/c2/0000000001")]);
    assert!((bills.cost() - 3.0).abs() < 1e-9);
}
