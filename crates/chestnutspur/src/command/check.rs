//! `chestnutspur check`.

use std::path::Path;

use wire::configuration::check;
use wire::settings;

use crate::exit::Exit;

/// Checks a file; which of the two kinds it is, it says itself by having a `role` or not.
pub fn run(file: &Path) -> Exit {
    let Some(text) = super::read(file) else { return Exit::Usage };
    let is_settings = serde_json::from_str::<serde_json::Value>(&text)
        .is_ok_and(|value| value.get("role").is_some());
    let result = match is_settings {
        true => settings::parse(&text).map(|_| "settings".to_owned()),
        false => check::parse(&text).map(|d| format!("configuration, generation {}", d.generation)),
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
