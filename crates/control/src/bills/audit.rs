//! Reads every log and counts: ids, doubles, missing numbers.

use std::collections::{BTreeMap, HashSet};

use futures::{StreamExt, TryStreamExt};
use wire::bill::{Audit, Batch};

use crate::store::{Client, Error};

/// Objects read at a time.
const READS: usize = 16;

/// Reads all there is.
pub async fn run(platform: &Client, pending: u64) -> Result<Audit, Error> {
    let names = platform.objects("bills/").await?;
    let gaps = gaps(&names);
    let reads = names.into_iter().map(|name| read(platform.clone(), name));
    let batches: Vec<Batch> = futures::stream::iter(reads).buffered(READS).try_collect().await?;
    let mut audit = Audit { gaps, pending, ..Audit::default() };
    let mut seen = HashSet::new();
    let mut doubled = HashSet::new();
    for bill in batches.iter().flat_map(|batch| &batch.bills) {
        match seen.insert(&bill.request) {
            true => audit.cost += bill.cost,
            false => _ = doubled.insert(&bill.request),
        }
    }
    audit.bills = seen.len() as u64;
    audit.doubled = doubled.len() as u64;
    Ok(audit)
}

async fn read(platform: Client, name: String) -> Result<Batch, Error> {
    let Some(bytes) = platform.object(&name).await? else {
        return Err(Error::Malformed(format!("{name} is listed but absent")));
    };
    serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(format!("{name}: {e}")))
}

/// Numbers missing between 0 and the highest of each log.
fn gaps(names: &[String]) -> u64 {
    let mut logs = BTreeMap::<&str, (u64, u64)>::new();
    for name in names {
        let Some((log, number)) = name.rsplit_once('/') else { continue };
        let Ok(number) = number.parse::<u64>() else { continue };
        let (count, top) = logs.entry(log).or_default();
        *count += 1;
        *top = (*top).max(number + 1);
    }
    logs.values().map(|(count, top)| top.saturating_sub(*count)).sum()
}
