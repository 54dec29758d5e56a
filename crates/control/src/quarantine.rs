//! Quarantine marks and the platform's table: read from it, and written when it answers.

use log::warn;
use policy::name::Name;
use policy::revision::Revision;
use wire::gossip::Mark;
use wire::store::{Condition, Row, Transaction, Write};

use crate::configuration::{Error, decode};
use crate::marks::Marks;
use crate::store::Client;

/// The platform's table; its keys are versions.
pub const TABLE: &str = "quarantine";

/// Takes in what the table has and writes what it lacks.
///
/// # Errors
/// When the platform gives no answer; marks held stay in force without it.
pub async fn sync(marks: &Marks, platform: &Client) -> Result<(), Error> {
    let rows = platform.rows(TABLE).await?;
    for row in &rows {
        match decode::<Mark>(&row.value) {
            Ok(mark) => drop(marks.add(&mark)),
            Err(error) => warn!("exposure: row {} of the quarantine: {error}", row.key),
        }
    }
    for mark in marks.all() {
        let row = rows.iter().find(|row| row.key == mark.version);
        if row.and_then(|row| decode::<Mark>(&row.value).ok()).as_ref() != Some(&mark) {
            write(&mark, row, platform).await?;
        }
    }
    Ok(())
}

/// Only over the row that was read: another control's higher mark must not be lost. After a
/// conflict or a lost answer the next round reads again.
async fn write(mark: &Mark, row: Option<&Row>, platform: &Client) -> Result<(), Error> {
    let value = serde_json::to_string(mark).map_err(|e| Error::Malformed(e.to_string()))?;
    let (table, key) = (Name::from(TABLE), mark.version.clone());
    let version = row.map_or(Revision::NONE, |row| row.version);
    let condition = Condition { table: table.clone(), key: key.clone(), version };
    let write = Write { table, key, value: Some(value) };
    platform
        .commit(&Transaction {
            conditions: vec![condition],
            writes: vec![write],
            ..Transaction::default()
        })
        .await?;
    Ok(())
}
