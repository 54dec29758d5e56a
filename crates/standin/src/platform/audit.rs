//! What the platform's own records say about bills and configurations.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use wire::bill::{Batch, Bill};

use super::store::Record;

/// Where the bill logs are.
pub const BILLS_PREFIX: &str = "bills/";
/// Controls' table of documents.
const CONFIGURATION_TABLE: &str = "configuration";
/// Its row that says which is in force.
const CURRENT_KEY: &str = "current";

domain! {
    /// What the bill logs hold.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Bills {
        /// Every bill, in the order of logs and batches, doubles included.
        pub bills: Vec<Bill>,
        /// Request ids that stand more than once.
        pub doubled: Vec<Name>,
        /// Names of batches missing before the last one of their log.
        pub gaps: Vec<String>,
        /// Objects that are no batch, or not the one their name says.
        pub broken: Vec<Name>,
    }

    /// A generation accepted.
    pub struct AcceptedGeneration {
        /// Its number.
        pub generation: u64,
        /// The change id it was accepted under.
        pub change: Name,
    }

    /// The part of the row `configuration/current` that audits need.
    struct Current {
        generation: u64,
        #[serde(default)]
        change: Name,
    }
}

impl Bills {
    /// Distinct request ids.
    #[must_use]
    pub fn ids(&self) -> BTreeSet<Name> {
        self.bills.iter().map(|bill| bill.request.clone()).collect()
    }

    /// Sum of costs, doubles counted once.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let once: BTreeMap<&Name, f64> = self.bills.iter().map(|b| (&b.request, b.cost)).collect();
        once.values().sum()
    }
}

/// Reads all bill logs.
#[must_use]
pub fn bills<'a>(objects: impl Iterator<Item = (&'a str, &'a [u8])>) -> Bills {
    let mut audit = Bills::default();
    let mut next: BTreeMap<Name, u64> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for (name, bytes) in objects {
        let batch = match serde_json::from_slice::<Batch>(bytes) {
            Ok(batch) if wire::bill::object(&batch.incarnation, batch.number) == name => batch,
            _ => {
                audit.broken.push(name.into());
                continue;
            }
        };
        // Objects come sorted by name, so a log's batches come in the order of their numbers.
        let expected = next.entry(batch.incarnation.clone()).or_default();
        let missing = (*expected..batch.number).map(|n| wire::bill::object(&batch.incarnation, n));
        audit.gaps.extend(missing);
        *expected = batch.number + 1;
        let ids = batch.bills.iter().map(|bill| bill.request.clone());
        audit.doubled.extend(ids.filter(|id| !seen.insert(id.clone())));
        audit.bills.extend(batch.bills);
    }
    audit
}

/// Generations accepted, in order.
#[must_use]
pub fn accepted_generations(records: &[Record]) -> Vec<AcceptedGeneration> {
    let writes = records.iter().flat_map(|record| match record {
        Record::Transaction { transaction, .. } => transaction.writes.as_slice(),
        Record::Put { .. } => &[],
    });
    let rows =
        writes.filter(|write| &*write.table == CONFIGURATION_TABLE && &*write.key == CURRENT_KEY);
    let values = rows.filter_map(|write| write.value.as_deref());
    let current = values.filter_map(|value| serde_json::from_str::<Current>(value).ok());
    current
        .map(|row| AcceptedGeneration { generation: row.generation, change: row.change })
        .collect()
}
