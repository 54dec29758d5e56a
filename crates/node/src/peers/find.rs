//! Finds the other hosts of the failure domain in the store, and lists this one there.

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

/// The table in which hosts are listed, by failure domain and name; those of a domain lie in a group of
/// their own, so that the domains do not wait for each other's changes.
const TABLE: &str = "nodes";

domain! {
    /// A host's own row: where it listens.
    pub struct HostRow {
        /// The address.
        pub address: SocketAddr,
        /// Its strength.
        #[serde(default)]
        pub class: u8,
        /// The port at which it takes requests of hosts that reach no backend server; 0 if it takes none.
        #[serde(default)]
        pub forward: u16,
    }
}

/// A host as it is listed.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its strength.
    pub class: u8,
    /// Where it takes requests of hosts that reach no backend server, if it does.
    pub forward: Option<SocketAddr>,
}

/// The hosts that are listed in a failure domain.
///
/// # Errors
/// When the store does not say; reading has no effect.
pub async fn read_hosts(
    store: &impl Store,
    failure_domain: &Name,
) -> Result<Vec<ListedHost>, Error> {
    let prefix = prefix(failure_domain);
    let rows = store.rows(failure_domain, TABLE, &prefix).await?;
    let found = rows.rows.iter().filter_map(|row| {
        let listed = record::parse::<HostRow>(&row.value);
        let listed = listed.inspect_err(|error| {
            log::warn!(target: "peers", key:% = row.key, error:% = error; "row unreadable");
        });
        let name = Name::from(row.key.strip_prefix(&prefix)?);
        let HostRow { address, class, forward } = listed.ok()?;
        let forward = (forward > 0).then_some(SocketAddr::new(address.ip(), forward));
        Some(ListedHost { name, address, class, forward })
    });
    Ok(found.collect())
}

/// What the keys of a failure domain's rows begin with.
fn prefix(failure_domain: &Name) -> String {
    format!("{failure_domain}/")
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Lists this host after a while, unless it is listed, and finds the others that are.
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
                Step::Write => self.write_own_row().await.map(|()| listing.wrote()),
                Step::Read => self.read_peers().await.and_then(|(hosts, is_listed)| {
                    found = hosts;
                    if listing.is_outdated(is_listed) {
                        return Err(Error::Refused("an answer older than the row written".into()));
                    }
                    listing.read(is_listed);
                    Ok(())
                }),
            };
            if let Err(error) = result {
                log::warn!(target: "peers", error:% = error; "peers not found, tried again");
                listing.failed(rand::random(), clock::steady());
            }
        }
    }

    fn own_address(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().map_err(|error| Error::Refused(error.to_string()))
    }

    /// Writes this host's row.
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
        // Known from here on: a return from a copy before the lists are first read loses the row as well.
        if let Outcome::Committed(revision) = self.watch.store.commit(&change, None).await? {
            self.watch.record_era(revision.era);
        }
        Ok(())
    }

    /// The other hosts that are listed, and whether this one is.
    async fn read_peers(&self) -> Result<(Vec<ListedHost>, bool), Error> {
        let own_address = self.own_address()?;
        let found = read_hosts(&*self.watch.store, &self.failure_domain).await?.into_iter();
        let (own, others): (Vec<_>, Vec<_>) = found.partition(|host| host.address == own_address);
        let is_listed = own.iter().any(|host| host.name == self.host);
        Ok((others, is_listed))
    }
}
