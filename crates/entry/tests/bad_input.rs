//! Checks that each mistake of a caller gets a clear refusal, and that the process continues to
//! serve.

mod common;

use common::bench::{Bench, KEY, chat_body, refusal, refused, send};
use hyper::{Method, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::refusal::{Code, Ran};

const CHAT: &str = "/v1/chat/completions";

async fn chat(bench: &Bench, headers: &[(&str, &str)], body: &str) -> (Code, Ran) {
    refused(&bench.call(Method::POST, CHAT, headers, body).await.unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_body_is_refused() {
    let bench = Bench::start().await;
    let bodies = [
        "",
        "{",
        "[]",
        "7",
        "{}",
        r#"{"model":7,"messages":[{}]}"#,
        r#"{"model":"feed"}"#,
        r#"{"model":"feed","messages":[]}"#,
        r#"{"model":"feed","messages":[{}],"stream":"yes"}"#,
        "{\"model\":\"\u{0}",
    ];
    for body in bodies {
        assert_eq!(chat(&bench, &[], body).await, (Code::BadRequest, Ran::No), "{body}");
    }
    assert!(bench.runs().is_empty());
    assert_eq!(bench.chat(&[], false).await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_body_is_not_quoted() {
    let bench = Bench::start().await;
    let body = r#"{"model": "feed", "messages": secret-herd-record"#;
    let answer = bench.call(Method::POST, CHAT, &[], body).await.unwrap();
    assert_eq!(refusal(&answer).code, Code::BadRequest);
    assert!(!String::from_utf8_lossy(answer.body()).contains("herd"));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_names_are_refused() {
    let bench = Bench::start().await;
    let known = chat_body("feed", false);
    let task = [("chestnutspur-task", "dance")];
    assert_eq!(chat(&bench, &task, &known).await, (Code::NotFound, Ran::No));
    assert_eq!(chat(&bench, &[], &chat_body("food", false)).await, (Code::NotFound, Ran::No));
    for (path, code) in [
        ("/services/nothing/x", Code::NotFound),
        ("/services/", Code::NotFound),
        ("/v1/models", Code::NotFound),
        (CHAT, Code::WrongMethod),
    ] {
        let answer = bench.call(Method::GET, path, &[], "").await.unwrap();
        assert_eq!(refused(&answer), (code, Ran::No), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn version_not_allowed_is_refused() {
    let mut document = common::bench::document();
    document["accounts"]["mill"]["versions"] = serde_json::json!(["feed-2"]);
    let bench = Bench::with(document, |_| {}).await;
    let body = chat_body("feed-1", false);
    assert_eq!(chat(&bench, &[], &body).await, (Code::NotAllowed, Ran::No));
    assert!(bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_account_is_refused() {
    let bench = Bench::start().await;
    for value in [None, Some("Bearer nobody"), Some("Basic a2V5"), Some("Bearer"), Some("")] {
        let mut request = Request::post(CHAT);
        if let Some(value) = value {
            request = request.header("authorization", value);
        }
        let body = bytes::Bytes::from(chat_body("feed", false));
        let answer = send(bench.callers, request.body(body).unwrap()).await.unwrap();
        assert_eq!(refused(&answer), (Code::UnknownAccount, Ran::No));
        assert!(!String::from_utf8_lossy(answer.body()).contains("nobody"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_headers_are_refused() {
    let bench = Bench::start().await;
    let body = chat_body("feed", false);
    let long = "k".repeat(300);
    for (name, value, code) in [
        ("chestnutspur-deadline", "soon", Code::BadRequest),
        ("chestnutspur-deadline", "-1", Code::BadRequest),
        ("chestnutspur-session", "cst1.a.b", Code::BadSession),
        ("chestnutspur-session", "", Code::BadRequest),
        ("chestnutspur-session", long.as_str(), Code::TooLarge),
    ] {
        assert_eq!(chat(&bench, &[(name, value)], &body).await, (code, Ran::No), "{name}");
    }
    let key = [("idempotency-key", long.as_str()), ("chestnutspur-task", "order")];
    assert_eq!(chat(&bench, &key, &body).await, (Code::TooLarge, Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn header_and_body_too_large_are_refused() {
    let bench = Bench::start().await;
    let body = chat_body("feed", false);
    let large = "x".repeat(5000);
    assert_eq!(chat(&bench, &[("x-large", &large)], &body).await, (Code::TooLarge, Ran::No));
    assert_eq!(chat(&bench, &[], &"x".repeat(9000)).await, (Code::TooLarge, Ran::No));
    assert_eq!(bench.chat(&[], false).await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_is_refused() {
    // The caller declares a body of ten bytes and sends three. After `slow_ms` the request is
    // refused, and no backend server ever receives it.
    let bench = Bench::start().await;
    let mut stream = TcpStream::connect(bench.callers).await.unwrap();
    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"content-length: 10\r\n\r\n{\"m").await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("too_slow"), "{answer}");
    assert!(bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone_while_sending_reaches_no_backend_server() {
    // The caller declares a body and goes away before sending it. No backend server receives the
    // request.
    let bench = Bench::start().await;
    let mut stream = TcpStream::connect(bench.callers).await.unwrap();
    let head = format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"content-length: 10\r\n\r\n{\"m").await.unwrap();
    drop(stream);
    assert_eq!(bench.chat(&[], false).await.unwrap().status(), 200);
    assert!(bench.runs().iter().all(|run| run.call.starts_with("POST")));
    assert!(!bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_http_does_not_stop_the_process() {
    let bench = Bench::start().await;
    for text in ["\u{1}\u{2}\u{3}\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n"] {
        let mut stream = TcpStream::connect(bench.callers).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // The process may reset the connection with or without an answer.
        let _ = stream.read_to_end(&mut answer).await;
    }
    assert_eq!(bench.chat(&[], false).await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_over_the_account_limit_is_refused() {
    let mut document = common::bench::document();
    document["accounts"]["mill"]["limit"] = serde_json::json!({"requests_per_second": 0.001});
    let bench = Bench::with(document, |_| {}).await;
    assert_eq!(bench.chat(&[], false).await.unwrap().status(), 200);
    let answer = bench.chat(&[], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::AccountLimit, Ran::No));
    assert!(refusal(&answer).retry_after_ms.is_some());
}
