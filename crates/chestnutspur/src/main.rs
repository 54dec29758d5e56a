//! The `chestnutspur` binary: the long-running processes and the operators' tools.

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
            // bpaf returns the output of --help, --version and shell completion as a failure too.
            failure.print_message(100);
            Exit::Success
        }
    };
    exit.into()
}
