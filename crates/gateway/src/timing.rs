//! Answer times by route and model. Requests and roll-outs are judged by them.

use policy::latency::Latency;
use policy::slowdown::UsualPace;
use policy::usual::Usual;

/// The answer times of one route and model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    /// Time from sending a request to the beginning of its answer.
    pub first: Latency,
    /// Time from sending a request to the end of its answer.
    pub whole: Latency,
    /// Time per event of a stream that is too short to have a pace, or of a whole plain answer.
    pub short: Usual,
    /// Time between two events of a stream, as [`policy::pace`] measures it.
    pub pace: Usual,
    /// The usual best pace of a stream: its shortest gap between two events. The speeds of engines
    /// are compared by it.
    pub best: UsualPace,
}
