//! Finds peers in the store and lists this host there.

use std::net::SocketAddr;
use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::domain;
use policy::listing::{Listing, Step};
use policy::name::Name;
use wire::store::{Error, Outcome, Transaction};

use super::Peers;
use crate::record;
use crate::store::Store;

/// Table in which hosts are listed; its keys are failure domain and name. The rows of a failure
/// domain are in a group of their own, so that changes in different failure domains don't wait for
/// each other.
const TABLE: &str = "nodes";

domain! {
    /// Row in which a host is listed.
    pub struct HostRow {
        /// Address at which the host listens for peers.
        pub address: SocketAddr,
        /// Strength class of the host's machine.
        #[serde(default)]
        pub class: u8,
        /// Port at which the host takes requests of hosts that reach no backend server; 0 if it
        /// takes none.
        #[serde(default)]
        pub forward: u16,
    }
}

/// A host that is listed in the store.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Name,
    /// Address at which the host listens for peers.
    pub address: SocketAddr,
    /// Strength class of the host's machine.
    pub class: u8,
    /// Address at which the host takes requests of hosts that reach no backend server; `None` if it
    /// takes none.
    pub forward: Option<SocketAddr>,
}

/// Reads which hosts are listed in a failure domain.
///
/// # Errors
/// If the store does not answer. The call can be repeated: it changes nothing.
pub async fn read_hosts(
    store: &impl Store,
    failure_domain: &Name,
) -> Result<Vec<ListedHost>, Error> {
    let prefix = prefix(failure_domain);
    let rows = store.rows(failure_domain, TABLE, &prefix).await?;
    let found = rows.rows.iter().filter_map(|row| {
        let listed = record::parse::<HostRow>(&row.value);
        let listed = listed.inspect_err(|error| {
            log::warn!(target: "peers", key:% = row.key, error:% = error;
                "row of a host can't be parsed");
        });
        let name = Name::from(row.key.strip_prefix(&prefix)?);
        let HostRow { address, class, forward } = listed.ok()?;
        let forward = (forward > 0).then_some(SocketAddr::new(address.ip(), forward));
        Some(ListedHost { name, address, class, forward })
    });
    Ok(found.collect())
}

/// Prefix of the keys of a failure domain's rows.
fn prefix(failure_domain: &Name) -> String {
    format!("{failure_domain}/")
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// After `delay`, lists this host unless it is listed already. Returns the peers that are
    /// listed.
    pub(super) async fn find(&self, mut listing: Listing, delay: Duration) -> Vec<ListedHost> {
        tokio::time::sleep(delay).await;
        let mut found = Vec::new();
        loop {
            let result = match listing.step(clock::steady()) {
                Step::Done => return found,
                Step::Wait(until) => {
                    let pause = Duration::from_millis(until.since(clock::steady()).max(1));
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Step::Write => self.write_own_row().await.map(|()| listing.record_write()),
                Step::Read => self.read_peers().await.and_then(|(hosts, is_listed)| {
                    found = hosts;
                    if listing.is_outdated(is_listed) {
                        return Err(Error::Refused(
                            "the store's answer is older than this host's row".into(),
                        ));
                    }
                    listing.record_read(is_listed);
                    Ok(())
                }),
            };
            if let Err(error) = result {
                log::warn!(target: "peers", error:% = error;
                    "peers not found in the store, retrying");
                listing.record_failure(rand::random(), clock::steady());
            }
        }
    }

    fn own_address(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().map_err(|error| Error::Refused(error.to_string()))
    }

    /// Writes the row of this host.
    async fn write_own_row(&self) -> Result<(), Error> {
        let listed = HostRow {
            address: self.own_address()?,
            class: self.watch.class,
            forward: self.forward,
        };
        let listed = record::serialize(&listed).map_err(Error::Malformed)?;
        let key = Name::from(format!("{}{}", prefix(&self.failure_domain), self.host));
        let change = record::put(TABLE, key, None, listed);
        let change = Transaction { group: self.failure_domain.clone(), ..change };
        // The era is recorded now, because a restore of the store before the lists are first read
        // loses this row too.
        if let Outcome::Committed(revision) = self.watch.store.commit(&change, None).await? {
            self.watch.record_era(revision.era);
        }
        Ok(())
    }

    /// The listed peers, and whether this host is listed.
    async fn read_peers(&self) -> Result<(Vec<ListedHost>, bool), Error> {
        let own_address = self.own_address()?;
        let found = read_hosts(&*self.watch.store, &self.failure_domain).await?.into_iter();
        let (own, others): (Vec<_>, Vec<_>) = found.partition(|host| host.address == own_address);
        let is_listed = own.iter().any(|host| host.name == self.host);
        Ok((others, is_listed))
    }
}
