//! Execution of calls of plain services (`/v1/services/{service}/...`): team limit, coalescing of equal
//! reads, and the limit on concurrent calls for one item.

use super::*;
use crate::{
    admission_pool::{AdmissionPool, Refusal},
    plain_call::PlainCall,
    plain_dispatch::PlainDispatch,
    plain_response::PlainResponse,
    problem::{Problem, ProblemKind},
    read_leader::{CoalescedRead, ReadLeader},
};

/// Counts one concurrent call for an item until it is dropped.
struct ItemCallGuard {
    pool: Arc<AdmissionPool>,
    key: CallKey,
}

impl Drop for ItemCallGuard {
    fn drop(&mut self) {
        self.pool.hot_keys.lock().release(&self.key);
    }
}

/// Runs a call of a plain service.
pub(crate) async fn call_plain(node: Arc<Node>, call: PlainCall) -> Result<PlainResponse, Problem> {
    let pool = node.admission.pool(&call.service);
    let dispatch = PlainDispatch { node, pool };
    let request = call.id.clone();
    let acquired = dispatch
        .node
        .limits
        .take(&call.team.id, LimitKind::Requests, 1);
    let response = if let Err(retry_after) = acquired {
        let reason = RefusalReason::TeamLimit;
        dispatch.pool.count_refusal(reason);
        let not_run = Queued::new(call).refuse(reason, retry_after);
        Err(Problem::not_run(&not_run))
    } else if call.is_read() {
        call_coalesced(&dispatch, call).await
    } else {
        call_with_item_limit(&dispatch, call).await
    };
    response.map_err(|problem| Problem {
        request_id: Some(request),
        ..problem
    })
}

/// Runs a call unless too many calls for the same item are in flight.
async fn call_with_item_limit(
    dispatch: &PlainDispatch,
    call: PlainCall,
) -> Result<PlainResponse, Problem> {
    let key = call.item_key();
    if !dispatch.pool.hot_keys.lock().try_acquire(&key) {
        let refusal = Refusal {
            reason: RefusalReason::HotKey,
            retry_after: Duration::ZERO,
        };
        dispatch.pool.count_refusal(refusal.reason);
        let not_run = Queued::new(call).refuse(refusal.reason, refusal.retry_after);
        return Err(Problem::not_run(&not_run));
    }
    let _guard = ItemCallGuard {
        pool: dispatch.pool.clone(),
        key,
    };
    match (call.idempotent, call.key.clone()) {
        (true, _) => dispatch.call_with_retries(call).await,
        (false, Some(key)) => dispatch.call_with_key(call, key).await,
        (false, None) => dispatch.call_once(call).await,
    }
}

/// Runs a read, or waits for the response of an equal read that is in flight.
async fn call_coalesced(
    dispatch: &PlainDispatch,
    call: PlainCall,
) -> Result<PlainResponse, Problem> {
    let leader = match ReadLeader::join(&dispatch.pool, &call.coalescing_key()) {
        Ok(leader) => leader,
        Err(rx) => {
            dispatch.pool.increment_counter("catkin_merged_reads_total");
            let until_deadline = call.deadline.since(dispatch.pool.timer.now());
            match tokio::time::timeout(until_deadline, rx).await {
                Ok(Ok(CoalescedRead::Response(response))) => return Ok(response),
                Ok(Ok(CoalescedRead::Lead(leader))) => leader,
                _ => return Err(ProblemKind::AnswerLost.into()),
            }
        }
    };
    let response = dispatch.call_with_retries(call).await?;
    // A server error is not shared: the next waiting call becomes the leader and sends its own request.
    if !response.status.is_server_error() {
        leader.share_response(&response);
    }
    Ok(response)
}
