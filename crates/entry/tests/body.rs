//! Bodies that are read whole, in whatever pieces they come.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::body::{Budget, Fault, Gate, Limits, Shortage, read};
use hyper::body::{Body, Frame, SizeHint};

/// A piece of a body that tells how many pieces are kept.
struct Piece {
    bytes: Vec<u8>,
    kept: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.kept.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that comes in given pieces, and then ends or falls silent.
#[derive(Default)]
struct Pieces {
    left: VecDeque<Vec<u8>>,
    announced: Option<u64>,
    falls_silent: bool,
    kept: Arc<AtomicUsize>,
    /// Most pieces that were kept when another one was asked for.
    most_kept: usize,
}

impl Pieces {
    fn new(pieces: impl IntoIterator<Item = Vec<u8>>) -> Self {
        Self { left: pieces.into_iter().collect(), ..Self::default() }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.most_kept = self.most_kept.max(self.kept.load(Ordering::Relaxed));
        match self.left.pop_front() {
            Some(bytes) => {
                self.kept.fetch_add(1, Ordering::Relaxed);
                let piece = Piece { bytes, kept: Arc::clone(&self.kept) };
                Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(piece)))))
            }
            None if self.falls_silent => Poll::Pending,
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.announced.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Records what is counted.
#[derive(Default)]
struct Count {
    most: usize,
    last: usize,
}

impl Gate for Count {
    async fn wait(&mut self, held: usize, more: usize) -> Result<(), Shortage> {
        self.most = self.most.max(held + more);
        Ok(())
    }

    fn finish(&mut self, held: usize) {
        self.last = held;
    }
}

/// Guards against memory that is held and not counted: pieces that are kept, each with the buffer
/// that it is a slice of, however short they are.
#[test]
fn read_keeps_no_piece() {
    fuzz::check(300, |(pieces, is_announced): &(Vec<Vec<u8>>, bool)| {
        // Many pieces of one byte beside longer ones.
        let single = (0..2_000_u32).map(|number| vec![number as u8]);
        let all: Vec<Vec<u8>> = pieces.iter().cloned().chain(single).collect();
        let whole = all.concat();
        let mut body = Pieces::new(all);
        body.announced = is_announced.then_some(whole.len() as u64);
        let mut count = Count::default();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let read = runtime.block_on(read(&mut body, &Limits::new(1 << 20), &mut count)).unwrap();
        assert_eq!(read, whole);
        assert!(body.most_kept <= 1, "{} pieces", body.most_kept);
        assert!((whole.len()..=whole.len() * 2).contains(&count.last), "{}", count.last);
        assert!(count.most <= (whole.len() * 2).max(8 << 10), "{}", count.most);
    });
}

/// Guards against a body without end that is read for as long as it comes.
#[tokio::test]
async fn read_body_that_is_too_long() {
    let mut body = Pieces::new((0..1_000).map(|_| vec![0; 100]));
    let read = read(&mut body, &Limits::new(1_000), &mut Count::default()).await;
    assert_eq!((read, body.left.len()), (Err(Fault::TooLong(1_000)), 989));
    let mut announced = Pieces { announced: Some(1 << 40), ..Pieces::default() };
    let read = read_uncounted(&mut announced, &Limits::new(1_000)).await;
    assert_eq!(read, Err(Fault::TooLong(1_000)));
}

async fn read_uncounted(body: &mut Pieces, limits: &Limits) -> Result<Bytes, Fault> {
    read(body, limits, &mut Count::default()).await
}

/// Guards against a body whose sender falls silent and that is waited for beyond its limits.
#[tokio::test]
async fn read_body_that_falls_silent() {
    const SHORT: Duration = Duration::from_millis(20);
    let silent = || Pieces { falls_silent: true, ..Pieces::new([vec![1]]) };
    let limits = Limits::new(1_000);
    for slow in [Limits { between: SHORT, ..limits }, Limits { whole: SHORT, ..limits }] {
        assert_eq!(read_uncounted(&mut silent(), &slow).await, Err(Fault::Slow { bytes: 1 }));
    }
    let late = Limits { until: Some(Instant::now() + SHORT), ..limits };
    assert_eq!(read_uncounted(&mut silent(), &late).await, Err(Fault::Late));
}

/// Guards against bodies that each keep to their limit and use more than all of them may.
#[tokio::test]
async fn read_bodies_that_use_up_their_budget() {
    let budget = Budget::new(40 << 10).with_small_bytes(8 << 10);
    let (limits, long) = (Limits::new(1 << 20), || Pieces::new([vec![0; 30 << 10]]));
    let mut first = budget.reserve();
    read(&mut long(), &limits, &mut first).await.unwrap();
    let mut second = budget.reserve();
    let read_second = read(&mut long(), &limits, &mut second).await;
    assert_eq!(read_second, Err(Fault::NoMemory(Shortage::Full)));
    drop(second);
    read(&mut Pieces::new([vec![0; 100]]), &limits, &mut budget.reserve()).await.unwrap();
    drop(first);
    assert_eq!(budget.used_bytes(), 0);
}
