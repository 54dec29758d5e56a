//! `chestnutspur report`.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::status;
use crate::exit::Exit;
use crate::process;

/// The reports there are.
#[derive(Clone, Debug, Bpaf)]
pub enum Report {
    /// Error budgets of the service levels, burnt over short and long windows
    #[bpaf(command)]
    Burn {
        /// A control's operators' address
        #[bpaf(argument("ADDR"))]
        from: SocketAddr,
        /// Print one JSON line
        json: bool,
    },
}

/// Prints one report.
pub fn run(report: Report) -> Exit {
    match report {
        Report::Burn { from, json } => process::block_on(status::show(from, "/burn", json)),
    }
}
