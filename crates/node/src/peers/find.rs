//! Finds the other hosts of the failure domain in the store, and lists this one there.

use std::net::SocketAddr;
use std::time::Duration;

use gateway::Codec;
use policy::domain;
use policy::name::Name;
use wire::store::{Error, Rows};

use super::Peers;
use crate::record;
use crate::store::Store;

/// The table in which hosts are listed, by failure domain and name.
const TABLE: &str = "nodes";
/// Hosts remembered at most.
pub const PEERS_MAX: usize = 128;
/// Pause after a failed call of the store.
const PAUSE: Duration = Duration::from_secs(1);

domain! {
    /// A host's own row: where it listens.
    pub struct Listed {
        /// The address.
        pub address: SocketAddr,
    }
}

/// A host as it is listed.
pub struct Found {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Finds the other hosts that are listed, and lists this one unless it is. Of two hosts that are
    /// listed at the same time the one that reads later finds the other, and makes itself known to
    /// it.
    pub(super) async fn find(&self) -> Vec<Found> {
        loop {
            match self.try_find().await {
                Ok(found) => return found,
                Err(error) => {
                    // Nobody is waited for: the lists are read, or had from whoever is heard of.
                    self.watch.found(&[]);
                    log::warn!(target: "peers", error:% = error; "peers not found, tried again");
                }
            }
            tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    async fn try_find(&self) -> Result<Vec<Found>, Error> {
        let own = self.socket.local_addr().map_err(|error| Error::Refused(error.to_string()))?;
        let prefix = format!("{}/", self.failure_domain);
        let listed = record::write(&Listed { address: own }).map_err(Error::Malformed)?;
        let key = Name::from(format!("{prefix}{}", self.host));
        // A host that starts again is listed already, and its callers wait.
        let rows = match self.is_first_start {
            true => Rows::default(),
            false => self.watch.store.rows(TABLE, &prefix).await?,
        };
        let is_listed = rows.rows.iter().any(|row| row.key == key && row.value == listed);
        let rows = match is_listed {
            true => rows,
            false => {
                self.watch.store.commit(&record::change(TABLE, key, None, listed), None).await?;
                self.watch.store.rows(TABLE, &prefix).await?
            }
        };
        let found = rows.rows.iter().filter_map(|row| {
            let listed = record::read::<Listed>(&row.value);
            let listed = listed.inspect_err(|error| {
                log::warn!(target: "peers", key:% = row.key, error:% = error; "row unreadable");
            });
            let name = Name::from(row.key.strip_prefix(&prefix)?);
            Some(Found { name, address: listed.ok()?.address })
        });
        Ok(found.filter(|host| host.address != own).take(PEERS_MAX).collect())
    }
}
