//! Reads bodies whole. Every body that is read to its end is read here, whoever sent it.
//!
//! The sender decides in which pieces a body arrives. A piece is a slice of the buffer that its
//! connection was read into, so a piece that is kept keeps this buffer in memory, and a list of
//! pieces takes memory of its own. Kept like that, a body in pieces of one byte takes many times
//! its length. Here each piece is copied into one buffer and dropped, and the capacity of that
//! buffer is what is counted.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Most memory that is allocated before a body's first byte. A sender that announces a long body
/// and never sends it would occupy that much memory for nothing.
const PREALLOCATED_BYTES_MAX: usize = 64 << 10;
/// Memory for the first piece of a body whose length is not announced.
const FIRST_BYTES: usize = 8 << 10;

/// Why a body may take no more memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Bodies of its kind use all that they may use together.
    Full,
    /// No memory became free before the deadline.
    Expired,
}

/// Counts the memory of a body, and decides when it may take more.
pub trait Gate {
    /// Waits until more memory may be taken. `held` is the memory that the body uses, and `more`
    /// what it will use beyond that.
    ///
    /// # Errors
    /// The body must be given up.
    fn wait(
        &mut self,
        held: usize,
        more: usize,
    ) -> impl Future<Output = Result<(), Shortage>> + Send;

    /// The body has been read. `held` is the memory that it uses.
    fn finish(&mut self, held: usize);
}

/// The gate of bodies that are not counted: short ones, or those of a process of one user.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenGate;

impl Gate for OpenGate {
    async fn wait(&mut self, _: usize, _: usize) -> Result<(), Shortage> {
        Ok(())
    }

    fn finish(&mut self, _: usize) {}
}

/// Memory that bodies of one kind may use together.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    bytes_max: usize,
    small_bytes: usize,
}

impl Budget {
    /// A budget of `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { used: Arc::default(), bytes_max, small_bytes: 0 }
    }

    /// Lets bodies that use no more than `small_bytes` be read even if the budget is used up.
    #[must_use]
    pub fn with_small_bytes(self, small_bytes: usize) -> Self {
        Self { small_bytes, ..self }
    }

    /// Memory that is used now, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins the reservation of one body, at 0 bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// The memory that one body uses. It is returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Begins the reservation of another body of the same budget.
    #[must_use]
    pub fn sibling(&self) -> Self {
        self.budget.reserve()
    }

    /// Changes how much memory the body uses, and tells whether it may use that much.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let Budget { used, bytes_max, small_bytes } = &self.budget;
        let before = std::mem::replace(&mut self.bytes, bytes);
        let total = match bytes.checked_sub(before) {
            Some(more) => used.fetch_add(more, Ordering::Relaxed) + more,
            None => used.fetch_sub(before - bytes, Ordering::Relaxed) - (before - bytes),
        };
        bytes <= *small_bytes || total <= *bytes_max
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let _ = self.resize(0);
    }
}

impl Gate for Reservation {
    async fn wait(&mut self, held: usize, more: usize) -> Result<(), Shortage> {
        self.resize(held.saturating_add(more)).then_some(()).ok_or(Shortage::Full)
    }

    fn finish(&mut self, held: usize) {
        let _ = self.resize(held);
    }
}

/// Limits on the length and the time of a body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body, in bytes.
    pub bytes_max: usize,
    /// Longest wait between two pieces.
    pub between: Duration,
    /// Longest time for the whole body, waits for memory left out.
    pub whole: Duration,
    /// When the body must have been read, waits for memory included; `None` for no such time.
    pub until: Option<Instant>,
}

impl Limits {
    /// A limit on the length only.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max, between: Duration::MAX, whole: Duration::MAX, until: None }
    }
}

/// Why a body was not read whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is longer than this number of bytes.
    TooLong(usize),
    /// It broke off.
    Broken {
        /// Why.
        reason: String,
        /// Bytes that came before.
        bytes: usize,
    },
    /// Its pieces came too slowly.
    Slow {
        /// Bytes that came before.
        bytes: usize,
    },
    /// The time until which it had to be read has passed.
    Late,
    /// There is no memory for it.
    NoMemory(Shortage),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(max) => write!(f, "the body exceeds {max} bytes"),
            Self::Broken { reason, bytes } => {
                write!(f, "the body broke off after {bytes} bytes: {reason}")
            }
            Self::Slow { .. } => f.write_str("the body arrived too slowly"),
            Self::Late => f.write_str("the body did not arrive in time"),
            Self::NoMemory(_) => f.write_str("no memory for the body"),
        }
    }
}

impl std::error::Error for Fault {}

/// Reads a whole body.
///
/// # Errors
/// Why it was not read. Nothing of it is held then.
pub async fn read<B>(body: &mut B, limits: &Limits, gate: &mut impl Gate) -> Result<Bytes, Fault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.bytes_max {
        return Err(Fault::TooLong(limits.bytes_max));
    }
    let mut buffer = Buffer { bytes: Vec::new(), announced };
    let mut clock = Clock::start(limits);
    loop {
        let bytes = buffer.bytes.len();
        let frame = match clock.wait(body.frame(), bytes).await? {
            None => return Ok(buffer.finish(gate)),
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(Fault::Broken { reason: error.to_string(), bytes }),
        };
        // Trailers are left out.
        let Ok(data) = frame.into_data() else { continue };
        if bytes + data.len() > limits.bytes_max {
            return Err(Fault::TooLong(limits.bytes_max));
        }
        buffer.make_room(data.len(), gate).await?;
        buffer.bytes.extend_from_slice(&data);
    }
}

/// The part of a body that has been read.
struct Buffer {
    bytes: Vec<u8>,
    /// Least length of the whole body, by its head.
    announced: usize,
}

impl Buffer {
    /// Grows until `more` bytes fit. The capacity at least doubles, so that a body in short pieces
    /// is not copied for each of them, but does not exceed what is announced.
    async fn make_room(&mut self, more: usize, gate: &mut impl Gate) -> Result<(), Fault> {
        let (needed, capacity) = (self.bytes.len() + more, self.bytes.capacity());
        if needed <= capacity {
            return Ok(());
        }
        let grown = match capacity {
            0 if self.announced > 0 => self.announced.min(PREALLOCATED_BYTES_MAX),
            0 => FIRST_BYTES,
            _ if self.announced > capacity => (capacity * 2).min(self.announced),
            _ => capacity * 2,
        };
        let grown = grown.max(needed);
        gate.wait(capacity, grown - capacity).await.map_err(Fault::NoMemory)?;
        self.bytes.reserve_exact(grown - self.bytes.len());
        Ok(())
    }

    /// The whole body. Most of the memory of a body that is kept must be in use.
    fn finish(mut self, gate: &mut impl Gate) -> Bytes {
        if self.bytes.capacity() > self.bytes.len() * 2 {
            self.bytes.shrink_to_fit();
        }
        gate.finish(self.bytes.capacity());
        Bytes::from(self.bytes)
    }
}

/// The time that the sender may still take. Waits for memory are not its own.
struct Clock<'a> {
    limits: &'a Limits,
    /// Time that the whole body may still take.
    left: Duration,
}

impl<'a> Clock<'a> {
    fn start(limits: &'a Limits) -> Self {
        Self { limits, left: limits.whole }
    }

    /// Waits for the sender, for as long as it may take after `bytes` bytes.
    async fn wait<T>(&mut self, next: impl Future<Output = T>, bytes: usize) -> Result<T, Fault> {
        let began = Instant::now();
        let slow = began.checked_add(self.left.min(self.limits.between));
        let until = match (slow, self.limits.until) {
            (Some(slow), Some(until)) => Some(slow.min(until)),
            (slow, until) => slow.or(until),
        };
        let Some(until) = until else { return Ok(next.await) };
        let waited = tokio::time::timeout_at(until.into(), next).await;
        self.left = self.left.saturating_sub(began.elapsed());
        waited.map_err(|_| match self.limits.until {
            Some(limit) if limit <= until => Fault::Late,
            _ => Fault::Slow { bytes },
        })
    }
}
