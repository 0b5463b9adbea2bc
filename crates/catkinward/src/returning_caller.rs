use super::*;
use crate::{
    generation_request::GenerationRequest,
    problem::{Problem, ProblemKind},
};

/// How far a returning caller has come: the index of the token that it lacks, and the VM that it
/// had the one before from.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReturnPoint {
    pub(crate) next: TokenIndex,
    pub(crate) vm: Option<VmId>,
}

impl ReturnPoint {
    /// Reads a caller's `Last-Event-ID`: the index, and behind `@` the VM.
    pub(crate) fn read(last_event_id: &str) -> Result<Self, Problem> {
        let malformed = |_| ProblemKind::Malformed;
        let (index, vm) = match last_event_id.split_once('@') {
            Some((index, vm)) => (index, Some(vm.parse().map_err(malformed)?)),
            None => (last_event_id, None),
        };
        let last: TokenIndex = index.parse().map_err(malformed)?;
        Ok(Self {
            next: last.next(),
            vm,
        })
    }

    /// The id line of an event: what a caller sends back as `Last-Event-ID`.
    pub(crate) fn event_id(index: TokenIndex, vm: Option<&VmId>) -> String {
        match vm {
            Some(vm) => format!("{index}@{vm}"),
            None => index.to_string(),
        }
    }
}

/// In a system of at most this many VMs, all are asked for a generation whose caller comes without
/// an index. In a larger one that would cost more messages than all else; such a caller has
/// received nothing, so to begin anew is correct and costs engine time only.
const SMALL_SYSTEM: usize = 16;

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
    point: &ReturnPoint,
) -> Result<Generation, Problem> {
    let Some(record) = find_copy(node, &request.id, point).await else {
        if point.next == TokenIndex(0) {
            return Ok(Generation::new(request));
        }
        return Err(lost(&request));
    };
    if Some(&record.digest) != request.digest.as_ref() {
        return Err(ProblemKind::KeyConflict.into());
    }
    if record.tokens.len() < point.next {
        return Err(lost(&request));
    }
    Ok(take_over(node, request, point, &record))
}

async fn find_copy(node: &Node, id: &RequestId, point: &ReturnPoint) -> Option<ProgressRecord> {
    let peers = node.peers.as_ref()?;
    if point.next == TokenIndex(0) && peers.entries().len() > SMALL_SYSTEM {
        return peers.find_here(id);
    }
    peers.find(id, point.vm.as_ref(), point.next).await
}

fn take_over(
    node: &Node,
    request: GenerationRequest,
    point: &ReturnPoint,
    record: &ProgressRecord,
) -> Generation {
    let request = request.with_pinned(&record.pinned);
    let last = record.attempt.take_over(rand::random());
    let generation = Generation::resumed(request, record, last);
    if record.finish.is_some() {
        return generation;
    }
    let update = generation.progress_from(TokenIndex(0));
    if let (Some(peers), Some(update)) = (&node.peers, update) {
        peers.tell_taken_over(point.vm.as_ref(), &update);
    }
    node.timeline.record(Event {
        request: Some(record.id.clone()),
        attempt: Some(last),
        upstream: record.upstream.clone(),
        bundle: Some(record.pinned.bundle),
        detail: point.vm.as_ref().map(|vm| vm.as_str().into()),
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
