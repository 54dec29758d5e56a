//! Finds the final event in a stream of server-sent events, wherever the stream is split into
//! pieces.

/// Data of the event that ends a chat-completions stream.
pub const FINAL: &[u8] = b"[DONE]";
/// Limit on the bytes of a line; only the start of a longer line is kept and read.
const LINE_BYTES_MAX: usize = 256 << 10;

/// Incremental parser of a stream that is passed on at the same time.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    line: Vec<u8>,
    /// Whether the final event's data line has been received.
    is_done: bool,
    /// Whether the blank line that ends the final event has been received too.
    is_ended: bool,
    text: Option<String>,
    text_max: usize,
}

impl Watch {
    /// Also collects the text of the answer for the rating service. A part that would take the text
    /// beyond `bytes_max` is left out.
    #[must_use]
    pub fn with_text(mut self, bytes_max: usize) -> Self {
        self.text = Some(String::new());
        self.text_max = bytes_max;
        self
    }

    /// Whether the final event's data line has been received. Some senders end the answer without
    /// the blank line after it.
    #[must_use]
    pub fn done(&self) -> bool {
        self.is_done
    }

    /// The collected text; none without [`Self::with_text`].
    #[must_use]
    pub fn into_text(self) -> Option<String> {
        self.text
    }

    /// Parses the next piece. Returns the offset in the piece just after the final event, if the
    /// event ends in this piece.
    ///
    /// Bytes from that offset on are not part of the answer.
    pub fn feed(&mut self, piece: &[u8]) -> Option<usize> {
        for (index, byte) in piece.iter().enumerate() {
            match byte {
                _ if self.is_ended => return None,
                b'\n' => {
                    self.end_line();
                    if self.is_ended {
                        return Some(index + 1);
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
            None if self.is_done && line.trim_ascii().is_empty() => self.is_ended = true,
            Some(FINAL) => self.is_done = true,
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
