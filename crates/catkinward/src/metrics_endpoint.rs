use super::*;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The recorder of this process; nodes that share a process share it.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to record metrics, if that has not begun.
pub(crate) fn start_metrics() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // It fails only where a program that embeds this library has a recorder of its own; the page
        // stays empty then.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}

/// The metrics as Prometheus reads them.
#[must_use]
pub fn metrics_text() -> String {
    let handle = start_metrics();
    handle.run_upkeep();
    handle.render()
}

/// The metrics as an answer.
pub(crate) fn metrics_response() -> Response {
    let mut response = Response::new(Body::from(metrics_text()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    response
}
