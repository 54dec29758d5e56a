//! Recorded traces through the policy, in the trace's own time, checked against stated outcomes.
//!
//! A replay of decisions, not a simulator of a cluster: the trace says what each version would
//! have answered and how long it would have taken. The same input gives the same output, byte for
//! byte: one thread, one seeded generator, ordered maps, events in order of time and number.

pub mod generate;
pub mod oracle;
pub mod report;
pub mod run;
pub mod trace;
pub mod variant;
