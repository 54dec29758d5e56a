//! `chestnutspur status`: shows a control's view of the deployment.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

/// Arguments of status and bills
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Address of a control's operators' port
    #[bpaf(argument("ADDR"))]
    pub from: SocketAddr,
    /// Print one JSON line
    pub json: bool,
}

/// Prints the control's view of the deployment.
pub fn run(arguments: &Arguments) -> Exit {
    process::block_on(show(arguments.from, "/status", arguments.json))
}

/// Reads a path of a control and prints the response.
pub async fn show(from: SocketAddr, path: &str, compact: bool) -> Exit {
    match Call::get(path).send(from).await {
        Ok(response) => {
            command::print_json(&response.body, compact);
            if response.status.is_success() { Exit::Success } else { Exit::Failure }
        }
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            Exit::Failure
        }
    }
}
