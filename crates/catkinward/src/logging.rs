use super::*;

/// Starts the log: JSON lines on standard error, filtered by the levels in `filter`.
pub fn start_logging(filter: &str) {
    let filter = tracing_subscriber::EnvFilter::new(filter);
    // Fails if a subscriber is already set, as in tests; the first one stays in use.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .try_init();
}

/// Maximum number of lines buffered for standard output; further lines are dropped. A line has about
/// 300 bytes.
const MAX_BUFFERED_LINES: usize = 8192;

/// Starts the decision log: JSON lines on standard output. A separate thread writes them, so that a
/// reader that stops reading loses lines but delays no calls. The returned guard flushes the buffered
/// lines when it is dropped.
pub fn start_decision_log() -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(io::stdout());
    // Fails if a subscriber is already set, as in tests; the first one stays in use.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .try_init();
    guard
}
