//! `chestnutspur bills`: counts the bills in the object store.

use wire::bill::Audit;

use super::status::Arguments;
use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

/// Has the control read all bill logs of the object store, and prints its counts. Duplicated bills
/// and gaps lead to exit code 1.
pub fn run(arguments: &Arguments) -> Exit {
    process::block_on(audit(arguments))
}

async fn audit(arguments: &Arguments) -> Exit {
    let response = match Call::get("/bills").send(arguments.from).await {
        Ok(response) => response,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            return Exit::Failure;
        }
    };
    command::print_json(&response.body, arguments.json);
    match serde_json::from_slice::<Audit>(&response.body) {
        Ok(audit) if audit.doubled == 0 && audit.gaps == 0 => Exit::Success,
        _ => Exit::Failure,
    }
}
