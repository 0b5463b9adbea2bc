use super::*;
use crate::{
    admission_pool::{ChooseUpstream, Refusal},
    generation_request::GenerationRequest,
    queued_request::QueuedRequest,
};

/// How long a suspect request is limited to upstreams whose suspects this VM observes. Afterwards
/// it may run on any upstream.
pub(crate) const SUSPECT_MAX_WAIT: Duration = Duration::from_secs(1);

/// Queues a generation for its first slot.
///
/// # Errors
///
/// If upstreams crashed under it before, its team's limit is reached, or it would start too late.
pub(crate) fn offer(
    node: &Node,
    request: &GenerationRequest,
    team: QueueTeam,
) -> Result<QueuedRequest, Refusal> {
    let pool = node.admission.pool(&request.service);
    if node.upstreams.is_refused(request.body) {
        pool.count_refusal(RefusalReason::Poisoned);
        return Err(Refusal {
            reason: RefusalReason::Poisoned,
            retry_after: Duration::ZERO,
        });
    }
    charge_team_limits(node, request).map_err(|retry_after| {
        pool.count_refusal(RefusalReason::TeamLimit);
        Refusal {
            reason: RefusalReason::TeamLimit,
            retry_after,
        }
    })?;
    let result = pool.offer(&request.arrival(team), upstream_selector(node, request));
    result.inspect_err(|_| {
        let limits = &node.limits;
        limits.refund(&request.team, LimitKind::Requests, 1);
        limits.refund(&request.team, LimitKind::Tokens, request.max_tokens);
    })
}

/// Charges one request and all tokens that it may generate to its team's limits.
fn charge_team_limits(node: &Node, request: &GenerationRequest) -> Result<(), Duration> {
    let (limits, team) = (&node.limits, &request.team);
    limits.take(team, LimitKind::Requests, 1)?;
    let tokens = limits.take(team, LimitKind::Tokens, request.max_tokens);
    tokens.inspect_err(|_| limits.refund(team, LimitKind::Requests, 1))
}

fn upstream_selector(node: &Node, request: &GenerationRequest) -> ChooseUpstream {
    let (upstreams, request) = (node.upstreams.clone(), request.clone());
    let (timer, start) = (node.timer.clone(), node.timer.now());
    Box::new(move |taken| {
        // A suspect that no observed upstream accepts would block the other requests of its team.
        let urgent = timer.now().since(start) > SUSPECT_MAX_WAIT;
        let query = UpstreamQuery {
            avoid: taken,
            urgent,
            ..request.upstream_query()
        };
        upstreams.choose(&query).ok()
    })
}
