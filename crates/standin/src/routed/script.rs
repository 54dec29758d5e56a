//! What a test sets the server to do: its replies, its prefix cache and its copies.

use std::time::Duration;

use serde_json::{Value, json};

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum ScriptedReply {
    /// Answers with this status and a signature.
    Answer(u16),
    /// Answers with status 200 and a signature after this time.
    AnswerAfter(Duration),
    /// Sends half of an answer, and closes the connection after this time.
    BreakAfter(Duration),
    /// Answers with the id of another request.
    AnswerOther,
    /// Answers without a signature.
    Unsigned,
    /// Rejects the request: answers 503 and says that the request did not run.
    Reject,
    /// Rejects the request with this value of `Retry-After`, which asks for a pause.
    RejectFor(&'static str),
    /// Answers 421: the request was meant for another server.
    Misdirected,
    /// Closes the connection without an answer.
    Reset,
    /// Never answers, and keeps the connection open.
    Silence,
    /// Answers with a stream of events.
    Stream(Script),
}

impl ScriptedReply {
    /// The pause that this reply asks for; `None` if it asks for none, or if its text is not a
    /// number of seconds.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let Self::RejectFor(text) = self else { return None };
        text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
    }
}

/// The course of a stream of events.
#[derive(Clone, Debug)]
pub struct Script {
    /// Id of the last event. The first event follows the last one that the caller has, which the
    /// request's header names; without that header the first id is 1.
    pub events: u64,
    /// Pause before each event but the first.
    pub pause: Duration,
    /// Additional pause before the second event of an answer, as when the engine reads other
    /// prompts.
    pub prompt_delay: Duration,
    /// Number of events that arrive in a burst, shortly after one another, when the last of them is
    /// due; as on a network that holds pieces back and then delivers all of them.
    pub burst: u64,
    /// Id of the event in whose middle the connection is cut; `None` for no cut.
    pub cut_in_event: Option<u64>,
    /// Id of the event after which the server sends nothing more, with the connection open; `None`
    /// for a stream that ends.
    pub silent_after_event: Option<u64>,
    /// Confidence that the answer's header states; `None` for no such header.
    pub confidence: Option<u8>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(2),
            prompt_delay: Duration::ZERO,
            burst: 1,
            cut_in_event: None,
            silent_after_event: None,
            confidence: None,
        }
    }
}

/// The prefix cache of a server, as its calls tell of it.
#[derive(Clone, Debug, Default)]
pub struct ScriptedCache {
    /// Identifies the cache's run.
    pub epoch: u64,
    /// The number of the first event that is still kept.
    pub oldest: u64,
    /// Events, numbered from 0: sign, id of the part, tokens, model.
    pub events: Vec<(char, String, u32, String)>,
    /// Listed parts: id, tokens, model.
    pub held: Vec<(String, u32, String)>,
    /// Status of all answers in place of 200.
    pub status: Option<u16>,
}

impl ScriptedCache {
    pub(super) fn has_events(&self, since: u64) -> bool {
        (self.events.len() as u64) > since || self.status.is_some()
    }

    pub(super) fn events_json(&self, since: u64) -> Value {
        let first = since.max(self.oldest);
        let events = (0_u64..).zip(&self.events).filter(|(number, _)| *number >= first);
        let events = events.map(|(number, (sign, id, tokens, model))| {
            json!([number, sign.to_string(), "", id, tokens, model])
        });
        json!({
            "epoch": self.epoch, "next": self.events.len(), "lost": since < self.oldest,
            "events": events.collect::<Vec<_>>(),
        })
    }

    pub(super) fn list_json(&self) -> Value {
        let held = self.held.iter().map(|(id, tokens, model)| json!(["", id, tokens, model]));
        let held = held.collect::<Vec<_>>();
        json!({"epoch": self.epoch, "next": self.events.len(), "held": held})
    }
}

/// What the server does with a call for a copy of a running request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScriptedCopy {
    /// Makes the copy if the request runs. A last copy stops the run.
    Make,
    /// Answers with this status. With 503, a last copy stops the run all the same.
    Refuse(u16),
    /// Makes the copy after this time.
    MakeAfter(Duration),
}
