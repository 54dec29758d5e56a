//! Headers and small bodies of messages with callers, backend servers and the rating service.

use policy::domain;

/// Id of a request that is sent to a backend server; the answer must repeat it.
pub const REQUEST_ID: &str = "x-request-id";
/// Version that the backend server is asked to run the request on.
pub const VERSION: &str = "chestnutspur-version";
/// The caller's session: a token that this deployment issued, or a name that the caller chose.
pub const SESSION: &str = "chestnutspur-session";
/// Task of the caller's request.
pub const TASK: &str = "chestnutspur-task";
/// Time that the caller still waits for the answer, in milliseconds.
pub const DEADLINE: &str = "chestnutspur-deadline";
/// Idempotency key that the caller chose.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set in all answers of a backend server that is leaving.
pub const LEAVING: &str = "chestnutspur-leaving";
/// Priority of a request, which is sent to model engines; 0 is the most urgent.
pub const PRIORITY: &str = "chestnutspur-priority";

domain! {
    /// Answer of a backend server to `GET /load`.
    #[derive(Default)]
    pub struct Load {
        /// Number of requests that the server processes now.
        pub in_flight: u32,
        /// Number of requests that the server can process at the same time.
        pub slots: u32,
        /// Whether the server is leaving and must receive no new requests.
        pub draining: bool,
    }

    /// Body of `POST /rate`, which asks the rating service about an answer.
    pub struct RatingRequest {
        /// Id of the answered request.
        pub request: String,
        /// Version that gave the answer.
        pub version: String,
        /// Task of the request.
        pub task: String,
        /// Text of the answer.
        pub answer: String,
    }

    /// Answer of the rating service.
    pub struct Rating {
        /// Whether the rated answer is good.
        pub good: bool,
    }
}
