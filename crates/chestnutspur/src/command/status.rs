//! `chestnutspur status`.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

/// Which control to ask, and how to print its answer
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// A control's operators' address
    #[bpaf(argument("ADDR"))]
    pub from: SocketAddr,
    /// Print one JSON line
    pub json: bool,
}

/// Prints what the control knows of the deployment.
pub fn run(arguments: &Arguments) -> Exit {
    process::block_on(show(arguments.from, "/status", arguments.json))
}

/// Reads a path of a control and prints the answer.
pub async fn show(from: SocketAddr, path: &str, compact: bool) -> Exit {
    match Call::get(path).send(from).await {
        Ok(answer) => {
            command::print_json(&answer.body, compact);
            if answer.status.is_success() { Exit::Done } else { Exit::Refused }
        }
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            Exit::Refused
        }
    }
}
