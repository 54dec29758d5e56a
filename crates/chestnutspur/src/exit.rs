//! Exit codes of the subcommands.

/// How a subcommand ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Code 0: the command succeeded and every check that it makes passed.
    Success,
    /// Code 1: a request was refused, an operation failed or a check did not pass.
    Failure,
    /// Code 2: the command line or an input file has faults; nothing was started.
    Usage,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::from(0),
            Exit::Failure => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}
