//! What a streamed token costs an entry: processor time by the number of pieces relayed.
//!
//! Run with `cargo bench -p chestnutspur --bench stream`.

#[path = "../tests/support/mod.rs"]
mod support;

use standin::engine;
use support::call::Call;
use support::process::Process;
use support::{Deployment, Plan, burst};

/// Streams at a time.
const STREAMS: usize = 40;
/// Pieces of one stream; two runs give the slope.
const PIECES: [u32; 2] = [200, 2_000];
const RUNS: usize = 3;

async fn relay(pieces: u32) -> (f64, f64, f64) {
    let mut plan =
        Plan { hosts: vec!["north"], engines: vec!["north", "north"], ..Plan::default() };
    for version in plan.engine.versions.values_mut() {
        *version =
            engine::Version { tokens: pieces, between_tokens_ms: 1, ..engine::Version::default() };
    }
    // The document's deadline is 10 s; a long stream must not pass it.
    for account in ["first", "second"] {
        plan.document["accounts"][account]["tasks"]["tag"]["deadline_ms"] = 60_000.into();
    }
    let deployment = Deployment::start(&format!("bench-stream-{pieces}"), plan).await;
    let entry = &deployment.hosts[0].entry;
    let to = [deployment.callers(0)];
    let before = entry.cpu_seconds();
    let start = std::time::Instant::now();
    let calls = (0..STREAMS).map(|index| Call::stream("letter", &format!("stream {index}")));
    let replies = burst(&to, calls.collect()).await;
    let seconds = start.elapsed().as_secs_f64();
    assert!(replies.iter().flatten().all(|reply| reply.status == 200 && reply.whole));
    (entry.cpu_seconds() - before, seconds, memory(entry))
}

fn memory(process: &Process) -> f64 {
    process.memory_kb() as f64 / 1024.0
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!("| run | pieces a stream | streams | seconds | entry's processor, s | MB, most |");
    println!("|---|---|---|---|---|---|");
    let mut slopes = Vec::new();
    for run in 1..=RUNS {
        let mut used = Vec::new();
        for pieces in PIECES {
            let (cpu, seconds, mb) = runtime.block_on(relay(pieces));
            println!("| {run} | {pieces} | {STREAMS} | {seconds:.1} | {cpu:.2} | {mb:.0} |");
            used.push(cpu);
        }
        let pieces = f64::from(PIECES[1] - PIECES[0]) * STREAMS as f64;
        slopes.push((used[1] - used[0]) / pieces * 1e6);
    }
    println!("\nslope, µs a piece: {slopes:.1?}");
}
