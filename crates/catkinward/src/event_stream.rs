use super::*;
use crate::{generation::GenerationOutcome, problem::Problem, returning_caller::ReturnPoint};
use std::fmt::Write as _;

/// How often a caller who waits gets a comment line, so that nothing between takes the connection
/// for dead.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// What a caller reads of a generation, as server-sent events.
struct Reader {
    generation: Arc<Generation>,
    changes: watch::Receiver<()>,
    joiner: Utf8Joiner,
    next: TokenIndex,
    ended: bool,
    /// Named in event ids where the caller can come back to another VM.
    vm: Option<VmId>,
    _in_flight: InFlight,
}

/// Events of a generation from token `from` on, as the body of an answer.
pub(crate) fn event_stream(
    generation: Arc<Generation>,
    from: TokenIndex,
    vm: Option<VmId>,
    in_flight: InFlight,
) -> Body {
    let changes = generation.changes();
    let mut joiner = Utf8Joiner::default();
    let before = generation.read_from(TokenIndex(0)).0;
    for (_, bytes) in before.iter_from(TokenIndex(0)).take(from.as_usize()) {
        joiner.push(bytes);
    }
    let reader = Reader {
        generation,
        changes,
        joiner,
        next: from,
        ended: false,
        vm,
        _in_flight: in_flight,
    };
    let frames = futures::stream::unfold(reader, |mut reader| async {
        let text = reader.read().await?;
        Some((Ok(http_body::Frame::data(Bytes::from(text))), reader))
    });
    Body::from_stream(sync_wrapper::SyncStream::new(frames))
}

impl Reader {
    async fn read(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        loop {
            self.changes.borrow_and_update();
            let (tokens, outcome) = self.generation.read_from(self.next);
            let mut text = String::with_capacity(tokens.len().as_usize() * 160 + 400);
            for (id, bytes) in tokens.iter_from(TokenIndex(0)) {
                self.write_token(&mut text, id, bytes);
            }
            if let Some(outcome) = outcome {
                self.write_outcome(&mut text, outcome);
                self.ended = true;
            }
            if !text.is_empty() {
                return Some(text);
            }
            if tokio::time::timeout(KEEP_ALIVE, self.changes.changed())
                .await
                .is_err()
            {
                return Some(": waiting\n\n".to_owned());
            }
        }
    }

    fn write_token(&mut self, text: &mut String, id: u32, bytes: &[u8]) {
        let event = caller::CompletionEvent {
            choices: vec![caller::CompletionChoice {
                finish_reason: None,
                index: 0,
                text: self.joiner.push(bytes),
            }],
            ..self.event(vec![id])
        };
        let id = ReturnPoint::event_id(self.next, self.vm.as_ref());
        write_event(text, None, Some(&id), &event);
        self.next = self.next.next();
    }

    fn write_outcome(&mut self, text: &mut String, outcome: GenerationOutcome) {
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
                    ..self.event(Vec::new())
                };
                write_event(text, None, None, &event);
                text.push_str("data: [DONE]\n\n");
            }
            GenerationOutcome::Failed(kind) => {
                let problem = Problem {
                    kind,
                    request_id: Some(self.generation.request.id.clone()),
                    next_index: Some(self.next),
                };
                write_event(text, Some("error"), None, &problem.body());
            }
        }
    }

    fn event(&self, tokens: Vec<u32>) -> caller::CompletionEvent {
        caller::CompletionEvent {
            choices: Vec::new(),
            id: self.generation.request.id.to_string(),
            object: "text_completion".to_owned(),
            tokens,
            usage: None,
        }
    }
}

fn write_event<T: serde::Serialize>(
    text: &mut String,
    name: Option<&str>,
    id: Option<&str>,
    data: &T,
) {
    let data = serde_json::to_string(data).expect("border types have text keys only");
    if let Some(name) = name {
        let _ = writeln!(text, "event: {name}");
    }
    if let Some(id) = id {
        let _ = writeln!(text, "id: {id}");
    }
    let _ = write!(text, "data: {data}\n\n");
}
