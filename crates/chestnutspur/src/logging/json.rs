//! A logger that passes JSON lines through a bounded queue to one writer thread.
//!
//! A request never waits for its log line. When the reader of standard output falls behind, the
//! queue fills and further lines are dropped and counted; the count is logged as soon as a line can
//! be written again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use serde_json::{Map, Value as Json};

/// Lines that may wait for the writer. At about 300 bytes each they hold about a megabyte.
const QUEUE_LINES_MAX: usize = 4_096;
/// Size from which the writer adds no further line to a batch and writes it.
const BATCH_BYTES: usize = 32 << 10;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

struct Logger {
    host: String,
    lines: SyncSender<String>,
}

/// Installs the logger and starts its writer thread; an installed logger stays in use. Each line
/// names the host, so that the logs of all hosts can be merged.
pub fn start(host: &str) {
    let (lines, queue) = sync_channel(QUEUE_LINES_MAX);
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&queue)) {
        eprintln!("chestnutspur: no thread to write logs: {error}");
        return;
    }
    // Fails only if a logger is installed already, which then stays in use.
    let _ = log::set_boxed_logger(Box::new(Logger { host: host.to_owned(), lines }));
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // The macros of `log` check the maximum level themselves, but tracing's bridge relies on
        // this method alone. Without the check here, the RPC library's spans would be written at
        // any level.
        let is_wanted = metadata.level() <= log::max_level();
        // These libraries log their internal steps, which tell nothing about a request.
        let is_noisy =
            ["tarpc", "hyper"].iter().any(|library| metadata.target().starts_with(library));
        is_wanted && !is_noisy
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        match self.lines.try_send(format_line(record, &self.host)) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => drop(DROPPED_LINES.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn flush(&self) {}
}

struct Members(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Members {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => Json::from(number),
            (_, Some(number), _) => Json::from(number),
            (_, _, Some(flag)) => Json::from(flag),
            _ => Json::from(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn format_line(record: &Record<'_>, host: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut members = Members(Map::new());
    members.0.insert("at".to_owned(), Json::from(now.as_secs_f64()));
    members.0.insert("host".to_owned(), Json::from(host));
    members.0.insert("level".to_owned(), Json::from(record.level().as_str()));
    members.0.insert("part".to_owned(), Json::from(record.target()));
    members.0.insert("event".to_owned(), Json::from(record.args().to_string()));
    if let Err(error) = record.key_values().visit(&mut members) {
        members.0.insert("unreadable".to_owned(), Json::from(error.to_string()));
    }
    let mut text = Json::Object(members.0).to_string();
    text.push('\n');
    text
}

fn write_lines(queue: &Receiver<String>) {
    let mut batch = String::new();
    while let Ok(first) = queue.recv() {
        batch.clear();
        batch.push_str(&first);
        while batch.len() < BATCH_BYTES {
            let Ok(next) = queue.try_recv() else { break };
            batch.push_str(&next);
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let dropped = serde_json::json!({
                "level": "WARN", "part": "log", "event": "lines dropped", "count": dropped,
            });
            batch.push_str(&format!("{dropped}\n"));
        }
        let mut out = std::io::stdout().lock();
        // The process keeps serving when standard output is closed.
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
    }
}
