//! Real `node` processes that read odd entries in the store's lists, and answers that are cut off.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use platform::names;
use standin::routed::{ScriptedReply, ScriptedServer};
use standin::server::start;
use support::nodes::{Fleet, entry};
use support::{ANY, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

const OK: ScriptedReply = ScriptedReply::Answer(200);

/// Entries that another writer may leave among those of backend servers.
fn odd_entries(address: SocketAddr) -> Vec<String> {
    let usual = entry(address, "v1").to_string();
    let with = |field: &str, value: &str| {
        let mut entry = entry(address, "v1");
        entry[field] = "PLACE".into();
        entry.to_string().replace("\"PLACE\"", value)
    };
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}1{}", "{\"a\":".repeat(50_000), "}".repeat(50_000));
    vec![
        nested(100_000),
        "[".repeat(100_000),
        objects.clone(),
        with("extra", &nested(100_000)),
        with("extra", &objects),
        with("extra", &nested(100)),
        with("service", &nested(100_000)),
        with("slots", "1e400"),
        with("slots", "99999999999999999999999"),
        with("slots", "4294967295"),
        with("slots", "-1"),
        with("born", "1e400"),
        with("born", "18446744073709551615"),
        with("coldRemainingMs", "1e308"),
        with("coldRemainingMs", "1e400"),
        with("sequence", "1e400"),
        with("address", "\"127.0.0.1:70000\""),
        with("address", "\"127.0.0.1:0\""),
        with("address", "\"127.0.0.1:-1\""),
        with("address", "\"127.0.0.1:99999999999999999999\""),
        usual.replace("\"state\"", "\"state\":\"ready\",\"state\""),
    ]
}

/// Guards against processes that end, or stop following a list, because of one odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_deeply_nested_too_large_or_with_a_port_out_of_range() {
    let mut fleet = Fleet::start("odd", "idempotent", &OK, &OK).await;
    // A closed port, so that an entry that is taken for a server's has nobody behind it.
    let nobody = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = nobody.local_addr().expect("address");
    drop(nobody);
    for (number, text) in odd_entries(address).into_iter().enumerate() {
        fleet.store.put_text(names::table::BACKENDS, &format!("odd-{number}"), text.clone());
        for key in ["rollout/odd", "other"] {
            fleet.store.put_text(names::table::OPERATORS, &format!("{key}-{number}"), text.clone());
        }
    }
    // A host that starts now reads all of them, and its peers pass them on.
    fleet.add_node("odd-late").await;
    let added = start(ANY, ScriptedServer::new(OK)).expect("backend server");
    let put = |key: &str| fleet.store.put(names::table::BACKENDS, key, &entry(added.address, "v1"));
    put("added");
    for server in &fleet.old {
        server.close();
    }
    for node in 0..fleet.nodes.len() {
        wait_until("the list is followed", async || {
            let reply = fleet.send(node, &format!("after-{node}")).await;
            reply.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }
    assert!(fleet.are_running());
}

/// A backend server that answers each connection with the next part of a head, and closes it.
struct CutServer {
    address: SocketAddr,
    /// Number of heads that were sent.
    sent: Arc<AtomicUsize>,
    _accepts: AbortOnDropHandle<()>,
}

impl CutServer {
    async fn start(heads: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let sent = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&sent);
        let accepts = AbortOnDropHandle::new(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_head(stream, heads.clone(), Arc::clone(&counted)));
            }
        }));
        Self { address, sent, _accepts: accepts }
    }
}

async fn send_head(mut stream: TcpStream, heads: Vec<String>, sent: Arc<AtomicUsize>) {
    let mut read = Vec::new();
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        // A host that only probes whether the server listens sends nothing.
        if stream.read_buf(&mut read).await.unwrap_or_default() == 0 {
            return;
        }
    }
    let request = String::from_utf8_lossy(&read).into_owned();
    let key = format!("{}: ", names::REQUEST_ID);
    let id = request.lines().find_map(|line| line.strip_prefix(&key)).unwrap_or_default();
    let head = &heads[sent.fetch_add(1, Ordering::Relaxed) % heads.len()];
    let _ = stream.write_all(head.replace("ID", id).as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Heads of answers that end too early, each a part of a whole one.
fn cut_heads() -> Vec<String> {
    let whole = format!(
        "HTTP/1.1 200 OK\r\n{}: ID\r\n{}: a.1.2\r\ncontent-length: 12\r\n\r\n",
        names::REQUEST_ID,
        names::SIGNATURE
    );
    // Also between the two characters that end a line.
    let ends = (1..whole.len()).step_by(5).chain(whole.len() - 3..whole.len());
    ends.map(|end| whole[..end].to_owned()).collect()
}

/// Guards against a 200 with a short body that looks whole, after a head that was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_off_inside_its_head_is_no_success() {
    for kind in ["non_idempotent", "idempotent", "streaming"] {
        let fleet = Fleet::start(&format!("cut-{kind}"), kind, &OK, &OK).await;
        let heads = cut_heads();
        let cut = CutServer::start(heads.clone()).await;
        fleet.store.put(names::table::BACKENDS, "cut", &entry(cut.address, "v1"));
        for server in 0..fleet.old.len() {
            fleet.store.remove(names::table::BACKENDS, &format!("v1-{server}"));
        }
        let mut round = 0;
        wait_until("each head was sent", async || {
            round += 1;
            let ids: Vec<_> = (0..8).map(|number| format!("cut-{round}-{number}")).collect();
            let sends = ids.iter().enumerate().map(|(number, id)| fleet.send(number % 2, id));
            for reply in futures::future::join_all(sends).await {
                // Until the change is known, the servers that are well answer.
                let is_other = reply.as_ref().is_some_and(|reply| reply.text() == "answer");
                let is_success =
                    reply.as_ref().is_some_and(|reply| reply.status < 500 && reply.is_whole);
                assert!(is_other || !is_success, "{kind}: {reply:?}");
            }
            cut.sent.load(Ordering::Relaxed) >= heads.len()
        })
        .await;
    }
}
