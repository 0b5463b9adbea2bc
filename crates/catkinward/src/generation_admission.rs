use super::*;
use crate::{
    admission_pool::{ChooseUpstream, Refusal},
    generation_request::GenerationRequest,
    queued_request::QueuedRequest,
};

/// How long a suspected request waits for an upstream that this VM watches.
pub(crate) const SUSPECT_PATIENCE: Duration = Duration::from_secs(1);

/// Lets a generation wait for its first place.
///
/// # Errors
///
/// At once, if upstreams died under the same request before, its team's limit is reached, or it
/// could not start in time.
pub(crate) fn offer(
    node: &Node,
    request: &GenerationRequest,
    team: QueueTeam,
) -> Result<QueuedRequest, Refusal> {
    let pool = node.admission.pool(&request.service);
    if node.upstreams.refuses(request.body) {
        pool.count_refusal(RefusalReason::Poisoned);
        return Err(Refusal {
            reason: RefusalReason::Poisoned,
            retry_after: Duration::ZERO,
        });
    }
    take_from_limits(node, request).map_err(|retry_after| {
        pool.count_refusal(RefusalReason::TeamLimit);
        Refusal {
            reason: RefusalReason::TeamLimit,
            retry_after,
        }
    })?;
    let offered = pool.offer(&request.arrival(team), chooser(node, request));
    offered.inspect_err(|_| {
        let limits = &node.limits;
        limits.refund(&request.team, LimitKind::Requests, 1);
        limits.refund(&request.team, LimitKind::Tokens, request.max_tokens);
    })
}

/// Takes a request and all tokens that it may generate from its team's limits.
fn take_from_limits(node: &Node, request: &GenerationRequest) -> Result<(), Duration> {
    let (limits, team) = (&node.limits, &request.team);
    limits.take(team, LimitKind::Requests, 1)?;
    let tokens = limits.take(team, LimitKind::Tokens, request.max_tokens);
    tokens.inspect_err(|_| limits.refund(team, LimitKind::Requests, 1))
}

fn chooser(node: &Node, request: &GenerationRequest) -> ChooseUpstream {
    let (upstreams, request) = (node.upstreams.clone(), request.clone());
    let (timer, start) = (node.timer.clone(), node.timer.now());
    Box::new(move |taken| {
        // A suspect that no watched upstream takes would hold up its team's queue behind it.
        let urgent = timer.now().since(start) > SUSPECT_PATIENCE;
        let want = UpstreamQuery {
            avoid: taken,
            urgent,
            ..request.want()
        };
        upstreams.choose(&want).ok()
    })
}
