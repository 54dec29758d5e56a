//! The design compared with: a key is a row of the platform's table, inserted if absent.
//!
//! Claims that come in during one write go with the next, as one transaction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use control::store::{Client, Outcome};
use policy::name::Name;
use tokio::sync::{mpsc, oneshot};
use wire::store::{Condition, Transaction, Write};

/// Keys of one transaction at most: each is a condition and a write of the hundred that the store
/// takes.
pub const KEYS_MAX: usize = 50;
const TABLE: &str = "claims";

struct Asked {
    key: Name,
    request: Name,
    answer: oneshot::Sender<bool>,
}

/// Claims of one host.
pub struct Table {
    asked: mpsc::UnboundedSender<Asked>,
}

impl Table {
    /// Starts its writer.
    pub fn start(platform: SocketAddr, keys_max: usize) -> Arc<Self> {
        let (asked, claims) = mpsc::unbounded_channel();
        let client = Client::new(platform).within(Duration::from_secs(1));
        tokio::spawn(write_all(client, claims, keys_max));
        Arc::new(Self { asked })
    }

    /// Whether the request holds the key; none without an answer.
    pub async fn claim(&self, key: &str, request: &str) -> Option<bool> {
        let (answer, answered) = oneshot::channel();
        let asked = Asked { key: Name::from(key), request: Name::from(request), answer };
        self.asked.send(asked).ok()?;
        answered.await.ok()
    }
}

async fn write_all(platform: Client, mut claims: mpsc::UnboundedReceiver<Asked>, keys_max: usize) {
    let mut group = Vec::new();
    loop {
        if group.is_empty() {
            group.extend(claims.recv().await);
        }
        while group.len() < keys_max {
            let Ok(asked) = claims.try_recv() else { break };
            group.push(asked);
        }
        // Nobody waits for these any more.
        group.retain(|asked| !asked.answer.is_closed());
        if !group.is_empty() && !write(&platform, &mut group).await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// One transaction; leaves those in the group that must be tried again.
async fn write(platform: &Client, group: &mut Vec<Asked>) -> bool {
    let mut transaction = Transaction::default();
    let mut seen = std::collections::BTreeSet::new();
    for asked in group.iter().filter(|asked| seen.insert(asked.key.clone())) {
        let (table, key) = (Name::from(TABLE), asked.key.clone());
        transaction.conditions.push(Condition {
            table: table.clone(),
            key: key.clone(),
            version: 0.into(),
        });
        transaction.writes.push(Write { table, key, value: Some(asked.request.to_string()) });
    }
    match platform.commit(&transaction).await {
        Ok(Outcome::Committed(_)) => {
            let holders: std::collections::BTreeMap<Name, Name> =
                group.iter().rev().map(|a| (a.key.clone(), a.request.clone())).collect();
            for asked in group.drain(..) {
                _ = asked.answer.send(holders.get(&asked.key) == Some(&asked.request));
            }
            true
        }
        Ok(Outcome::Conflict(conflict)) => {
            for row in conflict {
                let held = |asked: &mut Asked| asked.key == row.key;
                for asked in group.extract_if(.., held) {
                    _ = asked.answer.send(*asked.request == *row.value);
                }
            }
            true
        }
        // After a lost answer the next try finds its own rows.
        Err(_) => false,
    }
}
