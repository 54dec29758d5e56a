//! The body of every refusal, to callers and operators alike.

use policy::domain;
use policy::name::Name;

domain! {
    /// Whether the request can have reached a backend server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Ran {
        /// Not one byte of it has.
        No,
        /// It may have.
        Unknown,
    }

    /// Why a request was refused; each has one HTTP status.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// Not an HTTP request or body we take.
        BadRequest,
        /// No or unknown key.
        UnknownAccount,
        /// The account may not use what it asked for.
        NotAllowed,
        /// No such model, version, service or task.
        NotFound,
        /// Wrong HTTP method.
        WrongMethod,
        /// Header or body over its bound.
        TooLarge,
        /// The caller sent its request too slowly.
        TooSlow,
        /// The session's version was withdrawn.
        SessionEnded,
        /// The session token is not one of ours.
        BadSession,
        /// Another request holds the idempotency key.
        KeyTaken,
        /// The home of the key or session is out of reach.
        HomeUnavailable,
        /// The account's limit is reached.
        AccountLimit,
        /// The pool can't answer before the deadline.
        Overloaded,
        /// Servers ended when they ran the request, so it is not sent to more of them for now.
        Held,
        /// No version that may be used has a backend server.
        NoBackend,
        /// The backend server failed or broke off.
        BackendFailed,
        /// The deadline passed.
        DeadlinePassed,
        /// Bills can't be kept safe.
        BillsFull,
        /// No configuration yet.
        NotReady,
        /// The process is shutting down.
        ShuttingDown,
    }

    /// The body: `{"error":{…}}`.
    pub struct Body {
        /// The one member.
        pub error: Refusal,
    }

    /// What the caller learns.
    pub struct Refusal {
        /// For programs.
        pub code: Code,
        /// For people.
        pub message: String,
        /// Whether it can have run.
        pub ran: Ran,
        /// When a later try can succeed, in milliseconds; also sent as `Retry-After`, in seconds.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
        /// The request's id.
        #[serde(default)]
        pub request: Option<Name>,
        /// The request's idempotency key was granted to it, so "not run" holds of the key too.
        #[serde(skip)]
        pub key_granted: bool,
    }
}

impl Code {
    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadSession => 400,
            Self::UnknownAccount => 401,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::WrongMethod => 405,
            Self::TooSlow => 408,
            Self::KeyTaken => 409,
            Self::SessionEnded => 410,
            Self::TooLarge => 413,
            Self::AccountLimit => 429,
            Self::BackendFailed => 502,
            Self::HomeUnavailable
            | Self::Overloaded
            | Self::Held
            | Self::NoBackend
            | Self::BillsFull
            | Self::NotReady
            | Self::ShuttingDown => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after_ms: None,
            request: None,
            key_granted: false,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(code, message) }
    }

    /// Says when a later try can succeed.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
