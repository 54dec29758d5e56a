//! Claims of idempotency keys and pins of caller-chosen sessions, at their home.

use policy::domain;
use policy::name::Name;

domain! {
    /// A request's wish to be the only run of its key.
    ///
    /// The home follows from account and key alone. A session token could name a nearer one, but
    /// a retry without the token would then find another home, and run again.
    pub struct Claim {
        /// The client account; keys of different accounts never meet.
        pub account: Name,
        /// The caller's `Idempotency-Key`.
        pub key: Name,
        /// The request that claims it. The same request may ask again (a lost answer).
        pub request: Name,
        /// How long the key is remembered at least, in milliseconds.
        pub keep_ms: u64,
    }

    /// What the home says to a claim.
    pub enum ClaimAnswer {
        /// This request, and no other, may be dispatched.
        Granted,
        /// Another request holds the key: it ran, is running or may have run.
        Taken {
            /// The request that holds it.
            request: Name,
        },
        /// The home could not be asked; nothing was granted.
        Unavailable {
            /// The failure domain that the key belongs to.
            home: Name,
            /// Whether an earlier run of the key is possible, as after a cold takeover.
            may_have_run: bool,
            /// When a later try can succeed.
            retry_after_ms: u64,
        },
    }

    /// A caller-chosen session's wish to stay on a version.
    pub struct Pin {
        /// The client account.
        pub account: Name,
        /// The caller's session id.
        pub session: Name,
        /// The version drawn for it, used only if it has none yet.
        pub version: Name,
        /// How long the pin is remembered after its last use, in milliseconds.
        pub keep_ms: u64,
    }

    /// What the home says to a pin.
    pub enum PinAnswer {
        /// The version the session is on, from now or from before.
        Pinned {
            /// The version.
            version: Name,
        },
        /// The home could not be asked.
        Unavailable {
            /// The failure domain that the session belongs to.
            home: Name,
            /// When a later try can succeed.
            retry_after_ms: u64,
        },
    }
}
