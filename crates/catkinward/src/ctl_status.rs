use super::*;
use crate::{
    ctl_settings::CtlSettings,
    ctl_vms::{CtlVms, MissingVm, missing_lines},
};

/// Output of `status --json`.
#[derive(serde::Serialize)]
struct StatusOutput {
    vms: Vec<operator::StatusReply>,
    missing: Vec<MissingVm>,
}

/// Queries all VMs for their status and formats the replies.
pub(crate) async fn run(settings: &CtlSettings, vms: &CtlVms) -> Result<String> {
    let replies = vms.query::<operator::StatusReply>("/v1/status").await?;
    if settings.json {
        let output = StatusOutput {
            vms: replies.replies,
            missing: replies.missing,
        };
        return Ok(json_line(&output));
    }
    let lines = replies.replies.iter().map(status_line);
    let mut text = lines.collect::<String>();
    text.push_str(&missing_lines(&replies.missing));
    Ok(text)
}

fn status_line(status: &operator::StatusReply) -> String {
    let bundle = match &status.bundle_digest {
        Some(digest) => format!(
            "bundle {} {}",
            status.bundle_version,
            shorten_digest(digest)
        ),
        None => "no bundle".to_owned(),
    };
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let available = status.upstreams.iter().filter(|u| u.takes_new_work).count();
    format!(
        "{} {} {bundle}, {state}, {} in flight, {available} of {} upstreams take new work\n",
        status.vm,
        status.availability_zone,
        status.in_flight,
        status.upstreams.len(),
    )
}

/// Shortens a digest to its first 12 digits, enough to distinguish two digests by eye.
fn shorten_digest(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}

/// Serializes a value as one line of JSON.
pub(crate) fn json_line<T: serde::Serialize>(value: &T) -> String {
    let json = serde_json::to_string(value).expect("output types have string keys only");
    json + "\n"
}
