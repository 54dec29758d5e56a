//! Outcomes of requests, computed from nothing but the logs of `node`.
//!
//! [`mod@line`] parses log lines, [`request`] makes a typed record of each request that ended,
//! [`cause`] finds why an answer was late, [`report`] sums up and prints, and [`plot`] draws. No
//! code here contacts a running process: logs of any time and of any hosts suffice, in any order.

pub mod cause;
pub mod line;
pub mod plot;
pub mod report;
pub mod request;

pub use line::Line;
pub use report::Report;
pub use request::Request;
