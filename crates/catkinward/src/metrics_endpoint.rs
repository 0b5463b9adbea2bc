use super::*;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Metrics recorder of this process, shared by all nodes in the process.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder on the first call and returns its handle.
pub(crate) fn start_metrics() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if a program that embeds this library has installed its own recorder; the metrics
        // endpoint then stays empty.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}

/// Renders the metrics in the text format of Prometheus.
#[must_use]
pub fn metrics_text() -> String {
    let handle = start_metrics();
    handle.run_upkeep();
    handle.render()
}

/// Returns the HTTP response of the metrics endpoint.
pub(crate) fn metrics_response() -> Response {
    let mut response = Response::new(Body::from(metrics_text()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    response
}
