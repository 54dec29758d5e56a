//! `chestnutspur apply`: sends a configuration document to a control.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use hyper::{Method, StatusCode};

use crate::exit::Exit;
use crate::http::{Call, Response};
use crate::{command, process};

/// Arguments of apply
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Address of a control's operators' port
    #[bpaf(argument("ADDR"))]
    pub to: SocketAddr,
    /// File with the operator's token [default: the environment variable CHESTNUTSPUR_TOKEN]
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Id of this change. A change is applied once however often it is sent with the same id, so an
    /// unanswered one can be retried [default: random]
    #[bpaf(argument("ID"))]
    pub change: Option<String>,
    /// Print the response as one JSON line
    pub json: bool,
    /// Configuration document; its generation is that of the configuration that it was edited from
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Checks the document, sends it and prints the response.
pub fn run(arguments: Arguments) -> Exit {
    let Some(text) = command::read_file(&arguments.file) else { return Exit::Usage };
    let Some(token) = read_token(&arguments) else { return Exit::Usage };
    if let Err(faults) = wire::configuration::check::parse(&text) {
        command::print_faults(&arguments.file, &faults);
        return Exit::Usage;
    }
    process::block_on(send(arguments, text, token))
}

fn read_token(arguments: &Arguments) -> Option<String> {
    let token = match &arguments.token_file {
        Some(file) => command::read_file(file)?,
        None => std::env::var("CHESTNUTSPUR_TOKEN")
            .map_err(|_| eprintln!("chestnutspur: set --token-file or CHESTNUTSPUR_TOKEN"))
            .ok()?,
    };
    Some(token.trim().to_owned())
}

async fn send(arguments: Arguments, text: String, token: String) -> Exit {
    let change = arguments.change.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let call = Call {
        method: Method::PUT,
        path: "/configuration",
        headers: vec![
            ("authorization", format!("Bearer {token}")),
            ("content-type", "application/json".to_owned()),
            ("chestnutspur-change", change.clone()),
        ],
        body: text.into(),
    };
    match call.send(arguments.to).await {
        Ok(Response { status, body }) => {
            command::print_json(&body, arguments.json);
            if status == StatusCode::OK { Exit::Success } else { Exit::Failure }
        }
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            eprintln!(
                "chestnutspur: retry with --change {change}; the change is applied only once"
            );
            Exit::Failure
        }
    }
}
