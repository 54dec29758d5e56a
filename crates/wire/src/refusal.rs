//! The body of refusals: answers that reject a request of a caller or of an operator.

use policy::domain;
use policy::name::Name;

domain! {
    /// Whether a refused request can have reached a backend server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Ran {
        /// No byte of the request has reached a backend server.
        No,
        /// The request may have reached a backend server.
        Unknown,
    }

    /// Reason for a refusal. Each reason has one HTTP status.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The request or its body is malformed.
        BadRequest,
        /// The request has no key or an unknown one.
        UnknownAccount,
        /// The account may not use the requested model, version, service or task.
        NotAllowed,
        /// The requested model, version, service or task does not exist.
        NotFound,
        /// The HTTP method is not allowed here.
        WrongMethod,
        /// The headers or the body exceed their size limit.
        TooLarge,
        /// The caller sent its request too slowly.
        TooSlow,
        /// The session's version was withdrawn.
        SessionEnded,
        /// The session token was not issued by this deployment.
        BadSession,
        /// Another request holds the idempotency key.
        KeyTaken,
        /// The failure domain that records the idempotency key or session can't be reached.
        HomeUnavailable,
        /// The account's limit is reached.
        AccountLimit,
        /// The pool of backend servers can't answer before the deadline.
        Overloaded,
        /// Backend servers crashed when they processed the request, so it is not sent to others for
        /// now.
        Held,
        /// No version that the request may use has a backend server.
        NoBackend,
        /// The backend server failed or broke off its answer.
        BackendFailed,
        /// The deadline passed.
        DeadlinePassed,
        /// Bills can't be held safely, so new requests are refused.
        BillsFull,
        /// The host has no configuration yet.
        NotReady,
        /// The process is shutting down.
        ShuttingDown,
    }

    /// Body of a refusal: `{"error":{…}}`.
    pub struct Body {
        /// The refusal itself.
        pub error: Refusal,
    }

    /// What a refusal tells the caller.
    pub struct Refusal {
        /// Reason, for programs.
        pub code: Code,
        /// Explanation, for people.
        pub message: String,
        /// Whether the request can have run.
        pub ran: Ran,
        /// Time after which a retry can succeed, in milliseconds; also sent as the header
        /// `Retry-After`, in seconds.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
        /// Id of the request.
        #[serde(default)]
        pub request: Option<Name>,
        /// Whether the request's idempotency key was granted to it. Then [`Ran::No`] also means
        /// that no other request with this key has run.
        #[serde(skip)]
        pub key_granted: bool,
    }
}

impl Code {
    /// HTTP status of a refusal for this reason.
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
    /// Refuses a request that did not run.
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

    /// Refuses a request that may have run.
    #[must_use]
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(code, message) }
    }

    /// Adds the time after which a retry can succeed, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
