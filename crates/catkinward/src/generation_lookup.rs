use super::*;
use crate::{
    generation_request::GenerationRequest,
    problem::{Problem, ProblemKind},
};

/// In a system of at most this many VMs, all are asked for a generation whose caller comes without
/// an index. In a larger one that would cost more messages than all else; such a caller has
/// received nothing, so to begin anew is correct and costs engine time only.
const SMALL_SYSTEM: usize = 16;

/// How long a copy of progress may be on its way to its holder after the VM that sent it was lost.
const IN_FLIGHT_BOUND: Duration = Duration::from_millis(500);

/// Wait before a copy that may be on its way is looked for again; it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Finds the generation of a caller who gave an idempotency key: the one that runs here, one that
/// another VM has run, or a new one.
///
/// # Errors
///
/// If the key was used for another request, or no copy reaches as far as the caller has come: to
/// begin anew would give it tokens of another generation.
pub(crate) async fn find_or_begin(
    node: &Node,
    request: GenerationRequest,
    point: &ResumePoint,
) -> Result<Generation, Problem> {
    let Some(record) = await_copy(node, &request, point).await else {
        if point.next == TokenIndex(0) {
            return Ok(Generation::new(request));
        }
        return Err(lost(&request));
    };
    if record.head.digest != request.body {
        return Err(ProblemKind::KeyConflict.into());
    }
    if !record.can_resume(point) {
        return Err(lost(&request));
    }
    Ok(take_over(node, request, point, &record))
}

/// Looks for the copy of a generation, again and again while one that reaches as far as the caller may be on its way: a
/// caller returns sooner than a message of the lost VM takes.
async fn await_copy(
    node: &Node,
    request: &GenerationRequest,
    point: &ResumePoint,
) -> Option<ProgressRecord> {
    let start = node.timer.now();
    let mut backoff = FIRST_BACKOFF;
    loop {
        let record = find_copy(node, &request.id, point).await;
        let is_final = match &record {
            Some(record) => record.head.digest != request.body || record.can_resume(point),
            None => point.next == TokenIndex(0),
        };
        let waited = node.timer.now().since(start);
        if is_final || waited >= IN_FLIGHT_BOUND {
            if point.next > TokenIndex(0) {
                tracing::info!(id = %request.id, next = %point.next, found = record.is_some(), is_final,
                    waited_ms = %waited.as_millis(), "caller returned: copy of progress looked for");
            }
            return record;
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
    }
}

async fn find_copy(node: &Node, id: &RequestId, point: &ResumePoint) -> Option<ProgressRecord> {
    let peers = node.peers.as_ref()?;
    if point.next == TokenIndex(0) && peers.entries().len() > SMALL_SYSTEM {
        return peers.find_local_replica(id, point);
    }
    peers.find(id, point).await
}

fn take_over(
    node: &Node,
    request: GenerationRequest,
    point: &ResumePoint,
    record: &ProgressRecord,
) -> Generation {
    let request = request.resumed_from(record);
    let last = record.attempt.first_after_takeover(rand::random());
    let generation = Generation::resumed(request, record, last);
    if record.finish.is_some() {
        return generation;
    }
    let update = generation.progress_from(TokenIndex(0));
    if let (Some(peers), Some(update)) = (&node.peers, update) {
        peers.notify_taken_over(point, &update);
    }
    metrics::counter!("catkin_take_overs_total").increment(1);
    node.timeline.record(Event {
        request: Some(record.id.clone()),
        attempt: Some(last),
        upstream: record.upstream.clone(),
        bundle: Some(record.head.bundle),
        detail: point.origin.as_ref().map(|(vm, _)| vm.as_str().into()),
        ..Event::new(EventKind::TakenOver)
    });
    generation
}

fn lost(request: &GenerationRequest) -> Problem {
    Problem {
        request_id: Some(request.id.clone()),
        next_index: Some(TokenIndex(0)),
        ..ProblemKind::ProgressLost.into()
    }
}
