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
    pub struct Listed {
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
pub struct Found {
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
pub async fn listed(store: &impl Store, failure_domain: &Name) -> Result<Vec<Found>, Error> {
    let prefix = prefix(failure_domain);
    let rows = store.rows(failure_domain, TABLE, &prefix).await?;
    let found = rows.rows.iter().filter_map(|row| {
        let listed = record::read::<Listed>(&row.value);
        let listed = listed.inspect_err(|error| {
            log::warn!(target: "peers", key:% = row.key, error:% = error; "row unreadable");
        });
        let name = Name::from(row.key.strip_prefix(&prefix)?);
        let Listed { address, class, forward } = listed.ok()?;
        let forward = (forward > 0).then_some(SocketAddr::new(address.ip(), forward));
        Some(Found { name, address, class, forward })
    });
    Ok(found.collect())
}

/// What the keys of a failure domain's rows begin with.
fn prefix(failure_domain: &Name) -> String {
    format!("{failure_domain}/")
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Lists this host after a while, unless it is listed, and finds the others that are.
    pub(super) async fn find(&self, mut listing: Listing, delay: Duration) -> Vec<Found> {
        tokio::time::sleep(delay).await;
        let mut found = Vec::new();
        loop {
            let done = match listing.step(clock::steady()) {
                Step::Done => return found,
                Step::Wait(until) => {
                    let pause = Duration::from_millis(until.since(clock::steady()).max(1));
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Step::Write => self.list().await.map(|()| listing.record_write()),
                Step::Read => self.listed().await.and_then(|(hosts, is_listed)| {
                    found = hosts;
                    if listing.is_outdated(is_listed) {
                        return Err(Error::Refused("an answer older than the row written".into()));
                    }
                    listing.record_read(is_listed);
                    Ok(())
                }),
            };
            if let Err(error) = done {
                log::warn!(target: "peers", error:% = error; "peers not found, tried again");
                listing.record_failure(rand::random(), clock::steady());
            }
        }
    }

    fn own(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().map_err(|error| Error::Refused(error.to_string()))
    }

    /// Writes this host's row.
    async fn list(&self) -> Result<(), Error> {
        let listed =
            Listed { address: self.own()?, class: self.watch.class, forward: self.forward };
        let listed = record::write(&listed).map_err(Error::Malformed)?;
        let key = Name::from(format!("{}{}", prefix(&self.failure_domain), self.host));
        let change = record::change(TABLE, key, None, listed);
        let change = Transaction { group: self.failure_domain.clone(), ..change };
        // Known from here on: a return from a copy before the lists are first read loses the row as well.
        if let Outcome::Committed(revision) = self.watch.store.commit(&change, None).await? {
            self.watch.note_era(revision.era);
        }
        Ok(())
    }

    /// The other hosts that are listed, and whether this one is.
    async fn listed(&self) -> Result<(Vec<Found>, bool), Error> {
        let own = self.own()?;
        let found = listed(&*self.watch.store, &self.failure_domain).await?.into_iter();
        let (own, others): (Vec<_>, Vec<_>) = found.partition(|host| host.address == own);
        let is_listed = own.iter().any(|host| host.name == self.host);
        Ok((others, is_listed))
    }
}
