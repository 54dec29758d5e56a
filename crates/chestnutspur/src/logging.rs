//! Logs: short sentences on standard error, or JSON lines on standard output.

mod json;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Starts logging at a level named as in the settings; a second call changes nothing.
pub fn start(level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // tarpc logs every call of its own at info; ours say what matters.
        .add_filter_ignore_str("tarpc")
        .add_filter_ignore_str("hyper")
        .build();
    // Only a logger that is set already makes this fail, and then logs go on.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

/// Starts logging as JSON lines on standard output; a second call changes only the level.
pub fn start_json(level: &str, host: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    json::start(host);
    log::set_max_level(level);
}
