use super::*;
use crate::{
    generation_request::GenerationRequest,
    problem::{Problem, ProblemKind},
    progress_replicas::ReplicaSearch,
};

/// Maximum number of VMs in a system that queries all peers for a generation if the caller sends no
/// index. In a larger system, these queries would outnumber all other messages. Such a caller has
/// received nothing, so a restart of the generation is correct and costs only engine time.
const MAX_VMS_FOR_FULL_SEARCH: usize = 16;

/// Maximum time for which a progress replica may still be in transit after the crash of its sender, and
/// for which the VM that served a caller may not have noticed that the caller has disconnected.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a VM that may store the progress replica is queried again if it does not answer.
/// It may only be slow, and without the replica the response is lost.
const UNANSWERED_SEARCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the second search; doubles each time.
const INITIAL_SEARCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay between two searches.
const MAX_SEARCH_DELAY: Duration = Duration::from_millis(320);

/// Resumes the generation of an idempotency key from a replica of any VM, or creates a new one.
///
/// # Errors
///
/// If the key belongs to another request, or if no replica includes the resume point.
pub(crate) async fn find_or_create(
    node: &Node,
    request: GenerationRequest,
    point: &ResumePoint,
) -> Result<Generation, Problem> {
    let Some(record) = search_replica(node, &request, point).await else {
        if point.next == TokenIndex(0) {
            return Ok(Generation::new(request));
        }
        // A new generation would continue the response with different tokens.
        return Err(progress_lost(&request));
    };
    if record.head.digest != request.body {
        return Err(ProblemKind::KeyConflict.into());
    }
    if !record.can_resume(point) {
        return Err(progress_lost(&request));
    }
    Ok(take_over(node, request, point, &record))
}

/// Searches for a progress replica that includes the resume point, repeatedly while a replica may be in
/// transit or another VM serves a caller of the generation. A VM that was paused reads requests whose
/// callers have left; the end of such a connection cancels the request while it waits here.
async fn search_replica(
    node: &Node,
    request: &GenerationRequest,
    point: &ResumePoint,
) -> Option<ProgressRecord> {
    let start = node.timer.now();
    let mut delay = INITIAL_SEARCH_DELAY;
    loop {
        let ReplicaSearch {
            record,
            is_incomplete,
        } = find_replica(node, &request.id, point).await;
        let served = record.as_ref().is_some_and(ProgressRecord::is_being_served);
        let is_final = match &record {
            Some(record) => {
                record.head.digest != request.body || (record.can_resume(point) && !served)
            }
            None => point.next == TokenIndex(0),
        };
        let waited = node.timer.now().since(start);
        let max_wait = if is_incomplete && !served {
            UNANSWERED_SEARCH_TIMEOUT
        } else {
            SEARCH_TIMEOUT
        };
        if is_final || waited >= max_wait {
            if point.next > TokenIndex(0) || served {
                tracing::info!(id = %request.id, next = %point.next, found = record.is_some(), is_final,
                    served, reaches = record.as_ref().map_or(0, |record| record.tokens.len().0),
                    waited_ms = %waited.as_millis(), "caller reconnected: searched for a progress replica");
            }
            return record;
        }
        tokio::time::sleep(delay).await;
        delay = MAX_SEARCH_DELAY.min(delay * 2);
    }
}

async fn find_replica(node: &Node, id: &RequestId, point: &ResumePoint) -> ReplicaSearch {
    let local = |record| ReplicaSearch {
        record,
        is_incomplete: false,
    };
    let Some(peers) = node.peers.as_ref() else {
        return local(None);
    };
    if point.next == TokenIndex(0) && peers.entries().len() > MAX_VMS_FOR_FULL_SEARCH {
        return local(peers.find_local_replica(id, point));
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
    // This VM may have taken the generation over before, for another connection.
    let own = node.generations.with_id(&record.id);
    let own = own.iter().map(|other| other.attempts()).max();
    let known = own.map_or(record.attempt, |own| own.max(record.attempt));
    let last = known.first_after_takeover(rand::random());
    let generation = Generation::resumed(request, record, last);
    if record.finish.is_some() {
        return generation;
    }
    let origin = point.origin.as_ref().map_or("", |(vm, _)| vm.as_str());
    tracing::info!(id = %record.id, next = %point.next, origin, former = %record.attempt, attempt = %last,
        tokens = %generation.next_index(), "generation taken over from another VM");
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

fn progress_lost(request: &GenerationRequest) -> Problem {
    Problem {
        request_id: Some(request.id.clone()),
        next_index: Some(TokenIndex(0)),
        ..ProblemKind::ProgressLost.into()
    }
}
