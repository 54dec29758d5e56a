//! Replays recorded traces through the policy, in the trace's own time, and checks the results
//! against the outcomes that the trace states.
//!
//! The replay runs the router's decisions and does not simulate a cluster: for each request, the
//! trace says whether each version's answer would be good and how long it would take. The same
//! input gives the same output, byte for byte: the replay uses one thread, one seeded generator and
//! ordered maps, and processes events in order of time and then of insertion.

pub mod generate;
pub mod oracle;
pub mod report;
pub mod run;
pub mod trace;
pub mod variant;
