//! `chestnutspur apply`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use hyper::{Method, StatusCode};

use crate::exit::Exit;
use crate::http::{Answer, Call};
use crate::{command, process};

/// What to send, and where
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// A control's operators' address
    #[bpaf(argument("ADDR"))]
    pub to: SocketAddr,
    /// File that holds the operator's token; else the environment's CHESTNUTSPUR_TOKEN
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Id of this change; the same id again is the same change, so an unanswered one can be sent
    /// again [default: random]
    #[bpaf(argument("ID"))]
    pub change: Option<String>,
    /// Print the answer as one JSON line
    pub json: bool,
    /// The document; its generation is the one it was made from
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Sends the document and prints what became of it.
pub fn run(arguments: Arguments) -> Exit {
    let Some(text) = command::read(&arguments.file) else { return Exit::Usage };
    let Some(token) = token(&arguments) else { return Exit::Usage };
    if let Err(faults) = wire::configuration::check::parse(&text) {
        command::print_faults(&arguments.file, &faults);
        return Exit::Usage;
    }
    process::block_on(send(arguments, text, token))
}

fn token(arguments: &Arguments) -> Option<String> {
    let token = match &arguments.token_file {
        Some(file) => command::read(file)?,
        None => std::env::var("CHESTNUTSPUR_TOKEN")
            .map_err(|_| eprintln!("chestnutspur: no --token-file and no CHESTNUTSPUR_TOKEN"))
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
        Ok(Answer { status, body }) => {
            command::print_json(&body, arguments.json);
            if status == StatusCode::OK { Exit::Done } else { Exit::Refused }
        }
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            eprintln!("chestnutspur: send it again with --change {change}: it is taken once");
            Exit::Refused
        }
    }
}
