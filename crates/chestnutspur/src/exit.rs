//! Exit codes.

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: done, and everything that was to hold held.
    Done,
    /// 1: refused, or something did not hold.
    Refused,
    /// 2: the command line or a file is wrong; nothing was started.
    Usage,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::from(0),
            Exit::Refused => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}
