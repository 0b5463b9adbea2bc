use super::*;
use crate::{
    ctl_settings::CtlSettings,
    ctl_status::json_line,
    ctl_time::utc_micros,
    ctl_vms::{CtlVms, MissingVm, missing_lines},
};
use std::fmt::Write;

/// An event with the VM that recorded it.
#[derive(serde::Serialize)]
struct MergedEvent {
    vm: String,
    availability_zone: String,
    #[serde(flatten)]
    event: operator::TimelineEvent,
    #[serde(skip)]
    time: HybridTime,
}

/// Number of events that a VM has overwritten since its process started.
#[derive(serde::Serialize)]
struct OverwrittenEvents {
    vm: String,
    events: u64,
}

/// Output of `timeline --json`.
#[derive(serde::Serialize)]
struct TimelineOutput {
    events: Vec<MergedEvent>,
    overwritten: Vec<OverwrittenEvents>,
    missing: Vec<MissingVm>,
}

/// Queries all VMs for their events and merges them in causal order.
pub(crate) async fn run(settings: &CtlSettings, vms: &CtlVms) -> Result<String> {
    let replies = vms.query(&timeline_path(&settings.query)).await?;
    let output = merge(replies.replies, replies.missing);
    if settings.json {
        return Ok(json_line(&output));
    }
    let mut text = output.events.iter().map(format_event).collect::<String>();
    for OverwrittenEvents { vm, events } in &output.overwritten {
        let _ = writeln!(
            text,
            "incomplete: {vm} has overwritten its {events} oldest events"
        );
    }
    text.push_str(&missing_lines(&output.missing));
    Ok(text)
}

fn timeline_path(query: &TimelineQuery) -> String {
    let mut pairs = form_urlencoded::Serializer::new(String::new());
    if let Some(request) = &query.request {
        pairs.append_pair("request", request.as_str());
    }
    if let Some(upstream) = &query.upstream {
        pairs.append_pair("upstream", upstream.as_str());
    }
    if let Some(since) = &query.since {
        pairs.append_pair("since", &since.to_string());
    }
    format!("/v1/timeline?{}", pairs.finish())
}

fn merge(replies: Vec<operator::TimelineReply>, mut missing: Vec<MissingVm>) -> TimelineOutput {
    let mut events = Vec::new();
    let mut overwritten = Vec::new();
    for reply in replies {
        if reply.overwritten > 0 {
            overwritten.push(OverwrittenEvents {
                vm: reply.vm.clone(),
                events: reply.overwritten,
            });
        }
        let merged = reply.events.into_iter().map(|event| {
            Ok(MergedEvent {
                vm: reply.vm.clone(),
                availability_zone: reply.availability_zone.clone(),
                time: event.time.parse()?,
                event,
            })
        });
        match merged.collect::<Result<Vec<_>, catkin_decisions::Error>>() {
            Ok(merged) => events.extend(merged),
            Err(error) => missing.push(MissingVm {
                vm: reply.vm.clone(),
                reason: error.to_string(),
            }),
        }
    }
    // Events of two VMs with equal clock readings are unordered; the VM name makes the output
    // deterministic.
    events.sort_by(|a, b| (a.time, &a.vm).cmp(&(b.time, &b.vm)));
    TimelineOutput {
        events,
        overwritten,
        missing,
    }
}

fn format_event(merged: &MergedEvent) -> String {
    let event = &merged.event;
    let number = |name: &str, value: Option<u64>| value.map(|value| format!(" {name} {value}"));
    let text = |name: &str, value: Option<&str>| value.map(|value| format!(" {name} {value}"));
    let parts = [
        text("request", event.request.as_deref()),
        number("attempt", event.attempt),
        text("on", event.upstream.as_deref()),
        number("bundle", event.bundle),
        number("term", event.term),
        event.detail.as_ref().map(|detail| format!(": {detail}")),
    ];
    format!(
        "{} {} {} {}{}\n",
        utc_micros(merged.time),
        merged.vm,
        merged.availability_zone,
        event.kind,
        parts.into_iter().flatten().collect::<String>(),
    )
}
