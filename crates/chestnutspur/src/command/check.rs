//! `chestnutspur check`.

use std::path::Path;

use wire::configuration::check;
use wire::fault::Fault;
use wire::{routing, settings};

use crate::exit::Exit;

/// Checks a file; which kind it is, it says itself: settings have a `role`, the platform's table of
/// routes has `routes`, and our own configuration has neither.
pub fn run(file: &Path) -> Exit {
    let Some(text) = super::read(file) else { return Exit::Usage };
    let value = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
    let has = |member: &str| value.get(member).is_some();
    let result = match () {
        () if has("role") => settings::parse(&text).map(|_| "settings".to_owned()),
        () if has("routes") => table(&text),
        () => check::parse(&text).map(|d| format!("configuration, generation {}", d.generation)),
    };
    match result {
        Ok(kind) => {
            println!("{}: {kind}: no faults", file.display());
            Exit::Done
        }
        Err(faults) => {
            super::print_faults(file, &faults);
            Exit::Usage
        }
    }
}

/// Checks the platform's table of routes; faults are named by our own names of its members.
fn table(text: &str) -> Result<String, Vec<Fault>> {
    let table = platform::document::parse_configuration(text.as_bytes());
    let table = table.map_err(|error| vec![Fault::at("", error)])?;
    match routing::check(&table) {
        faults if faults.is_empty() => Ok(format!("table of routes, version {}", table.version)),
        faults => Err(faults),
    }
}
