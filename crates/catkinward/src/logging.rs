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
