//! What entries and peers ask of this control, each call handed to its controller.

use std::sync::Arc;

use log::info;
use policy::name::Name;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::bill::{Bill, BillAnswer, HoldRequest};
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::evidence::Report;
use wire::gossip::{Delta, Digest};
use wire::peer::Key;
use wire::rpc::Control;
use wire::shard::{Append, AppendReply, Home, Reply, ShardTable};
use wire::view::{View, ViewRequest};

use crate::accept;
use crate::node;
use crate::process::Process;

/// Serves one connection's calls.
#[derive(Clone)]
struct Server {
    process: Arc<Process>,
}

impl Control for Server {
    async fn view(self, _: Context, ask: ViewRequest) -> View {
        self.process.views.answer(ask).await
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimAnswer {
        self.process.shards.claim(claim).await
    }

    async fn abandon(self, _: Context, claim: Claim) -> bool {
        self.process.shards.abandon(claim).await
    }

    async fn pin(self, _: Context, pin: Pin) -> PinAnswer {
        self.process.shards.pin(pin).await
    }

    async fn bill(self, _: Context, bills: Vec<Bill>) -> BillAnswer {
        self.process.ledger.add(bills).await
    }

    async fn report(self, _: Context, report: Report) {
        self.process.exposure.report(report);
    }

    async fn gossip(self, _: Context, digest: Digest) -> Delta {
        let now = node::now();
        if let Some(forwarded) = digest.forwarded.clone() {
            self.process.exposure.forwarded(&digest.from, forwarded);
        }
        let mut delta = self.process.gossip.answer(&digest, now);
        if digest.wants_entries {
            delta.entries = self.process.views.standing(now);
        }
        delta
    }

    async fn document(self, _: Context, generation: u64) -> Option<String> {
        let in_force = self.process.configuration.in_force();
        match in_force.generation {
            0 => None,
            held if held >= generation => Some(in_force.text.clone()),
            _ => None,
        }
    }

    async fn owner_claim(self, _: Context, home: Home, claim: Claim) -> Reply<ClaimAnswer> {
        self.process.shards.owner_claim(home, claim).await
    }

    async fn owner_pin(self, _: Context, home: Home, pin: Pin) -> Reply<PinAnswer> {
        self.process.shards.owner_pin(home, pin).await
    }

    async fn owner_abandon(self, _: Context, home: Home, claim: Claim) -> Reply<bool> {
        self.process.shards.owner_abandon(home, claim).await
    }

    async fn shards(self, _: Context) -> ShardTable {
        self.process.shards.known()
    }

    async fn changed(self, _: Context, home: Home) {
        self.process.shards.changed(home).await;
    }

    async fn append(self, _: Context, append: Append) -> AppendReply {
        self.process.shards.append(append).await
    }

    async fn hold(self, _: Context, hold: HoldRequest) -> bool {
        self.process.ledger.hold(hold).await
    }

    async fn release(self, _: Context, log: Name, requests: Vec<Name>) {
        self.process.ledger.release(log, requests).await;
    }
}

/// Accepts connections until asked to stop.
pub async fn serve(
    listener: TcpListener,
    key: Key,
    process: Arc<Process>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let serve = |stream| connection(stream, key.clone(), process.clone(), stop.clone());
    accept::each(listener, tasks, stop.clone(), serve).await;
}

async fn connection(stream: TcpStream, key: Key, process: Arc<Process>, stop: CancellationToken) {
    let channel = match wire::peer::accept(stream, &key).await {
        Ok(channel) => channel,
        Err(error) => {
            metrics::counter!("peers_refused_total").increment(1);
            info!("control: connection refused: {error}");
            return;
        }
    };
    let calls = channel.execute(Server { process }.serve());
    let each = futures::StreamExt::for_each(calls, |call| {
        tokio::spawn(call);
        std::future::ready(())
    });
    tokio::select! {
        () = each => {}
        () = stop.cancelled() => {}
    }
}
