//! A stand-in control that gives one view, grants each key once and records every bill.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use policy::name::Name;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;
use wire::bill::{Bill, BillAnswer, HoldRequest};
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::evidence::Report;
use wire::gossip::{Delta, Digest};
use wire::peer::Key;
use wire::rpc::Control;
use wire::shard::{Append, AppendReply, Holder, Home, Reply};
use wire::view::{View, ViewRequest};

/// How the stand-in control answers calls with bills.
#[derive(Clone, Copy, PartialEq)]
pub enum Bills {
    /// Answers that two controls hold the bills, and records them.
    Twice,
    /// Answers that it holds as many bills as it may.
    Full,
    /// Never answers; the call hangs.
    Silent,
}

/// What the stand-in control answers and what it has received.
pub struct Fake {
    /// View that the control gives to polls.
    pub view: watch::Sender<View>,
    /// Every bill received while `bills_mode` was [`Bills::Twice`], repeats included.
    pub bills: Mutex<Vec<Bill>>,
    /// Answer to further calls with bills.
    pub bills_mode: Mutex<Bills>,
    /// Request that holds a key, by account and key.
    pub keys: Mutex<HashMap<(Name, Name), Name>>,
    /// Whether claims take effect while their answers are lost.
    pub claims_lost: Mutex<bool>,
    /// Whether the homes of keys and sessions are unreachable: claims and pins take no effect.
    pub home_gone: Mutex<bool>,
    /// Whether claims take effect while their answers say that the home is unreachable.
    pub claims_unheard: Mutex<bool>,
    /// Version that a session is pinned to, by account and session.
    pub pins: Mutex<HashMap<(Name, Name), Name>>,
    /// Every report received.
    pub reports: Mutex<Vec<Report>>,
}

impl Fake {
    /// Changes the view and raises its revision, which ends waiting polls.
    pub fn change(&self, change: impl FnOnce(&mut View)) {
        self.view.send_modify(|view| {
            change(view);
            view.revision += 1;
        });
    }

    /// Bills received for one request.
    pub fn bills_of(&self, request: &str) -> Vec<Bill> {
        let bills = self.bills.lock().unwrap();
        bills.iter().filter(|bill| bill.request.as_str() == request).cloned().collect()
    }
}

/// Serves the calls of one connection.
#[derive(Clone)]
struct Server(Arc<Fake>);

impl Control for Server {
    async fn view(self, _: Context, poll: ViewRequest) -> View {
        let mut view = self.0.view.subscribe();
        let changed = view
            .wait_for(|view| view.revision > poll.revision || view.incarnation != poll.incarnation);
        let waited = tokio::time::timeout(Duration::from_millis(poll.wait_ms), changed).await;
        drop(waited);
        self.0.view.borrow().clone()
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimAnswer {
        let home = Name::from("hal-a");
        if *self.0.home_gone.lock().unwrap() {
            return ClaimAnswer::Unavailable { home, may_have_run: false, retry_after_ms: 1500 };
        }
        let (request, answer) = {
            let mut keys = self.0.keys.lock().unwrap();
            let holder = keys.entry((claim.account, claim.key)).or_insert(claim.request.clone());
            (claim.request, holder.clone())
        };
        let lost = *self.0.claims_lost.lock().unwrap();
        let unheard = *self.0.claims_unheard.lock().unwrap();
        match answer {
            _ if lost => std::future::pending().await,
            _ if unheard => {
                ClaimAnswer::Unavailable { home, may_have_run: false, retry_after_ms: 1500 }
            }
            holder if holder == request => ClaimAnswer::Granted,
            holder => ClaimAnswer::Taken { request: holder },
        }
    }

    async fn pin(self, _: Context, pin: Pin) -> PinAnswer {
        if *self.0.home_gone.lock().unwrap() {
            return PinAnswer::Unavailable { home: "hal-a".into(), retry_after_ms: 1500 };
        }
        let mut pins = self.0.pins.lock().unwrap();
        let key = (pin.account, pin.session);
        let version = match pins.get(&key) {
            Some(version) => version.clone(),
            None if pin.version.is_empty() => pin.version,
            None => pins.entry(key).or_insert(pin.version).clone(),
        };
        PinAnswer::Pinned { version }
    }

    async fn bill(self, _: Context, bills: Vec<Bill>) -> BillAnswer {
        let mode = *self.0.bills_mode.lock().unwrap();
        match mode {
            Bills::Silent => std::future::pending().await,
            Bills::Full => BillAnswer::Full,
            Bills::Twice => {
                self.0.bills.lock().unwrap().extend(bills);
                BillAnswer::Twice
            }
        }
    }

    async fn report(self, _: Context, report: Report) {
        self.0.reports.lock().unwrap().push(report);
    }

    async fn gossip(self, _: Context, _: Digest) -> Delta {
        Delta::default()
    }

    async fn document(self, _: Context, _: u64) -> Option<String> {
        None
    }

    async fn abandon(self, _: Context, claim: Claim) -> bool {
        let mut keys = self.0.keys.lock().unwrap();
        let key = (claim.account, claim.key);
        let held = keys.get(&key) == Some(&claim.request);
        if held {
            keys.remove(&key);
        }
        held
    }

    async fn owner_claim(self, _: Context, _: Home, _: Claim) -> Reply<ClaimAnswer> {
        Reply::Elsewhere { holder: Holder::default() }
    }

    async fn owner_pin(self, _: Context, _: Home, _: Pin) -> Reply<PinAnswer> {
        Reply::Elsewhere { holder: Holder::default() }
    }

    async fn owner_abandon(self, _: Context, _: Home, _: Claim) -> Reply<bool> {
        Reply::Elsewhere { holder: Holder::default() }
    }

    async fn changed(self, _: Context, _: Home) {}

    async fn shards(self, _: Context) -> wire::shard::ShardTable {
        wire::shard::ShardTable::default()
    }

    async fn append(self, _: Context, _: Append) -> AppendReply {
        AppendReply::Behind
    }

    async fn hold(self, _: Context, _: HoldRequest) -> bool {
        false
    }

    async fn release(self, _: Context, _: Name, _: Vec<Name>) {}
}

/// A running stand-in control; dropping it closes its port and all its connections.
pub struct Running {
    /// Address that the control listens on.
    pub address: SocketAddr,
    _accepts: AbortOnDropHandle<()>,
}

/// Starts a stand-in control on a free port.
pub async fn start(fake: Arc<Fake>, key: Key) -> Running {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepts = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (fake, key) = (Arc::clone(&fake), key.clone());
            connections.spawn(async move {
                let Ok(channel) = wire::peer::accept(stream, &key).await else { return };
                let calls = channel.execute(Server(fake).serve());
                calls.for_each_concurrent(None, |call| call).await;
            });
        }
    });
    Running { address, _accepts: AbortOnDropHandle::new(accepts) }
}

/// State of a stand-in control that gives `view` and holds all bills.
pub fn fake(view: View) -> Arc<Fake> {
    Arc::new(Fake {
        view: watch::Sender::new(view),
        bills: Mutex::default(),
        bills_mode: Mutex::new(Bills::Twice),
        keys: Mutex::default(),
        claims_lost: Mutex::new(false),
        home_gone: Mutex::new(false),
        claims_unheard: Mutex::new(false),
        pins: Mutex::default(),
        reports: Mutex::default(),
    })
}
