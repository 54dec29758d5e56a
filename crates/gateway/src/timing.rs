//! Times of answers, by route and model, as requests and roll-outs are judged by.

use policy::patience::Patience;

/// Times of one route's answers by one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    /// From sending a request to the beginning of its answer.
    pub first: Patience,
    /// From sending a request to the end of its answer.
    pub whole: Patience,
    /// The same for each event of a stream, or for a whole plain answer.
    pub pace: Patience,
    /// Between two events of a stream, from its first to its last.
    pub gap: Patience,
}
