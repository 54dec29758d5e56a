//! What passes between controls, and between control and entry.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Deployment, document, document_with_slots, http, wait_for};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::gossip::{Digest, Mark};
use wire::peer::{Error, Key, Link};
use wire::view::{View, ViewRequest};

const WITHIN: Duration = Duration::from_secs(8);

fn digest(generation: u64) -> Digest {
    Digest {
        from: "host-9.1".into(),
        failure_domain: "domain-9".into(),
        generation,
        ..Digest::default()
    }
}

// A stranger in the network dials a control. Without the shared key it must learn nothing and
// change nothing: not by tarpc with another key, and not by sending bytes of its own.
#[tokio::test(flavor = "multi_thread")]
async fn accept_unauthenticated_peer_refused() {
    let deployment = Deployment::start(1).await;
    deployment.first_document().await;
    let stranger = Link::new(deployment.hosts[0].peers, Key::new(b"quite another key".to_vec()));
    let answer = stranger
        .call(WITHIN, |client, context| async move { client.document(context, 0).await })
        .await;
    assert!(matches!(answer, Err(Error::Unauthenticated)), "{answer:?}");
    let mut raw = TcpStream::connect(deployment.hosts[0].peers).await.expect("a connection");
    raw.write_all(&[7; 512]).await.expect("it takes bytes");
    let mut answer = Vec::new();
    // The control sends its challenge and its proof of ours, then closes; a reset is as good.
    let _ = raw.read_to_end(&mut answer).await;
    assert!(answer.len() <= 64, "{} bytes came back", answer.len());
}

/// A peer that hands out whatever text it was given.
async fn peer_that_hands_out(text: String) -> std::net::SocketAddr {
    use futures::StreamExt;
    use tarpc::server::Channel;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let key = Key::new(common::PEER_KEY.as_bytes().to_vec());
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(channel) = wire::peer::accept(stream, &key).await else { continue };
            let text = text.clone();
            let calls = channel.execute(wire::rpc::Control::serve(Old { text }));
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    address
}

#[derive(Clone)]
struct Old {
    text: String,
}

impl wire::rpc::Control for Old {
    async fn view(self, _: tarpc::context::Context, _: ViewRequest) -> View {
        View::default()
    }
    async fn claim(
        self,
        _: tarpc::context::Context,
        _: wire::claim::Claim,
    ) -> wire::claim::ClaimAnswer {
        wire::claim::ClaimAnswer::Granted
    }
    async fn pin(
        self,
        _: tarpc::context::Context,
        pin: wire::claim::Pin,
    ) -> wire::claim::PinAnswer {
        wire::claim::PinAnswer::Pinned { version: pin.version }
    }
    async fn bill(
        self,
        _: tarpc::context::Context,
        _: Vec<wire::bill::Bill>,
    ) -> wire::bill::BillAnswer {
        wire::bill::BillAnswer::Full
    }
    async fn report(self, _: tarpc::context::Context, _: wire::evidence::Report) {}
    async fn gossip(self, _: tarpc::context::Context, _: Digest) -> wire::gossip::Delta {
        wire::gossip::Delta { digest: digest(9), ..Default::default() }
    }
    async fn document(self, _: tarpc::context::Context, _: u64) -> Option<String> {
        Some(self.text)
    }
    async fn abandon(self, _: tarpc::context::Context, _: wire::claim::Claim) -> bool {
        false
    }
    async fn owner_claim(
        self,
        _: tarpc::context::Context,
        _: wire::shard::Home,
        _: wire::claim::Claim,
    ) -> wire::shard::Reply<wire::claim::ClaimAnswer> {
        wire::shard::Reply::Answer(wire::claim::ClaimAnswer::Granted)
    }
    async fn owner_pin(
        self,
        _: tarpc::context::Context,
        _: wire::shard::Home,
        pin: wire::claim::Pin,
    ) -> wire::shard::Reply<wire::claim::PinAnswer> {
        wire::shard::Reply::Answer(wire::claim::PinAnswer::Pinned { version: pin.version })
    }
    async fn owner_abandon(
        self,
        _: tarpc::context::Context,
        _: wire::shard::Home,
        _: wire::claim::Claim,
    ) -> wire::shard::Reply<bool> {
        wire::shard::Reply::Answer(false)
    }
    async fn changed(self, _: tarpc::context::Context, _: wire::shard::Home) {}
    async fn shards(self, _: tarpc::context::Context) -> wire::shard::ShardTable {
        wire::shard::ShardTable::default()
    }
    async fn append(
        self,
        _: tarpc::context::Context,
        _: wire::shard::Append,
    ) -> wire::shard::AppendReply {
        wire::shard::AppendReply::Behind
    }
    async fn hold(self, _: tarpc::context::Context, _: wire::bill::HoldRequest) -> bool {
        false
    }
    async fn release(
        self,
        _: tarpc::context::Context,
        _: policy::name::Name,
        _: Vec<policy::name::Name>,
    ) {
    }
}

// A peer says it has a newer generation but hands out an old document, as one could that was
// resumed after a long pause in the middle of an exchange. Taking the peer's word for the number
// would put a withdrawn version back into use.
#[tokio::test(flavor = "multi_thread")]
async fn adopt_never_an_old_document_from_a_peer() {
    let deployment = Deployment::start(1).await;
    deployment.first_document().await;
    let answer = deployment.put(0, &document_with_slots(1, 9), "second").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let old = peer_that_hands_out(document(1).to_string()).await;
    let asked = Arc::new(Mutex::new(0_u64));
    wait_for("several exchanges with the old peer", || {
        let (link, asked) = (deployment.link(0), asked.clone());
        async move {
            let digest = Digest { address: old.to_string().into(), ..digest(9) };
            let answer = link
                .call(WITHIN, |client, context| async move { client.gossip(context, digest).await })
                .await;
            let mut asked = asked.lock().expect("no panic holds it");
            *asked += u64::from(answer.is_ok());
            *asked > 20
        }
    })
    .await;
    let in_force = http::get(deployment.hosts[0].operators, "/configuration").await.json();
    assert_eq!(in_force["generation"], 2);
    assert_eq!(in_force["pools"]["engines"]["slots"], 9);
}

// A quarantine mark reaches a control while a document that touches something else is accepted.
// The version must stay out on every host until the operator clears it by the document.
#[tokio::test(flavor = "multi_thread")]
async fn marks_spread_and_outlive_unrelated_changes() {
    let deployment = Deployment::start(3).await;
    deployment.first_document().await;
    let mark = Mark { version: "small-2".into(), generation: 1, reason: "tests say so".to_owned() };
    hand_over(&deployment, &mark).await;
    wait_for("the mark everywhere", || quarantined_on(&deployment, 3)).await;
    let answer = deployment.put(0, &document_with_slots(1, 9), "second").await;
    let hosts = json!(["host-0", "host-1", "host-2"]);
    assert_eq!(answer.json()["in_force"], hosts, "{}", answer.text());
    assert!(quarantined_on(&deployment, 3).await);
    let mut cleared = document(2);
    cleared["versions"]["small-2"]["cleared"] = json!(2);
    let answer = deployment.put(1, &cleared, "third").await;
    assert_eq!(answer.json()["in_force"], hosts, "{}", answer.text());
    wait_for("the mark void everywhere", || quarantined_on(&deployment, 0)).await;
}

/// Gives a control a mark as a peer that has it would.
async fn hand_over(deployment: &Deployment, mark: &Mark) {
    let (marks, listener) = (vec![mark.clone()], "127.0.0.1:0");
    let listener = tokio::net::TcpListener::bind(listener).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(marked_peer(listener, marks));
    let digest = Digest { address: address.to_string().into(), marks: 1, ..digest(0) };
    let link = deployment.link(0);
    let answer =
        link.call(WITHIN, |client, context| async move { client.gossip(context, digest).await });
    answer.await.expect("an answer");
}

async fn marked_peer(listener: tokio::net::TcpListener, marks: Vec<Mark>) {
    use futures::StreamExt;
    use tarpc::server::Channel;
    let key = Key::new(common::PEER_KEY.as_bytes().to_vec());
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(channel) = wire::peer::accept(stream, &key).await else { continue };
        let marks = marks.clone();
        let calls = channel.execute(tarpc::server::serve(move |_, _| {
            let delta = wire::gossip::Delta { digest: digest(0), marks, ..Default::default() };
            async move { Ok(wire::rpc::ControlResponse::Gossip(delta)) }
        }));
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

async fn quarantined_on(deployment: &Deployment, hosts: usize) -> bool {
    let mut count = 0;
    for number in 0..deployment.hosts.len() {
        let view = deployment.view(number, ViewRequest::default()).await;
        count += usize::from(view.quarantined.iter().any(|version| &**version == "small-2"));
    }
    count == hosts
}

// An entry waits for the next view. It must be woken by the change, get the document once, and
// stand in the status at what it has, not at what was sent to it.
#[tokio::test(flavor = "multi_thread")]
async fn view_wakes_the_entry_and_tells_where_it_stands() {
    let deployment = Deployment::start(2).await;
    deployment.first_document().await;
    let ask = ViewRequest { entry: "host-0".into(), wait_ms: 5_000, ..ViewRequest::default() };
    let first = deployment.view(0, ask.clone()).await;
    assert!(first.document.contains("small-1"));
    let next =
        ViewRequest { incarnation: first.incarnation.clone(), revision: first.revision, ..ask };
    let waiting = view_of_generation(&deployment, next.clone(), 2);
    let change = document_with_slots(1, 9);
    let (second, answer) = futures::join!(waiting, deployment.put(1, &change, "second"));
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(second.document.contains("small-1"));
    assert_eq!(entry_generation(&deployment).await, Some(1), "it has not said that it has 2");
    let next = ViewRequest { revision: second.revision, wait_ms: 0, ..next };
    let third = deployment.view(0, next).await;
    assert_eq!((third.generation, third.document.as_str()), (2, ""), "it has the document");
    assert_eq!(entry_generation(&deployment).await, Some(2));
}

/// Asks on as an entry does, until it is told that generation.
async fn view_of_generation(
    deployment: &Deployment,
    mut ask: ViewRequest,
    generation: u64,
) -> View {
    loop {
        let view = deployment.view(0, ask.clone()).await;
        if view.generation == generation {
            return view;
        }
        ask.revision = view.revision;
    }
}

async fn entry_generation(deployment: &Deployment) -> Option<u64> {
    let status = http::get(deployment.hosts[1].operators, "/status").await.json();
    let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
    let host = hosts.into_iter().find(|host| host["host"] == "host-0");
    host.and_then(|host| host["entry"].as_u64())
}
