//! An entry process in front of two model engines, a rater and a plain service, fed by a stand-in
//! control.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusBuilder;
use policy::name::Name;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standin::engine::{self, Engine};
use standin::rater::{self, Rater};
use standin::server::Running;
use standin::service::{self, Service};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::host::{Host, HostState, List, Role};
use wire::peer::Key;
use wire::refusal::{Body, Code, Ran, Refusal};
use wire::settings::{Bounds, Entry, Peer, Secret};
use wire::view::View;

use super::control::{self, Fake};
use super::until_async;

/// API key of the caller, who belongs to the account `mill`.
pub const KEY: &str = "key-of-the-mill";
const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// Timeout of one exchange; an answer that has neither ended nor broken by then hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An answer with its complete body.
pub type Answer = Response<Bytes>;

/// The process under test and all servers around it.
pub struct Bench {
    /// Model engines; the host list names them `engine-0` and `engine-1`.
    pub engines: Vec<Running<Engine>>,
    /// Rating service.
    pub rater: Running<Rater>,
    /// Plain service `desk`.
    pub service: Running<Service>,
    /// State of the stand-in control: what it answers and what it received.
    pub control: Arc<Fake>,
    /// Listener of the stand-in control; taking and dropping it closes the control.
    pub running: Option<control::Running>,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the health and metrics interface.
    pub operators: SocketAddr,
    /// Cancelling it begins the shutdown of the process.
    pub stop: CancellationToken,
    /// Task that runs the process under test.
    pub process: JoinHandle<Result<(), entry::Error>>,
}

/// Configuration with one model, whose cheap and good versions share a pool, and one service.
pub fn document() -> Value {
    let hash: String = Sha256::digest(KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let version = |cost: f64, quality: f64| {
        json!({
            "model": "feed", "state": "live", "cost": cost, "pool": "models",
            "quality": {"plan": quality, "order": quality, "tag": quality},
            "first_byte_ms": 400, "between_bytes_ms": 400,
        })
    };
    let task = |target: f64, may_repeat: bool| json!({"quality_target": target, "may_repeat": may_repeat, "deadline_ms": 8000});
    json!({
        "generation": 1,
        "versions": {"feed-1": version(1.0, 0.6), "feed-2": version(5.0, 0.97)},
        "pools": {"models": {"slots": 8}, "desk": {"slots": 8}},
        "services": {"desk": {"pool": "desk", "deadline_ms": 8000, "cost": 0.5}},
        "accounts": {"mill": {
            "key_hashes": [hash], "versions": ["feed-1", "feed-2"], "services": ["desk"],
            "tasks": {"plan": task(0.9, true), "order": task(0.9, false), "tag": task(0.3, true)},
            "default_task": "plan",
        }},
        "session_keys": {"1": {"secret": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}},
    })
}

fn host(name: &str, role: Role, address: SocketAddr, pool: &str, versions: &[&str]) -> Host {
    Host {
        name: Name::from(name),
        role,
        address: Name::from(address.to_string()),
        failure_domain: "hal-a".into(),
        pool: pool.into(),
        versions: versions.iter().map(|version| Name::from(*version)).collect(),
        state: HostState::Live,
    }
}

/// A view that puts a document in force, without hosts.
pub fn view(document: &Value) -> View {
    View {
        incarnation: "control/1".into(),
        revision: 1,
        generation: document["generation"].as_u64().unwrap(),
        document: document.to_string(),
        entries: 1,
        ..View::default()
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn engine() -> Running<Engine> {
    let version = |share: f64| engine::Version {
        quality: [(Name::from(""), share)].into(),
        ..engine::Version::default()
    };
    let versions = [("feed-1".into(), version(1.0)), ("feed-2".into(), version(1.0))].into();
    engine::start(any_port(), engine::Settings { versions, ..engine::Settings::default() }).unwrap()
}

fn settings(control: SocketAddr) -> Entry {
    Entry {
        name: "entry-1".into(),
        failure_domain: "hal-a".into(),
        listen: any_port(),
        operators: any_port(),
        controls: vec![Peer {
            name: "control-1".into(),
            failure_domain: "hal-a".into(),
            address: control,
        }],
        peer_key: Secret::Text(PEER_KEY.to_owned()),
        log: "off".into(),
        bounds: Bounds { header_bytes: 4096, body_bytes: 8192, slow_ms: 300, in_flight: 1000 },
        rated_share: 0.0,
        drain_ms: 10_000,
    }
}

impl Bench {
    /// Starts a bench with the default document and settings.
    pub async fn start() -> Self {
        Self::with(document(), |_| {}).await
    }

    /// Starts a bench with the given document, and settings adjusted by `change`.
    pub async fn with(document: Value, change: impl FnOnce(&mut Entry)) -> Self {
        let engines = vec![engine(), engine()];
        let rater = rater::start(any_port(), rater::Faults::default()).unwrap();
        let desk = service::Settings { name: "desk".into(), ..service::Settings::default() };
        let service = service::start(any_port(), desk).unwrap();
        let mut view = view(&document);
        let both = ["feed-1", "feed-2"];
        view.hosts = List {
            hosts: vec![
                host("engine-0", Role::Backend, engines[0].address, "models", &both),
                host("engine-1", Role::Backend, engines[1].address, "models", &both),
                host("desk-0", Role::Backend, service.address, "desk", &[]),
                host("rater-0", Role::Rater, rater.address, "", &[]),
            ],
            ..List::default()
        };
        let control = control::fake(view);
        let key = Key::new(PEER_KEY.as_bytes().to_vec());
        let running = control::start(Arc::clone(&control), key).await;
        let mut settings = settings(running.address);
        change(&mut settings);
        let listeners = entry::Listeners::bind(&settings).await.unwrap();
        let callers = listeners.callers.local_addr().unwrap();
        let operators = listeners.operators.local_addr().unwrap();
        let stop = CancellationToken::new();
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let process = tokio::spawn(entry::run(settings, listeners, metrics, stop.clone()));
        let running = Some(running);
        let bench =
            Self { engines, rater, service, control, running, callers, operators, stop, process };
        bench.until_ready().await;
        bench
    }

    async fn until_ready(&self) {
        until_async("the process is ready", async || {
            tokio::time::sleep(POLL_INTERVAL).await;
            let ready = Request::get("/ready").body(Bytes::new()).unwrap();
            send(self.operators, ready).await.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    }

    /// Removes the second engine from the host list, so that the first gets every request.
    pub async fn only_first_engine(&self) {
        self.control
            .change(|view| view.hosts.hosts.retain(|host| host.name.as_str() != "engine-1"));
        self.settled().await;
    }

    /// Waits until the newest view is in force: publishes a view with a new service, and asks for
    /// that service until the process knows it.
    pub async fn settled(&self) {
        let marker = Name::from(format!("marker-{}", self.control.view.borrow().revision));
        self.control.change(|view| {
            let mut document: Value = serde_json::from_str(&view.document).unwrap();
            view.generation += 1;
            document["generation"] = json!(view.generation);
            let services = document["services"].as_object_mut().unwrap();
            services.insert(marker.to_string(), json!({"pool": "desk"}));
            view.document = document.to_string();
        });
        let path = format!("/services/{marker}/");
        until_async("the newest view is in force", async || {
            tokio::time::sleep(POLL_INTERVAL).await;
            let answer = self.call(Method::GET, &path, &[], "").await;
            // 403: the process knows the service, but the account may not use it. An unknown
            // service gives 404.
            answer.is_ok_and(|answer| answer.status() == 403)
        })
        .await;
    }

    /// Publishes a changed document and waits until it is in force.
    pub async fn change_document(&self, change: impl FnOnce(&mut Value)) {
        self.control.change(|view| {
            let mut document: Value = serde_json::from_str(&view.document).unwrap();
            change(&mut document);
            view.generation += 1;
            document["generation"] = json!(view.generation);
            view.document = document.to_string();
        });
        self.settled().await;
    }

    /// Sends any request with the caller's API key.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, Broken> {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("authorization", format!("Bearer {KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        send(self.callers, request.body(Bytes::from(body.to_owned())).unwrap()).await
    }

    /// Sends a request for a chat completion of the model `feed`.
    pub async fn chat(&self, headers: &[(&str, &str)], stream: bool) -> Result<Answer, Broken> {
        let body = chat_body("feed", stream);
        self.call(Method::POST, "/v1/chat/completions", headers, &body).await
    }

    /// Runs recorded by all engines.
    pub fn runs(&self) -> Vec<standin::run::Run> {
        self.engines.iter().flat_map(|engine| engine.runs()).collect()
    }

    /// Sets the same faults on all engines.
    pub fn fault(&self, faults: &standin::backend::Faults) {
        for engine in &self.engines {
            engine.set_faults(faults.clone());
        }
    }
}

/// Body of a request for a chat completion.
pub fn chat_body(model: &str, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "plan the next delivery"}]);
    json!({"model": model, "messages": messages, "stream": stream}).to_string()
}

/// An answer that did not arrive or broke off; holds its HTTP status if the head arrived.
#[derive(Debug)]
pub struct Broken(pub Option<u16>);

/// Sends a request on a new connection and reads the answer to its end.
pub async fn send(address: SocketAddr, request: Request<Bytes>) -> Result<Answer, Broken> {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, request)).await;
    answer.expect("the answer should end or break within ANSWER_TIMEOUT")
}

async fn exchange(address: SocketAddr, request: Request<Bytes>) -> Result<Answer, Broken> {
    let stream = TcpStream::connect(address).await.map_err(|_| Broken(None))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Broken(None))?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request.map(Full::new)).await.map_err(|_| Broken(None))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| Broken(Some(head.status.as_u16())))?;
    driver.abort();
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// The refusal in an answer's body; checks that it matches the status.
pub fn refusal(answer: &Answer) -> Refusal {
    let body: Body = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(body.error.code.status(), answer.status().as_u16());
    body.error
}

/// Code of the refusal in an answer, and whether the request may have run.
pub fn refused(answer: &Answer) -> (Code, Ran) {
    let refusal = refusal(answer);
    (refusal.code, refusal.ran)
}

/// Value of a header; empty if the answer has no such header.
pub fn header<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer.headers().get(name).map(|value| value.to_str().unwrap()).unwrap_or_default()
}

/// The stand-in engine's answer, parsed from the text of a stream or a whole body.
pub fn text(answer: &Answer) -> standin::answer::Answer {
    let text = match header(answer, "content-type") {
        "text/event-stream" => entry::rating::stream_text(answer.body()),
        _ => entry::rating::answer_text(answer.body()),
    };
    standin::answer::Answer::parse(&text.unwrap()).unwrap()
}
