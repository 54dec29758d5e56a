//! Memory that is held for requests is counted until it is given back, on every way out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::body::Gate;
use entry::clock;
use entry::progress::Progress;
use futures::FutureExt;
use gateway::hedge::wait_until_late;
use gateway::holder::{Expired, Holder, HostMemory, MemoryWait};
use gateway::volume::BufferBudget;
use policy::memory::{Governor, STEP_INTERVAL_MS};
use policy::time::Millis;

const BOUND: usize = 1 << 20;
/// Longest wait of a read that may go on, far more than it takes.
const WAIT_MAX: Duration = Duration::from_secs(5);

fn host() -> Arc<HostMemory> {
    Arc::new(HostMemory::new(BOUND as u64))
}

fn open(host: &Arc<HostMemory>) -> Holder {
    host.open(Arc::default())
}

/// Guards against memory that stays counted after its request has ended, whichever part of it is
/// dropped last: a piece, a body with its copies, or a read that is given up halfway.
#[tokio::test]
async fn charge_is_given_back_on_every_way_out() {
    let host = host();
    let holder = open(&host);
    let piece = holder.charge(0).keep_piece(0, Bytes::from_static(b"piece"));
    let body = holder.charge(BOUND / 4).keep(Bytes::from(vec![0; 10_000]));
    let copy = body.slice(9_000..);
    let mut reading = holder.charge(0);
    reading.reserve(100, 900).await.unwrap();
    drop(holder);
    assert_eq!(host.held_bytes(), 5 + 10_000 + 1_000);
    drop(reading);
    drop(body);
    assert_eq!(host.held_bytes(), 5 + 10_000);
    drop((copy, piece));
    assert_eq!(host.held_bytes(), 0);
}

/// Guards against a read that waits for its deadline although memory has been given back.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_ends_when_memory_is_given_back() {
    let host = host();
    let (other, holder) = (open(&host), open(&host));
    let full = other.charge(BOUND);
    let waiting = tokio::spawn(async move { holder.charge(0).reserve(0, BOUND / 8).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    drop(full);
    assert_eq!(tokio::time::timeout(WAIT_MAX, waiting).await.unwrap().unwrap(), Ok(true));
}

/// Guards against a read that waits for memory longer than its caller waits for the answer.
#[tokio::test]
async fn reserve_ends_at_the_deadline() {
    let host = host();
    let (other, holder) = (open(&host), open(&host));
    let _full = other.charge(BOUND);
    let began = Instant::now();
    holder.set_deadline(began + Duration::from_millis(120));
    assert_eq!(holder.charge(0).reserve(0, BOUND).await, Err(Expired));
    assert!((100..2_000).contains(&began.elapsed().as_millis()), "{:?}", began.elapsed());
}

/// Guards against reads that pass the check at the same time and exceed the bound together.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn reserve_by_many_at_once_keeps_the_bound() {
    let host = host();
    let reads = (0..8).map(|_| {
        let (host, holder) = (Arc::clone(&host), open(&host));
        holder.set_deadline(Instant::now() + Duration::from_secs(60));
        tokio::spawn(async move {
            for _ in 0..20_000 {
                let mut charge = holder.charge(0);
                // Waiting would leave the others too little to compete with.
                let reserved = charge.reserve(0, BOUND / 4).now_or_never();
                // Requests that hold this much are read for up to 4/5 of the bound.
                assert!(reserved.is_none() || host.held_bytes() <= BOUND as u64 * 4 / 5);
            }
        })
    });
    for read in reads.collect::<Vec<_>>() {
        read.await.unwrap();
    }
    assert_eq!(host.held_bytes(), 0);
}

/// Guards against a request body that is counted by its length while its buffer is larger.
#[tokio::test]
async fn body_is_counted_by_its_buffer() {
    let host = host();
    let mut charge = open(&host).charge(0);
    charge.wait(0, 1_000).await.unwrap();
    assert_eq!(host.held_bytes(), 1_000);
    charge.finish(2_000);
    let body = charge.hold(Bytes::from_static(b"body"));
    assert_eq!(host.held_bytes(), 2_000);
    drop(body);
    assert_eq!(host.held_bytes(), 0);
}

/// Guards against a hedge that is sent because this host, and not the server, made the run late.
#[tokio::test(flavor = "multi_thread")]
async fn wait_for_memory_makes_no_run_late() {
    const LATE: Duration = Duration::from_millis(50);
    let host = host();
    let (other, holder) = (open(&host), open(&host));
    let full = other.charge(BOUND);
    let waits = Arc::new(MemoryWait::default());
    let tracked = Arc::clone(&waits);
    let reading = tokio::spawn(async move {
        tracked.track(holder.charge(0).reserve(0, BOUND / 8)).await.unwrap();
    });
    while waits.total().is_zero() {
        tokio::task::yield_now().await;
    }
    let late = tokio::spawn(async move { wait_until_late(LATE, &waits).await });
    tokio::time::sleep(LATE * 4).await;
    assert!(!late.is_finished());
    drop(full);
    reading.await.unwrap();
    tokio::time::timeout(WAIT_MAX, late).await.unwrap().unwrap();
}

/// Guards against a host without the setting, or whose settings do not tell its memory, that holds
/// as much as others send.
#[tokio::test]
async fn open_without_the_setting_is_bounded() {
    for (memory, bound) in [(Some(4 * BOUND as u64), BOUND), (None, 64 << 20)] {
        let buffers = BufferBudget::new(memory).with_bound(None);
        assert_eq!(buffers.host().bytes_max(), bound as u64);
        for progress in [None, Some(Arc::default())] {
            let holder = buffers.open(progress);
            holder.set_deadline(Instant::now());
            let mut charge = holder.charge(0);
            assert_eq!(charge.reserve(0, bound / 2).await, Ok(false));
            assert_eq!(charge.reserve(bound / 2, bound).await, Err(Expired));
        }
    }
}

/// Guards against a piece of a stream that keeps the whole buffer of its connection in memory.
#[tokio::test]
async fn keep_piece_keeps_no_buffer() {
    let buffer = Bytes::from(vec![0; BOUND]);
    let mut charge = open(&host()).charge(0);
    let piece = charge.keep_piece(0, buffer.slice(..BOUND / 2));
    assert!(buffer.is_unique());
    assert_eq!(piece.len(), BOUND / 2);
}

/// Guards against a host that reports a shortage and disconnects nobody, or the wrong caller.
#[tokio::test]
async fn step_disconnects_callers_that_stopped() {
    let host = host();
    let (stopped, reading) = (Arc::<Progress>::default(), Arc::<Progress>::default());
    let _held = host.open(Arc::clone(&stopped)).charge(BOUND * 9 / 10);
    let _more = host.open(Arc::clone(&reading)).charge(BOUND / 10);
    stopped.record_blocked();
    let mut governor = Governor::default();
    let now = clock::steady() + 2_000;
    host.step(&mut governor, Millis(now.0 - STEP_INTERVAL_MS));
    host.step(&mut governor, now);
    assert!(host.is_short());
    assert_eq!((stopped.cut.is_cancelled(), reading.cut.is_cancelled()), (true, false));
}
