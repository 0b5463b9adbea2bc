use super::*;

/// Starts the log: JSON lines on standard error, at the levels that `filter` names.
pub fn start_logging(filter: &str) {
    let filter = tracing_subscriber::EnvFilter::new(filter);
    // A second start in one process, as in tests, keeps the first.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .try_init();
}

/// Lines that wait for a reader of standard output; more are dropped. About 300 bytes each.
const WAITING_LINES: usize = 8192;

/// Starts the decision log: JSON lines on standard output, written by a thread of their own, so that
/// a reader who stops reading costs lines and never a call. What is returned writes the lines that
/// still wait when it is dropped.
pub fn start_decision_log() -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(io::stdout());
    // A second start in one process, as in tests, keeps the first.
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
