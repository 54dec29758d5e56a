//! Claims of idempotency keys, and pins of caller-chosen sessions to versions.
//!
//! The home of a key or session is the failure domain that records its claim or pin.

use policy::domain;
use policy::name::Name;

domain! {
    /// Claims an idempotency key for a request, so that no other request with the key runs.
    ///
    /// Account and key alone determine the home. A session token could name a nearer home, but a
    /// retry without the token would then find another home and run again.
    pub struct Claim {
        /// The client account. The same key of another account is a different key.
        pub account: Name,
        /// The caller's `Idempotency-Key`.
        pub key: Name,
        /// Id of the request that claims the key. The request may repeat its claim if the answer is
        /// lost.
        pub request: Name,
        /// Shortest time for which the claim is remembered, in milliseconds.
        pub keep_ms: u64,
    }

    /// Answer to a [`Claim`].
    pub enum ClaimAnswer {
        /// The claiming request may be dispatched, and no other request with the key.
        Granted,
        /// Another request holds the key; that request is running, or it ran or may have run.
        Taken {
            /// Id of the request that holds the key.
            request: Name,
        },
        /// The home could not be reached, so nothing was granted.
        Unavailable {
            /// Failure domain that is the key's home.
            home: Name,
            /// Whether an earlier request with the key may have run, as is possible after a cold
            /// takeover of its shard.
            may_have_run: bool,
            /// Time after which a retry can succeed, in milliseconds.
            retry_after_ms: u64,
        },
    }

    /// Pins a caller-chosen session to a version.
    pub struct Pin {
        /// The client account.
        pub account: Name,
        /// Session id that the caller chose.
        pub session: Name,
        /// Version that was drawn for the session; ignored if the session is pinned already.
        pub version: Name,
        /// How long the pin is remembered after its last use, in milliseconds.
        pub keep_ms: u64,
    }

    /// Answer to a [`Pin`].
    pub enum PinAnswer {
        /// The session is pinned, by this request or an earlier one.
        Pinned {
            /// Version that the session stays on.
            version: Name,
        },
        /// The home could not be reached.
        Unavailable {
            /// Failure domain that is the session's home.
            home: Name,
            /// Time after which a retry can succeed, in milliseconds.
            retry_after_ms: u64,
        },
    }
}
