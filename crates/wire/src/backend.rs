//! Headers and small bodies shared with callers and backend servers.

use policy::domain;

/// Names the request on the way to a backend server; must come back unchanged.
pub const REQUEST_ID: &str = "x-request-id";
/// The version a backend server is asked to run.
pub const VERSION: &str = "chestnutspur-version";
/// The caller's session: a token of ours, or a name of its own.
pub const SESSION: &str = "chestnutspur-session";
/// The caller's task.
pub const TASK: &str = "chestnutspur-task";
/// Milliseconds that the caller still waits.
pub const DEADLINE: &str = "chestnutspur-deadline";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The backend server leaves; it says so in all its answers.
pub const LEAVING: &str = "chestnutspur-leaving";
/// 0 is served first; sent to model engines.
pub const PRIORITY: &str = "chestnutspur-priority";

domain! {
    /// What `GET /load` of a backend server says.
    #[derive(Default)]
    pub struct Load {
        /// Requests it works on.
        pub in_flight: u32,
        /// Requests it can work on.
        pub slots: u32,
        /// It is leaving: no new work.
        pub draining: bool,
    }

    /// What the rating service is asked at `POST /rate`.
    pub struct RatingRequest {
        /// The request's id.
        pub request: String,
        /// The version that answered.
        pub version: String,
        /// The task.
        pub task: String,
        /// The answer's text.
        pub answer: String,
    }

    /// What it says.
    pub struct Rating {
        /// Whether the answer is good.
        pub good: bool,
    }
}
