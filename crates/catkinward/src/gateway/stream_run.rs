//! A stream over one or more runs on upstreams.

use super::{
    accepted_call::AcceptedCall,
    kv_copy::KvCopy,
    kv_copy_manager::KvCopyManager,
    reply::StreamCut,
    reply_log::{log_caller_left, millis},
    run_guard::RunGuard,
    stream_call::StreamStop,
    *,
};

/// Silence of a stream that has begun, after which it goes on elsewhere although its upstream answers
/// questions: its connection has gone silent for good, or it was put aside for a more urgent one.
/// Events come every 30 to 200 ms; with the resume a caller waits less than 0.7 s.
const STALL: Duration = Duration::from_millis(450);

/// Silence before the first event after which the prompt is read elsewhere. Reading and waiting for
/// other prompts takes one to four seconds, and to begin anew costs as much, so this is only for
/// connections that have gone silent for good.
pub(super) const STALL_BEFORE_FIRST: Duration = Duration::from_secs(6);

/// A stream on its way to a caller.
pub(crate) struct StreamRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) accepted: AcceptedCall,
    pub(super) relay: EventRelay,
    pub(super) active: Option<ActiveRun>,
    /// A copy of the memory of the run before.
    pub(super) copy: Option<KvCopy>,
    /// Tokens of its prompt that engines hold, sorted by engine.
    pub(super) cached: Vec<(UpstreamIncarnation, u32)>,
    /// Upstreams that lost or refused it.
    pub(super) avoid: Vec<UpstreamIncarnation>,
    pub(super) sends: u32,
    /// Whether the next send is paid for: the one before did not arrive.
    pub(super) send_paid: bool,
    /// Upstreams that may have run it, the present one included.
    pub(super) ran_on: Vec<UpstreamIncarnation>,
    /// Upstreams whose connections broke before they made an event, since one last did.
    pub(super) broke_beginning: Vec<Arc<UpstreamEntry>>,
    /// Whether the caller has got an event.
    pub(super) delivered: bool,
    /// When the caller got its first event.
    pub(super) first_event_at: Option<Instant>,
    pub(super) head: Option<(StatusCode, HeaderMap)>,
    /// When the run before was lost.
    pub(super) lost_at: Option<Instant>,
    /// When the run was sent, until its first event; none if its first event does not tell how fast its upstream is.
    pub(super) judged_since: Option<Instant>,
    /// Whether the stream is whole or cut.
    pub(super) ended: bool,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        // Before the first event whoever waits for it says so.
        if self.delivered && !self.ended {
            log_caller_left(&self.accepted.call, self.relay.last());
        }
    }
}

/// The run that the caller gets events from.
pub(super) struct ActiveRun {
    pub(super) number: EventRun,
    pub(super) guard: RunGuard,
    pub(super) copies: KvCopyManager,
    pub(super) body: ResponseBody,
    pub(super) splitter: EventSplitter,
    pub(super) gave_events: bool,
    /// When something came last.
    pub(super) progress: tokio::time::Instant,
}

/// What came from the active run.
enum Received {
    Bytes(Bytes),
    End,
    Broken(Loss),
    TimedOut,
    /// Nothing, but the copies of the run may need a look.
    Look,
}

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Loss {
    /// Its connection broke.
    Broken,
    /// Its upstream did not answer a question.
    Silent,
    /// It ended in the middle of an event.
    Torn,
    /// It left events out.
    Gap,
    /// Its upstream lives, but nothing comes.
    Stalled,
}

impl StreamRun {
    pub(crate) fn new(gateway: Arc<Gateway>, accepted: AcceptedCall) -> Self {
        Self {
            relay: EventRelay::new(accepted.call.last_event),
            gateway,
            accepted,
            active: None,
            copy: None,
            cached: Vec::new(),
            avoid: Vec::new(),
            sends: 0,
            send_paid: false,
            ran_on: Vec::new(),
            broke_beginning: Vec::new(),
            delivered: false,
            first_event_at: None,
            head: None,
            lost_at: None,
            judged_since: None,
            ended: false,
        }
    }

    /// Head of the first upstream's answer, once there is an event or the end.
    pub(crate) fn take_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        self.head.take()
    }

    /// The next whole events; `None` at the end of the whole stream.
    pub(crate) async fn next_events(&mut self) -> Result<Option<Bytes>, StreamStop> {
        loop {
            if self.active.is_none() {
                self.open().await?;
            }
            let events = self.take_events();
            match events {
                Ok(events) if !events.is_empty() => {
                    if let Some(active) = &mut self.active {
                        active.gave_events = true;
                    }
                    self.note_delivery();
                    return Ok(Some(events.into()));
                }
                Ok(_) => {}
                Err(loss) => {
                    self.lost(loss)?;
                    continue;
                }
            }
            match self.receive().await {
                Received::Bytes(bytes) => self.push(&bytes)?,
                Received::End if self.has_incomplete_event() => self.lost(Loss::Torn)?,
                Received::End => {
                    self.finished();
                    return Ok(None);
                }
                Received::Broken(loss) => self.lost(loss)?,
                Received::TimedOut => return Err(StreamStop::TimedOut),
                Received::Look => self.look_at_copies(),
            }
        }
    }

    pub(crate) fn log_cut(&mut self, cut: StreamCut) {
        self.ended = true;
        metrics::counter!("catkin_streams_cut_total").increment(1);
        tracing::warn!(request = %self.accepted.call.id, last_event = self.relay.last(),
            sends = self.sends, runs = self.ran_on.len(), %cut, "stream cut");
    }

    fn take_events(&mut self) -> Result<Vec<u8>, Loss> {
        let mut buf = Vec::new();
        let Some(active) = &mut self.active else {
            return Ok(buf);
        };
        while let Some(CompleteEvent { id, bytes }) = active.splitter.next_event() {
            let fate = match id {
                Some(id) => self.relay.decide(active.number, id),
                // An event without a number cannot be told from one that was handed on before.
                None if self.ran_on.len() > 1 => EventDecision::Drop,
                None => EventDecision::Deliver,
            };
            match fate {
                EventDecision::Deliver => buf.extend_from_slice(&bytes),
                EventDecision::Drop => {}
                EventDecision::Gap if buf.is_empty() => return Err(Loss::Gap),
                EventDecision::Gap => break,
            }
        }
        Ok(buf)
    }

    async fn receive(&mut self) -> Received {
        let now = self.gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        let repeat = self.accepted.route.kind.may_retry();
        let Some(active) = &mut self.active else {
            return Received::Broken(Loss::Broken);
        };
        let stall = if active.gave_events {
            STALL
        } else {
            STALL_BEFORE_FIRST
        };
        let stalls_at = active.progress + stall;
        tokio::select! {
            chunk = active.body.next() => match chunk {
                Some(Ok(bytes)) => {
                    active.progress = tokio::time::Instant::now();
                    Received::Bytes(bytes)
                }
                Some(Err(BodyError)) => Received::Broken(Loss::Broken),
                None => Received::End,
            },
            () = active.guard.lost() => Received::Broken(Loss::Silent),
            () = active.copies.wait() => Received::Look,
            () = tokio::time::sleep_until(stalls_at), if repeat => {
                Received::Broken(Loss::Stalled)
            }
            () = tokio::time::sleep(time_left) => Received::TimedOut,
        }
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), StreamStop> {
        let Some(active) = &mut self.active else {
            return Ok(());
        };
        self.gateway.upstream_responded(&active.guard.entry, None);
        if active.splitter.push(bytes).is_err() {
            return self.lost(Loss::Torn);
        }
        Ok(())
    }

    /// Has a new copy made if there is none. Before the first event an engine may not run the call.
    fn look_at_copies(&mut self) {
        let has_copies = self.gateway.has_copies(&self.accepted.service);
        if let (Some(active), true) = (&mut self.active, self.delivered && has_copies) {
            active.copies.check(&self.accepted, &active.guard.entry);
        }
    }

    fn has_incomplete_event(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.splitter.has_incomplete_event())
    }

    fn note_delivery(&mut self) {
        let now = self.gateway.timer.now();
        if let (Some(sent), Some(active)) = (self.judged_since.take(), &self.active) {
            let outcome = ResponseOutcome::Success(now.since(sent));
            let entry = &active.guard.entry;
            self.gateway.rollout_answer(&self.accepted, entry, outcome);
        }
        if let Some(lost_at) = self.lost_at.take() {
            let pause = now.since(lost_at);
            metrics::histogram!("catkin_resume_seconds").record(pause.as_secs_f64());
            tracing::info!(request = %self.accepted.call.id, ms = millis(pause), "stream resumed");
        }
        if !self.delivered {
            let wait = now.since(self.accepted.call.arrived);
            metrics::histogram!("catkin_first_event_seconds").record(wait.as_secs_f64());
            self.delivered = true;
            self.first_event_at = Some(now);
            if self.gateway.log.admits(LineKind::Answered, now) {
                tracing::info!(request = %self.accepted.call.id, ms = millis(wait), "first event");
            }
        }
    }

    fn finished(&mut self) {
        self.ended = true;
        self.active = None;
        self.note_pace();
        self.gateway.record_delivery(self.accepted.digest);
        let now = self.gateway.timer.now();
        if self.gateway.log.admits(LineKind::Answered, now) {
            let ms = millis(now.since(self.accepted.call.arrived));
            tracing::info!(request = %self.accepted.call.id, last_event = self.relay.last(),
                sends = self.sends, ms, "stream whole");
        }
    }

    /// Notes how long a stream took that was made here as a whole.
    fn note_pace(&self) {
        let (Some(first), Some(last), None) = (
            self.first_event_at,
            self.relay.last(),
            self.accepted.call.last_event,
        ) else {
            return;
        };
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        state
            .stream_durations
            .record_complete(last, now.since(first));
    }

    /// Notes the loss of the active run. Its connection is closed before another run can begin, so
    /// that its upstream does not go on with it.
    fn lost(&mut self, loss: Loss) -> Result<(), StreamStop> {
        let Some(active) = self.active.take() else {
            return Ok(());
        };
        let ActiveRun {
            guard,
            copies,
            body,
            gave_events,
            ..
        } = active;
        drop(body);
        let entry = guard.entry.clone();
        drop(guard);
        // Until it makes its first event a run's memory is not copied; to ask for it costs a repeat.
        self.copy = copies
            .into_best(loss == Loss::Silent)
            .filter(|_| gave_events);
        if gave_events {
            self.broke_beginning.clear();
        } else if loss == Loss::Broken {
            self.broke_beginning.push(entry.clone());
        }
        self.run_lost(&entry, loss);
        if self.accepted.route.kind.may_retry() {
            return Ok(());
        }
        Err(StreamStop::Cut(StreamCut::NotResumable))
    }

    pub(super) fn run_lost(&mut self, entry: &Arc<UpstreamEntry>, loss: Loss) {
        self.lost_at.get_or_insert(self.gateway.timer.now());
        self.avoid.push(entry.id.clone());
        let loss_name: &str = loss.into();
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, zone = %entry.zone,
            loss = loss_name, last_event = self.relay.last(),
            copy = self.copy.as_ref().map(|c| tracing::field::display(c.holder.id.clone())),
            "run of a stream lost");
        if loss == Loss::Broken {
            self.gateway.stream_broke(entry);
            self.gateway.call_broke(entry, self.accepted.digest);
        }
    }
}
