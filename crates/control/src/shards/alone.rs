//! An owner without a deputy: its records go to the object store before it answers.
//!
//! The pieces are numbered and put if absent, as a log. Who takes over puts the end mark at the
//! next number, so a paused owner that comes back can put, and so grant, nothing more.

use coordination::owner::Owner;
use policy::domain;
use policy::name::Name;
use wire::shard::{Append, Record};

use crate::shards::Inner;
use crate::shards::cell::Cell;
use crate::store::Error;

domain! {
    /// One piece of a shard's records in the object store.
    pub struct Piece {
        /// Who wrote it.
        pub writer: Name,
        /// The records.
        pub records: Vec<Record>,
        /// Whether these are all there were.
        pub whole: bool,
        /// The end: nothing after it counts.
        pub end: bool,
    }
}

/// The object name of a piece.
fn object(cell: &Cell, epoch: u64, number: u64) -> String {
    format!("snapshots/{}/{epoch:010}/{number:010}", cell.home.row_key())
}

/// What a log of pieces holds for one writer, as far as it was read.
#[derive(Default)]
pub struct Pieces {
    /// The epoch.
    pub epoch: u64,
    /// The writer.
    pub writer: Name,
    /// The records, in order; empty for the writer itself, which has them.
    pub records: Vec<Record>,
    /// The number after the last piece.
    pub next: u64,
    /// Whether the writer's whole load is there.
    pub whole: bool,
    /// Whether it has ended.
    pub end: bool,
}

impl Pieces {
    /// Nothing read yet.
    #[must_use]
    pub fn new(epoch: u64, writer: Name) -> Self {
        Self { epoch, writer, ..Self::default() }
    }

    /// Takes in the piece at the next number.
    fn take(&mut self, piece: Piece) {
        self.next += 1;
        match piece {
            piece if piece.end => self.end = true,
            // Two owners can prepare the same epoch; only the one that the row names counts.
            piece if piece.writer != self.writer || self.end => {}
            piece if piece.whole => {
                self.records = piece.records;
                self.whole = true;
            }
            piece => self.records.extend(piece.records),
        }
    }
}

impl Inner {
    /// Reads on to the end of a log.
    async fn read_pieces(&self, cell: &Cell, pieces: &mut Pieces) -> Result<(), Error> {
        let platform = &self.node.store;
        while let Some(bytes) = platform.object(&object(cell, pieces.epoch, pieces.next)).await? {
            let piece = serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()));
            pieces.take(piece?);
        }
        Ok(())
    }

    /// Puts a piece at the end of a log; false if it has ended or the platform does not answer.
    ///
    /// After a lost answer the next call reads on first. A piece that then stands there twice
    /// does no harm: records say what is, not what changes.
    async fn put(&self, cell: &Cell, pieces: &mut Pieces, piece: Piece) -> Result<bool, Error> {
        let encoded = serde_json::to_vec(&piece).map_err(|e| Error::Refused(e.to_string()))?;
        loop {
            if pieces.end {
                return Ok(false);
            }
            let name = object(cell, pieces.epoch, pieces.next);
            let put = self.node.store.put_if_absent(&name, encoded.clone().into()).await;
            if !matches!(put, Ok(true)) {
                self.read_pieces(cell, pieces).await?;
            }
            if put? {
                pieces.take(piece);
                return Ok(true);
            }
        }
    }

    fn piece(&self, append: &Append) -> Piece {
        let writer = self.node.incarnation.clone();
        Piece { writer, records: append.records.clone(), whole: append.whole, end: false }
    }

    /// Puts all records under an epoch that is about to have no deputy.
    pub async fn store_whole(&self, cell: &Cell, whole: &Append) -> bool {
        let mut pieces = Pieces::new(whole.epoch, self.node.incarnation.clone());
        let stored = self.put(cell, &mut pieces, self.piece(whole)).await;
        pieces.records = Vec::new();
        *cell.pieces.lock().await = pieces;
        matches!(stored, Ok(true))
    }

    /// Whether all records of an owned shard are in the object store.
    pub async fn is_stored(&self, cell: &Cell) -> bool {
        let pieces = cell.pieces.lock().await;
        let mut shard = cell.lock();
        let stored = |owner: &mut Owner| {
            owner.deputy.is_empty() && owner.is_replicated() && pieces.epoch == owner.epoch
        };
        pieces.whole && shard.owner().is_some_and(stored)
    }

    /// Saves records of a shard without a deputy; gets it one first, if there is any now.
    ///
    /// The epoch's log must begin with all records, or reading it would not give all grants. It
    /// does not when the shard was just handed over by a control that left; another swap mends
    /// that.
    pub async fn save_alone(&self, cell: &Cell, append: &Append) -> bool {
        let others = self.candidates(cell, "");
        let whole = {
            let pieces = cell.pieces.lock().await;
            pieces.whole && pieces.epoch == append.epoch
        };
        if !others.is_empty() || !whole {
            return self.replace_deputy(cell, others, !whole).await;
        }
        let mut pieces = cell.pieces.lock().await;
        let saved = self.put(cell, &mut pieces, self.piece(append)).await;
        pieces.records = Vec::new();
        drop(pieces);
        match saved {
            Ok(true) => {
                self.saved(cell, append.epoch, append.first + append.records.len() as u64);
                true
            }
            // The log has ended: another is taking over, or tried to. The row tells; if it still
            // names this control, the next epoch has a log without an end.
            Ok(false) => self.read_row(cell).await && self.replace_deputy(cell, others, true).await,
            Err(_) => false,
        }
    }

    /// Ends an epoch's log and reads it; none if the platform does not answer.
    pub async fn end(&self, cell: &Cell, epoch: u64, writer: &Name) -> Option<Pieces> {
        let mut pieces = Pieces::new(epoch, writer.clone());
        self.read_pieces(cell, &mut pieces).await.ok()?;
        let me = self.node.incarnation.clone();
        let end = Piece { writer: me, records: Vec::new(), whole: false, end: true };
        self.put(cell, &mut pieces, end).await.ok()?;
        Some(pieces)
    }
}
