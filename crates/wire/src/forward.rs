//! Headers of a request that a host forwards to another host, and of the answer.
//!
//! Headers of a request are read only at the port for forwarded requests.

/// Number of attempts. In the request: those made before it was forwarded. In the answer: also
/// those of the host to which it was forwarded.
pub const ATTEMPTS: &str = "forward-tries";
/// Runs of backend servers that received the request and failed, separated by commas. The request
/// is not sent to them again.
pub const FAILED_SERVERS: &str = "forward-tried";
/// Index of the chosen model in the route's list of models.
pub const MODEL_INDEX: &str = "forward-model";
/// Version of the service on which the request stays.
pub const VERSION: &str = "forward-version";
/// Random number that the forwarding host draws for each forwarding, so that [`RECALL`] and
/// [`QUERY`] can refer to it.
pub const NUMBER: &str = "forward-number";
/// Sent in place of a request: cancels the request that was forwarded with this number. The answer
/// says whether that request was in flight.
pub const RECALL: &str = "forward-recall";
/// Sent in place of a request: asks whether the request that was forwarded with this number is in
/// flight.
pub const QUERY: &str = "forward-ask";
/// Run of the backend server to which the last attempt was sent.
pub const SERVER: &str = "forward-server";
/// Present if the server of [`SERVER`] ended while it processed the request.
pub const SERVER_ENDED: &str = "forward-ended";
/// Present if the host to which the request was forwarded accepts no requests at all now.
pub const HOST_UNAVAILABLE: &str = "forward-away";
/// In the answer to [`QUERY`] or [`RECALL`]: number of the last event of the stream that the
/// answering host has sent.
pub const LAST_EVENT: &str = "forward-last-event";
/// Number of requests in flight at the host to which the request was forwarded.
pub const IN_FLIGHT: &str = "forward-load";

/// Headers that a forwarding host adds to a request. The same headers from a caller are removed.
pub const REQUEST_HEADERS: [&str; 7] =
    [ATTEMPTS, FAILED_SERVERS, MODEL_INDEX, VERSION, NUMBER, RECALL, QUERY];
