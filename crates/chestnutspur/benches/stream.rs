//! Processor time that an entry spends on each chunk of a stream that it relays.
//!
//! Run with `cargo bench -p chestnutspur --bench stream`.

#[path = "../tests/support/mod.rs"]
mod support;

use standin::engine;
use support::call::Call;
use support::process::Process;
use support::{Deployment, Plan, burst};

/// Number of streams at the same time.
const STREAM_COUNT: usize = 40;
/// Numbers of chunks of each stream. The difference between the two gives the cost of one chunk.
const CHUNK_COUNTS: [u32; 2] = [200, 2_000];
const RUN_COUNT: usize = 3;

/// Relays streams through one entry. Returns the entry's processor time and the elapsed time, in
/// seconds, and its peak memory in MiB.
async fn relay(chunks: u32) -> (f64, f64, f64) {
    let mut plan =
        Plan { hosts: vec!["north"], engines: vec!["north", "north"], ..Plan::default() };
    for version in plan.engine.versions.values_mut() {
        *version =
            engine::Version { tokens: chunks, between_tokens_ms: 1, ..engine::Version::default() };
    }
    // A long stream takes more than the document's deadline of 10 s.
    for account in ["first", "second"] {
        plan.document["accounts"][account]["tasks"]["tag"]["deadline_ms"] = 60_000.into();
    }
    let deployment = Deployment::start(&format!("bench-stream-{chunks}"), plan).await;
    let entry = &deployment.hosts[0].entry;
    let to = [deployment.callers(0)];
    let before = entry.cpu_seconds();
    let start = std::time::Instant::now();
    let calls = (0..STREAM_COUNT).map(|index| Call::stream("letter", &format!("stream {index}")));
    let replies = burst(&to, calls.collect()).await;
    let seconds = start.elapsed().as_secs_f64();
    assert!(replies.iter().flatten().all(|reply| reply.status == 200 && reply.is_whole));
    (entry.cpu_seconds() - before, seconds, memory_mb(entry))
}

fn memory_mb(process: &Process) -> f64 {
    process.memory_kb() as f64 / 1024.0
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!("| run | chunks of a stream | streams | seconds | entry's processor, s | MB, most |");
    println!("|---|---|---|---|---|---|");
    let mut slopes = Vec::new();
    for run in 1..=RUN_COUNT {
        let mut used = Vec::new();
        for chunks in CHUNK_COUNTS {
            let (cpu, seconds, mb) = runtime.block_on(relay(chunks));
            println!("| {run} | {chunks} | {STREAM_COUNT} | {seconds:.1} | {cpu:.2} | {mb:.0} |");
            used.push(cpu);
        }
        let chunks = f64::from(CHUNK_COUNTS[1] - CHUNK_COUNTS[0]) * STREAM_COUNT as f64;
        slopes.push((used[1] - used[0]) / chunks * 1e6);
    }
    println!("\nslope, µs per chunk: {slopes:.1?}");
}
