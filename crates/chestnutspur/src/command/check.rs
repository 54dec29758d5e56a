//! `chestnutspur check`: finds the faults of a file without starting anything.

use std::path::Path;

use wire::configuration::check;
use wire::fault::Fault;
use wire::{routing, settings};

use crate::exit::Exit;

/// Checks a file. Its members tell its kind: settings have a `role`, the platform's routing table
/// has `routes`, and a configuration document has neither.
pub fn run(file: &Path) -> Exit {
    let Some(text) = super::read_file(file) else { return Exit::Usage };
    let value = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
    let has_member = |member: &str| value.get(member).is_some();
    let result = match () {
        () if has_member("role") => settings::parse(&text).map(|_| "settings".to_owned()),
        () if has_member("routes") => check_routing_table(&text),
        () => check::parse(&text)
            .map(|document| format!("configuration, generation {}", document.generation)),
    };
    match result {
        Ok(kind) => {
            println!("{}: {kind}: no faults", file.display());
            Exit::Success
        }
        Err(faults) => {
            super::print_faults(file, &faults);
            Exit::Usage
        }
    }
}

/// Checks the platform's routing table. Faults name its members as `wire::routing` does, not as the
/// platform's document does.
fn check_routing_table(text: &str) -> Result<String, Vec<Fault>> {
    let table = platform::document::parse_configuration(text.as_bytes());
    let table = table.map_err(|error| vec![Fault::at("", error)])?;
    match routing::check(&table) {
        faults if faults.is_empty() => Ok(format!("routing table, version {}", table.version)),
        faults => Err(faults),
    }
}
