//! The stand-ins for a plain service and a rater, and the pass-through, answer as documented.

mod common;

use bytes::Bytes;
use common::{any_port, chat, quick_engine, request};
use hyper::{Method, Request, StatusCode};
use standin::backend::Faults;
use standin::client::Client;
use standin::service::{Echo, Settings};
use standin::{draw, engine, passthrough, rater, service};
use wire::backend::{REQUEST_ID, Rating, RatingRequest};

fn order(id: &str, body: &'static str) -> Request<Bytes> {
    let mut order = request(Method::POST, "/orders?farm=7", body);
    order.headers_mut().insert(REQUEST_ID, id.parse().unwrap());
    order
}

#[tokio::test]
async fn service_echoes_and_counts_orders() {
    let settings = Settings { name: "desk".into(), ..Settings::default() };
    let service = service::start(any_port(), settings).unwrap();
    let client = Client::new(service.address);
    let answer = client.call(order("r1", "feed")).await.unwrap();
    let echo: Echo = serde_json::from_slice(answer.body()).unwrap();
    let expected = Echo {
        service: "desk".into(),
        call: "POST /orders?farm=7".into(),
        digest: draw::digest("feed").into(),
        request: "r1".into(),
    };
    assert_eq!(echo, expected);
    assert_eq!(answer.headers()[REQUEST_ID], "r1");

    // An order whose answer was cut took effect, so the same order sent again counts twice.
    service.set_faults(Faults { cut_after: Some(0), only: Some(1), ..Faults::default() });
    assert!(client.call(order("r2", "more feed")).await.is_err());
    client.call(order("r3", "more feed")).await.unwrap();
    client.call(request(Method::GET, "/orders", "")).await.unwrap();
    let counts = [(draw::digest("feed").into(), 1), (draw::digest("more feed").into(), 2)];
    assert_eq!(service.orders(), counts.into());
}

#[tokio::test]
async fn rater_reads_quality_and_limits_its_rate() {
    let rater = rater::start(any_port(), rater::Faults::default()).unwrap();
    let client = Client::new(rater.address);
    let rate = |answer: &str| {
        let rate = RatingRequest {
            request: "r1".to_owned(),
            version: "v1".to_owned(),
            task: "tag".to_owned(),
            answer: answer.to_owned(),
        };
        client.call(request(Method::POST, "/rate", serde_json::to_vec(&rate).unwrap()))
    };
    for (text, good) in [("answer good v1 r1 d", true), ("answer bad v1 r1 d word5", false)] {
        let answer = rate(text).await.unwrap();
        assert_eq!(serde_json::from_slice::<Rating>(answer.body()).unwrap().good, good);
    }
    assert_eq!(rate("good").await.unwrap().status(), StatusCode::BAD_REQUEST);
    assert_eq!(rater.records().len(), 2);
    rater.set_faults(rater::Faults { per_second: 1, ..rater::Faults::default() });
    rate("answer good v1 r1 d").await.unwrap();
    let rejected = rate("answer good v1 r1 d").await.unwrap();
    assert_eq!(rejected.status(), StatusCode::TOO_MANY_REQUESTS);
}

#[tokio::test]
async fn passthrough_changes_no_answer_and_reports_a_closed_target() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let passthrough = passthrough::start(any_port(), engine.address).unwrap();
    let direct = Client::new(engine.address);
    let proxied = Client::new(passthrough.address);
    for stream in [false, true, false] {
        let chat_request = || chat("r1", "v1", "tag this", stream);
        let expected = direct.call(chat_request()).await.unwrap();
        let answer = proxied.call(chat_request()).await.unwrap();
        assert_eq!(answer.headers()[REQUEST_ID], "r1");
        assert_eq!(answer.body(), expected.body());
    }
    engine.close();
    assert!(matches!(
        proxied.call(chat("r1", "v1", "tag this", false)).await,
        Ok(answer) if answer.status() == StatusCode::BAD_GATEWAY
    ));
}
