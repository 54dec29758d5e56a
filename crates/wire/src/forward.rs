//! Headers of a request that one of our hosts passes on to another, and of its answer.
//!
//! They are read at the port that hosts pass requests on to, and nowhere else.

/// Backend servers that the request was sent to: before it came there, and in the answer with what was
/// done there.
pub const ATTEMPTS: &str = "forward-tries";
/// Starts of backend servers that had the request and failed it, separated by commas: it is not sent there
/// again.
pub const FAILED_SERVERS: &str = "forward-tried";
/// Index of the model that is asked, among those of the route.
pub const MODEL_INDEX: &str = "forward-model";
/// The version that the request stays on.
pub const VERSION: &str = "forward-version";
/// A number that the host draws for this one passing on; see `RECALL`.
pub const NUMBER: &str = "forward-number";
/// Without a request: the one that was passed on with this number is to end. The answer says whether it
/// was under way.
pub const RECALL: &str = "forward-recall";
/// Without a request: whether the one that was passed on with this number is under way.
pub const QUERY: &str = "forward-ask";
/// The start of the backend server that the request was last sent to.
pub const SERVER: &str = "forward-server";
/// That server ended under it.
pub const SERVER_ENDED: &str = "forward-ended";
/// The host that it was passed on to takes no requests now, whatever they ask for.
pub const HOST_UNAVAILABLE: &str = "forward-away";
/// The last event of the stream that the host has passed on, in the answer to `QUERY`.
pub const LAST_EVENT: &str = "forward-last-event";
/// Requests under way at the host that it was passed on to.
pub const IN_FLIGHT: &str = "forward-load";

/// What goes with a request; a caller's own are dropped.
pub const REQUEST_HEADERS: [&str; 7] =
    [ATTEMPTS, FAILED_SERVERS, MODEL_INDEX, VERSION, NUMBER, RECALL, QUERY];
