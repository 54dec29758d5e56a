//! `chestnutspur bills`.

use wire::bill::Audit;

use super::status::Arguments;
use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

/// Has the control read every log, and prints what it counted; doubles and gaps are exit 1.
pub fn run(arguments: &Arguments) -> Exit {
    process::block_on(audit(arguments))
}

async fn audit(arguments: &Arguments) -> Exit {
    let answer = match Call::get("/bills").send(arguments.from).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            return Exit::Refused;
        }
    };
    command::print_json(&answer.body, arguments.json);
    match serde_json::from_slice::<Audit>(&answer.body) {
        Ok(audit) if audit.doubled == 0 && audit.gaps == 0 => Exit::Done,
        _ => Exit::Refused,
    }
}
