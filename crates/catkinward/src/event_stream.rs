use super::*;
use crate::{
    generation::GenerationOutcome,
    problem::{Problem, ProblemKind},
};
use std::pin::Pin;
use tokio::time::{Instant, Sleep};

/// Interval of comment lines to a waiting caller, so that no intermediary treats the connection as
/// dead.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Approximate size in bytes of the event of one token.
const TYPICAL_EVENT_BYTES: usize = 220;

/// Outcome on a VM whose generation another VM has taken over. A caller that is still connected here
/// is not told that its request failed: its stream is interrupted, and it resumes elsewhere.
const SUPERSEDED: GenerationOutcome = GenerationOutcome::Failed(ProblemKind::Superseded);

/// Reads a generation as server-sent events for a caller.
struct Reader {
    generation: Arc<Generation>,
    changes: watch::Receiver<()>,
    joiner: Utf8Joiner,
    next: TokenIndex,
    ended: bool,
    /// Event reused for each token; only its token and text change.
    event: caller::CompletionEvent,
    /// Fires when a comment line may be due. It is reset only then, not for each token.
    keep_alive: Pin<Box<Sleep>>,
    vm: VmId,
    _in_flight: InFlight,
}

/// Returns a response body with the events of a generation from token `from` on.
pub(crate) fn event_stream(
    generation: Arc<Generation>,
    from: TokenIndex,
    vm: &VmId,
    in_flight: InFlight,
) -> Body {
    let changes = generation.changes();
    let mut joiner = Utf8Joiner::default();
    let already_received = generation.read_from(TokenIndex(0)).0;
    for (_, bytes) in already_received
        .iter_from(TokenIndex(0))
        .take(from.as_usize())
    {
        joiner.push(bytes);
    }
    let reader = Reader {
        event: token_event(&generation),
        generation,
        changes,
        joiner,
        next: from,
        ended: false,
        keep_alive: Box::pin(tokio::time::sleep(KEEP_ALIVE_INTERVAL)),
        vm: vm.clone(),
        _in_flight: in_flight,
    };
    let frames = futures::stream::unfold(reader, |mut reader| async {
        let text = reader.read().await?;
        let frame = text.map(|text| http_body::Frame::data(Bytes::from(text)));
        Some((frame.map_err(Into::into), reader))
    });
    Body::from_stream(sync_wrapper::SyncStream::new(frames))
}

impl Reader {
    async fn read(&mut self) -> Option<Result<Vec<u8>, Error>> {
        if self.ended {
            return None;
        }
        let deadline = Instant::now() + KEEP_ALIVE_INTERVAL;
        loop {
            self.changes.borrow_and_update();
            let (tokens, outcome) = self.generation.read_from(self.next);
            let mut buf = Vec::with_capacity(tokens.len().as_usize() * TYPICAL_EVENT_BYTES);
            for (id, bytes) in tokens.iter_from(TokenIndex(0)) {
                self.write_token(&mut buf, id, bytes);
            }
            match outcome {
                Some(SUPERSEDED) if buf.is_empty() => {
                    self.ended = true;
                    return Some(Err(Error::Superseded));
                }
                // The error follows the last tokens.
                Some(SUPERSEDED) | None => {}
                Some(outcome) => {
                    self.write_outcome(&mut buf, outcome);
                    self.ended = true;
                }
            }
            if !buf.is_empty() {
                return Some(Ok(buf));
            }
            tokio::select! {
                biased;
                _ = self.changes.changed() => {}
                () = &mut self.keep_alive => {
                    self.keep_alive.as_mut().reset(deadline.max(Instant::now()));
                    if Instant::now() >= deadline {
                        return Some(Ok(b": waiting\n\n".to_vec()));
                    }
                }
            }
        }
    }

    fn write_token(&mut self, buf: &mut Vec<u8>, id: u32, bytes: &[u8]) {
        self.event.choices[0].text = self.joiner.push(bytes);
        self.event.tokens[0] = id;
        let id = match &self.generation.request.resumable {
            Some(resumable) => ResumePoint::event_id(self.next, resumable.chain, &self.vm),
            None => self.next.to_string(),
        };
        write_event(buf, None, Some(&id), &self.event);
        self.next = self.next.next();
    }

    fn write_outcome(&mut self, buf: &mut Vec<u8>, outcome: GenerationOutcome) {
        match outcome {
            GenerationOutcome::Whole(finish) => {
                let event = caller::CompletionEvent {
                    choices: vec![caller::CompletionChoice {
                        finish_reason: Some(finish.to_string()),
                        index: 0,
                        text: self.joiner.finish(),
                    }],
                    usage: Some(caller::Usage {
                        attempts: self.generation.attempts().0,
                        completion_tokens: self.next.0,
                    }),
                    tokens: Vec::new(),
                    ..self.event.clone()
                };
                write_event(buf, None, None, &event);
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            GenerationOutcome::Failed(kind) => {
                let problem = Problem {
                    request_id: Some(self.generation.request.id.clone()),
                    next_index: Some(self.next),
                    ..kind.into()
                };
                write_event(buf, Some("error"), None, &problem.body());
            }
        }
    }
}

/// Returns a template for the event of one token, without the token.
fn token_event(generation: &Generation) -> caller::CompletionEvent {
    caller::CompletionEvent {
        choices: vec![caller::CompletionChoice {
            finish_reason: None,
            index: 0,
            text: String::new(),
        }],
        id: generation.request.id.to_string(),
        object: "text_completion".to_owned(),
        tokens: vec![0],
        usage: None,
    }
}

fn write_event<T: serde::Serialize>(
    buf: &mut Vec<u8>,
    name: Option<&str>,
    id: Option<&str>,
    data: &T,
) {
    if let Some(name) = name {
        write_line(buf, "event: ", name);
    }
    if let Some(id) = id {
        write_line(buf, "id: ", id);
    }
    buf.extend_from_slice(b"data: ");
    serde_json::to_writer(&mut *buf, data).expect("API types have only string keys");
    buf.extend_from_slice(b"\n\n");
}

fn write_line(buf: &mut Vec<u8>, field: &str, value: &str) {
    for part in [field, value, "\n"] {
        buf.extend_from_slice(part.as_bytes());
    }
}
