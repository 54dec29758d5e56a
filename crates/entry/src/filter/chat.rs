//! Parses and rewrites the bodies of chat completions.

use bytes::Bytes;
use policy::place;
use serde_json::{Map, Value};
use wire::refusal::{Code, Refusal};

/// Length of the prompt's beginning whose hash selects the backend server, so that prompts which
/// begin alike find their prefix in that server's cache.
const AFFINITY_BYTES_MAX: usize = 1024;

/// The parsed body of a chat completion.
pub struct Chat {
    members: Map<String, Value>,
    /// The name of the requested model or version.
    pub model: String,
}

impl Chat {
    /// Parses a body. Unknown members are meant for the model engine and are passed on unchanged.
    ///
    /// # Errors
    /// [`Code::BadRequest`]; the message never quotes the body.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let bad = |message: &str| Refusal::not_run(Code::BadRequest, message);
        let value: Value = serde_json::from_slice(body).map_err(|error| {
            bad(&format!("the body is not JSON: line {}, column {}", error.line(), error.column()))
        })?;
        let Value::Object(members) = value else { return Err(bad("the body is not an object")) };
        let model = match members.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(bad("model must be a string that is not empty")),
        };
        match members.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => {}
            _ => return Err(bad("messages must be an array that is not empty")),
        }
        match members.get("stream") {
            None | Some(Value::Bool(_) | Value::Null) => {}
            Some(_) => return Err(bad("stream must be true or false")),
        }
        Ok(Self { members, model })
    }

    /// Whether the caller wants the answer as a stream of events.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.members.get("stream"), Some(Value::Bool(true)))
    }

    /// A hash of the prompt's beginning, equal for requests whose prompts begin alike.
    #[must_use]
    pub fn affinity(&self) -> u64 {
        let messages = self.members.get("messages").and_then(Value::as_array);
        let contents = messages.into_iter().flatten().map(|message| &message["content"]);
        let bytes = contents.filter_map(Value::as_str).flat_map(str::bytes);
        place::hash(&bytes.take(AFFINITY_BYTES_MAX).collect::<Vec<u8>>())
    }

    /// The body for a backend server, with `model` replaced by the version's name.
    #[must_use]
    pub fn body_for(&mut self, version: &str) -> Bytes {
        self.members.insert("model".to_owned(), Value::from(version));
        serde_json::to_vec(&self.members).unwrap_or_default().into()
    }
}
