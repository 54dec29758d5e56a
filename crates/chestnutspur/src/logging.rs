//! Logging: plain text on standard error, or JSON lines on standard output.

mod json;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Starts logging as plain text. The level has one of the names that the settings allow; an unknown
/// name means info. A second call changes nothing.
pub fn start(level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // tarpc logs each RPC at info, which repeats what this program logs itself.
        .add_filter_ignore_str("tarpc")
        .add_filter_ignore_str("hyper")
        .build();
    // Fails only if a logger is installed already, which then stays in use.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

/// Starts logging as JSON lines on standard output; each line names the host. A second call changes
/// only the level.
pub fn start_json(level: &str, host: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    json::start(host);
    log::set_max_level(level);
}
