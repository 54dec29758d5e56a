//! The chestnutspur command: every process, and the operators' tools.

mod command;
mod exit;
mod http;
mod logging;
mod process;

use bpaf::{Args, ParseFailure};

use crate::exit::Exit;

fn main() -> std::process::ExitCode {
    let exit = match command::options().run_inner(Args::current_args()) {
        Ok(command) => command::run(command),
        Err(ParseFailure::Stderr(message)) => {
            eprintln!("{message:100}");
            Exit::Usage
        }
        Err(failure) => {
            // Help, version and completion are answers, not failures.
            failure.print_message(100);
            Exit::Done
        }
    };
    exit.into()
}
