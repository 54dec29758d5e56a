//! Splits a stream of events into whole events, however it is cut into pieces on arrival.

use bytes::{Bytes, BytesMut};

/// The longest event that is accepted. A longer one is a runaway, not an event. Each stream in
/// flight may buffer as much.
const EVENT_BYTES_MAX: usize = 64 << 10;
/// The most bytes that are accepted without an event with a new number. A stream that sends more is
/// bytes without end.
const UNNUMBERED_BYTES_MAX: usize = 1 << 20;
const BLANK_LINE: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Why a stream can't continue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An event exceeds the longest accepted length without an end.
    TooLong,
    /// Too many bytes came without an event with a new number.
    Unnumbered,
}

/// Passes on only whole events, each once and in order.
///
/// A backend server may break off in the middle of an event. Half an event that was passed on could
/// not be taken back when the stream resumes elsewhere, so it is buffered until its end has come.
/// After a resumption the new run may begin with events that the caller has; those are dropped.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
    /// Bytes of whole events that have come since the last event with a new number.
    unnumbered: usize,
}

impl EventSplitter {
    /// A splitter that drops events up to the last one that the caller has.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The number of the last event passed on; `None` if no event had a number.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether no part of an event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Memory of the part of an event that is buffered, in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Takes the next piece of the stream. Returns the bytes to pass on, which may be none, and the
    /// number of events in them without comments.
    ///
    /// # Errors
    /// The stream is unusable from here on.
    pub fn feed(&mut self, piece: &Bytes) -> Result<(Bytes, u32), Fault> {
        if self.pending.is_empty() && piece.ends_with(BLANK_LINE) {
            return self.filter_limited(piece);
        }
        // The buffered bytes contain no end of an event, except perhaps its first half.
        let seen = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(piece);
        let Some(end) = last_end(&self.pending[seen..]).map(|end| seen + end) else {
            return match self.pending.len() > EVENT_BYTES_MAX {
                true => Err(Fault::TooLong),
                false => Ok((Bytes::new(), 0)),
            };
        };
        let whole = self.pending.split_to(end).freeze();
        self.filter_limited(&whole)
    }

    /// The whole events that the caller does not have, unless too many bytes came without a new
    /// number.
    fn filter_limited(&mut self, whole: &Bytes) -> Result<(Bytes, u32), Fault> {
        let before = self.last_id;
        let filtered = self.filter_new(whole);
        self.unnumbered = match self.last_id > before {
            true => 0,
            false => self.unnumbered + whole.len(),
        };
        match self.unnumbered > UNNUMBERED_BYTES_MAX {
            true => Err(Fault::Unnumbered),
            false => Ok(filtered),
        }
    }

    /// The whole events that the caller does not have.
    fn filter_new(&mut self, whole: &Bytes) -> (Bytes, u32) {
        let mut kept = 0;
        let mut dropped = false;
        let mut out = BytesMut::new();
        let mut at = 0;
        while let Some(length) = first_end(&whole[at..]) {
            let event = &whole[at..at + length];
            let id = event_id(event);
            let is_new = id.is_none_or(|id| self.last_id.is_none_or(|last| id > last));
            kept += u32::from(is_new && !is_comment(event));
            match (is_new, dropped) {
                (true, false) => {}
                (true, true) => out.extend_from_slice(event),
                (false, false) => {
                    dropped = true;
                    out.extend_from_slice(&whole[..at]);
                }
                (false, true) => {}
            }
            if is_new {
                self.last_id = id.or(self.last_id);
            }
            at += length;
        }
        match dropped {
            true => (out.freeze(), kept),
            false => (whole.slice(..at), kept),
        }
    }
}

fn first_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(BLANK_LINE.len()).position(|two| two == BLANK_LINE).map(|at| at + 2)
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(BLANK_LINE.len()).rposition(|two| two == BLANK_LINE).map(|at| at + 2)
}

/// Whether the event is only a comment. Comments are sent to keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| line.is_empty() || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
}
