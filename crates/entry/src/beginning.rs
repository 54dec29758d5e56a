//! The beginning of an answer, which is held back until it is known to be of use.
//!
//! Its pieces are copied into one buffer and dropped, and the capacity of that buffer is counted
//! before it grows, as for bodies that are read whole ([`crate::body`]). When all beginnings
//! together use what they may, an answer is passed on as it comes: its caller then sees if it
//! breaks off, and the process does not run out of memory.

use bytes::{Bytes, BytesMut};

use crate::body::Reservation;

/// Least memory of a beginning, in bytes.
const CAPACITY_MIN: usize = 1 << 10;

/// The beginning of an answer, and the memory that it uses.
#[derive(Debug)]
pub struct Beginning {
    bytes: BytesMut,
    memory: Reservation,
}

/// Bytes together with the memory that they use.
struct Held {
    bytes: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Beginning {
    /// An empty beginning whose memory is counted by a reservation.
    #[must_use]
    pub fn new(memory: Reservation) -> Self {
        Self { bytes: BytesMut::new(), memory }
    }

    /// Another empty beginning, counted by the same budget.
    #[must_use]
    pub fn successor(&self) -> Self {
        Self::new(self.memory.sibling())
    }

    /// Length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has come yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Copies a piece to the end. Returns whether the next one may be held back as well.
    pub fn append(&mut self, piece: &[u8]) -> bool {
        let length = self.bytes.len() + piece.len();
        let mut has_room = true;
        if length > self.bytes.capacity() {
            let capacity = length.next_power_of_two().max(CAPACITY_MIN);
            has_room = self.memory.resize(capacity);
            let grown = BytesMut::with_capacity(capacity);
            let before = std::mem::replace(&mut self.bytes, grown);
            self.bytes.extend_from_slice(&before);
        }
        self.bytes.extend_from_slice(piece);
        has_room
    }

    /// The bytes; their memory is counted until they are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        let Self { bytes, memory } = self;
        Bytes::from_owner(Held { bytes: bytes.freeze(), _memory: memory })
    }
}
