//! Times of answers, by route and model, as requests and roll-outs are judged by.

use policy::latency::Latency;
use policy::slowdown::UsualPace;

/// Times of one route's answers by one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    /// From sending a request to the beginning of its answer.
    pub first: Latency,
    /// From sending a request to the end of its answer.
    pub whole: Latency,
    /// The same for each event of a stream too short to have a pace, or for a whole plain answer.
    pub short: Latency,
    /// Between two events of a stream, as `policy::pace` sees it.
    pub pace: Latency,
    /// The same at its best, by which engines' speeds are compared.
    pub best: UsualPace,
}
