//! Claims of keys, as an entry makes them, and who holds their shards.

use std::time::Duration;

use coordination::home::{Home, Layout, account_key};
use coordination::message::Holder;
use policy::name::Name;
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::peer::Link;

use super::{Deployment, domain, wait_for};

pub const ACCOUNT: &str = "dwu-claims";
/// Longer than any call inside; an answer that takes so long is none.
const WITHIN: Duration = Duration::from_secs(20);

pub fn claim_of(key: &str, request: &str) -> Claim {
    let (account, key, request) = (Name::from(ACCOUNT), Name::from(key), Name::from(request));
    Claim { account, key, request, keep_ms: 3_600_000 }
}

/// The number of the host that an incarnation ran on.
pub fn host_number(incarnation: &str) -> Option<usize> {
    control::node::host_of(incarnation).strip_prefix("host-")?.parse().ok()
}

/// A claim over a connection that may be open already.
pub async fn claim_over(link: &Link, key: &str, request: &str) -> Option<ClaimAnswer> {
    let claim = claim_of(key, request);
    let call =
        link.call(WITHIN, |client, context| async move { client.claim(context, claim).await });
    call.await.ok()
}

/// A pin over a connection that may be open already.
pub async fn pin_over(link: &Link, session: &str, version: &str) -> Option<PinAnswer> {
    let (session, version) = (Name::from(session), Name::from(version));
    let pin = Pin { account: Name::from(ACCOUNT), session, version, keep_ms: 3_600_000 };
    let call = link.call(WITHIN, |client, context| async move { client.pin(context, pin).await });
    call.await.ok()
}

impl Deployment {
    pub async fn claim(&self, number: usize, key: &str, request: &str) -> Option<ClaimAnswer> {
        claim_over(&self.link(number), key, request).await
    }

    pub async fn abandon(&self, number: usize, key: &str, request: &str) -> bool {
        let claim = claim_of(key, request);
        let link = self.link(number);
        let told = link
            .call(WITHIN, |client, context| async move { client.abandon(context, claim).await });
        told.await.unwrap_or(false)
    }

    pub async fn pin(&self, number: usize, session: &str, version: &str) -> Option<PinAnswer> {
        pin_over(&self.link(number), session, version).await
    }

    /// Claims again and again, as a caller that retries, until the key is granted.
    pub async fn claim_until_granted(&self, number: usize, key: &str, request: &str) {
        wait_for(&format!("{key} granted to {request}"), || async {
            self.claim(number, key, request).await == Some(ClaimAnswer::Granted)
        })
        .await;
    }

    pub fn home(&self, key: &str) -> Home {
        let row = self.platform.row("shards", "layout").expect("a layout");
        let layout: Layout = serde_json::from_str(&row.value).expect("a layout");
        layout.home(&account_key(ACCOUNT, key)).expect("failure domains")
    }

    pub fn holder(&self, home: &Home) -> Holder {
        let row = self.platform.row("shards", &home.row_key());
        row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default()
    }

    /// Keys whose shard a host owns.
    pub fn keys_owned_by(&self, number: usize, count: usize) -> Vec<String> {
        let owned = |key: &String| host_number(&self.holder(&self.home(key)).owner) == Some(number);
        (0..).map(|index| format!("key-{index}")).filter(owned).take(count).collect()
    }

    /// Waits until every shard has owner and deputy, both on live hosts of its failure domain.
    pub async fn wait_for_pairs(&self, live: &[usize]) {
        let near = |incarnation: &str, home: &Home| {
            host_number(incarnation)
                .is_some_and(|n| live.contains(&n) && domain(n) == home.failure_domain)
        };
        let paired = || {
            let Some(row) = self.platform.row("shards", "layout") else { return false };
            let layout: Layout = serde_json::from_str(&row.value).expect("a layout");
            layout.failure_domains.iter().all(|failure_domain| {
                (0..layout.shards).all(|shard| {
                    let home = Home { failure_domain: failure_domain.clone(), shard };
                    let Holder { owner, deputy, .. } = self.holder(&home);
                    owner != deputy && near(&owner, &home) && near(&deputy, &home)
                })
            })
        };
        wait_for("pairs for all shards", || async { paired() }).await;
    }
}
