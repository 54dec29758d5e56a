//! Reads bills and configuration changes out of what the platform recorded.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use wire::bill::{Batch, Bill};

use super::store::Record;

/// Prefix of the names of bill log objects.
pub const BILLS_PREFIX: &str = "bills/";
/// The table in which control hosts keep configuration documents.
const CONFIGURATION_TABLE: &str = "configuration";
/// Key of the row in [`CONFIGURATION_TABLE`] that names the document in force.
const CURRENT_KEY: &str = "current";

domain! {
    /// The content of the bill logs.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Bills {
        /// All bills, repeated ones included, ordered by log and batch.
        pub bills: Vec<Bill>,
        /// Request ids of second and further bills for the same request.
        pub doubled: Vec<Name>,
        /// Names of absent batches that a later batch of their log follows.
        pub gaps: Vec<String>,
        /// Names of objects that can't be read as a batch, or hold another batch than their name
        /// says.
        pub broken: Vec<Name>,
    }

    /// A generation of the configuration that was accepted.
    pub struct AcceptedGeneration {
        /// Number of the generation.
        pub generation: u64,
        /// Id of the change that made the generation.
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
    /// The ids of all billed requests.
    #[must_use]
    pub fn ids(&self) -> BTreeSet<Name> {
        self.bills.iter().map(|bill| bill.request.clone()).collect()
    }

    /// Sum of the costs of all billed requests; a request with several bills counts once.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let cost_by_request: BTreeMap<&Name, f64> =
            self.bills.iter().map(|b| (&b.request, b.cost)).collect();
        cost_by_request.values().sum()
    }
}

/// Reads all bill logs from objects, which come sorted by name.
#[must_use]
pub fn read_bills<'a>(objects: impl Iterator<Item = (&'a str, &'a [u8])>) -> Bills {
    let mut all = Bills::default();
    let mut next_numbers: BTreeMap<Name, u64> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for (name, bytes) in objects {
        let batch = match serde_json::from_slice::<Batch>(bytes) {
            Ok(batch) if wire::bill::object_name(&batch.incarnation, batch.number) == name => batch,
            _ => {
                all.broken.push(name.into());
                continue;
            }
        };
        // Objects come sorted by name, so the batches of a log come in the order of their numbers.
        let expected = next_numbers.entry(batch.incarnation.clone()).or_default();
        let missing =
            (*expected..batch.number).map(|n| wire::bill::object_name(&batch.incarnation, n));
        all.gaps.extend(missing);
        *expected = batch.number + 1;
        let ids = batch.bills.iter().map(|bill| bill.request.clone());
        all.doubled.extend(ids.filter(|id| !seen.insert(id.clone())));
        all.bills.extend(batch.bills);
    }
    all
}

/// The generations that were accepted, in order.
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
