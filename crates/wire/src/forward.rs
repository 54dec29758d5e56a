//! Headers of a request that one of our hosts passes on to another, and of its answer.
//!
//! They are read at the port that hosts pass requests on to, and nowhere else.

/// Backend servers that the request was sent to before it came here.
pub const TRIES: &str = "forward-tries";
/// The start of the backend server whose answer this is.
pub const SERVER: &str = "forward-server";
/// The host that it was passed on to takes no requests now, whatever they ask for.
pub const AWAY: &str = "forward-away";
/// Requests under way at the host that passed it on.
pub const LOAD: &str = "forward-load";
