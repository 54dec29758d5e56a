//! Watches a stream of server-sent events for its final event, however it is cut into pieces.

/// The data of the final event of a chat-completions stream.
pub const FINAL: &[u8] = b"[DONE]";
/// Longest line that is looked at; of a longer one only the start is kept.
const LINE_BYTES_MAX: usize = 256 << 10;

/// Reads the stream line by line as it is passed on.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    line: Vec<u8>,
    /// The final event's data line is there.
    done: bool,
    /// So is the blank line that ends the event.
    ended: bool,
    text: Option<String>,
    text_max: usize,
}

impl Watch {
    /// Also collects the text of the answer, up to a number of bytes, for the rating service.
    #[must_use]
    pub fn with_text(mut self, bytes_max: usize) -> Self {
        self.text = Some(String::new());
        self.text_max = bytes_max;
        self
    }

    /// Whether the final event's data line is there; some senders leave out the blank line after
    /// it when they end the answer.
    #[must_use]
    pub fn done(&self) -> bool {
        self.done
    }

    /// The text collected.
    #[must_use]
    pub fn into_text(self) -> Option<String> {
        self.text
    }

    /// Takes the next piece; says where in it the final event ends, if it does.
    ///
    /// What follows that place is not part of the answer.
    pub fn feed(&mut self, piece: &[u8]) -> Option<usize> {
        for (at, byte) in piece.iter().enumerate() {
            match byte {
                _ if self.ended => return None,
                b'\n' => {
                    self.end_line();
                    if self.ended {
                        return Some(at + 1);
                    }
                }
                byte if self.line.len() < LINE_BYTES_MAX => self.line.push(*byte),
                _ => {}
            }
        }
        None
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let data = line.strip_prefix(b"data:").map(|data| data.trim_ascii());
        match data {
            None if self.done && line.trim_ascii().is_empty() => self.ended = true,
            Some(FINAL) => self.done = true,
            Some(data) if self.text.is_some() => self.collect(data),
            _ => {}
        }
        self.line = line;
        self.line.clear();
    }

    fn collect(&mut self, data: &[u8]) {
        let Ok(value) = serde_json::from_slice::<serde_json::Value>(data) else { return };
        let delta = value["choices"][0]["delta"]["content"].as_str();
        match (&mut self.text, delta) {
            (Some(text), Some(delta)) if text.len() + delta.len() <= self.text_max => {
                text.push_str(delta);
            }
            _ => {}
        }
    }
}
