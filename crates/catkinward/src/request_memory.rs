use super::*;
use catkin_decisions::MemoryHolder;

/// Interval at which a waiting request asks for memory.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// Memory that one request holds or waits for, until it is dropped.
#[derive(Debug)]
pub struct RequestMemory {
    memory: Arc<CallerMemory>,
    holder: MemoryHolder,
}

impl RequestMemory {
    pub(crate) fn new(memory: &Arc<CallerMemory>) -> Self {
        Self {
            memory: memory.clone(),
            holder: memory.account.lock().enter(),
        }
    }

    /// Takes memory in place of what is held, when there is enough.
    pub(crate) async fn take(&mut self, bytes: usize) -> Result<(), BodyRefusal> {
        if self.try_take(bytes) {
            return Ok(());
        }
        let (timer, began) = (&self.memory.timer, self.memory.timer.now());
        let mut ticks = timer.subscribe(WAIT_INTERVAL);
        let mut last = began;
        if !self.memory.account.lock().wait(self.holder, bytes) {
            return Err(BodyRefusal::NoMemory);
        }
        while let Some(now) = ticks.recv().await {
            // After a pause of this process nobody has made progress, because nothing was read.
            if now.since(last) < self.stall_timeout() {
                self.displace_others(now);
            }
            last = now;
            if self.try_take(bytes) {
                return Ok(());
            }
            let mut account = self.memory.account.lock();
            let has_waited = now.since(began) >= account.settings().wait_timeout;
            if has_waited || !account.is_waiting(self.holder) {
                account.stop_waiting(self.holder);
                return Err(BodyRefusal::NoMemory);
            }
        }
        Err(BodyRefusal::NoMemory)
    }

    fn stall_timeout(&self) -> Duration {
        self.memory.account.lock().settings().stall_timeout
    }

    fn try_take(&self, bytes: usize) -> bool {
        let now = self.memory.timer.now();
        let mut account = self.memory.account.lock();
        let taken = account.take(self.holder, bytes, now);
        report_held(account.held());
        taken
    }

    /// Displaces unfinished requests in favour of the first one that waits, if that is this one.
    fn displace_others(&self, now: Instant) {
        let mut account = self.memory.account.lock();
        if account.first_waiting() != Some(self.holder) {
            return;
        }
        let displaced = account.displaced(now);
        for holder in &displaced {
            account.leave(*holder);
        }
        drop(account);
        if !displaced.is_empty() {
            self.memory.displaced.notify_waiters();
        }
    }

    /// Waits until the memory is taken away.
    pub(crate) async fn wait_until_displaced(&self) {
        loop {
            let changed = self.memory.displaced.notified();
            if !self.memory.account.lock().holds(self.holder) {
                return;
            }
            changed.await;
        }
    }

    pub(crate) fn record_received(&self, received: usize) {
        let now = self.memory.timer.now();
        let mut account = self.memory.account.lock();
        account.record_received(self.holder, received, now);
    }

    pub(crate) fn complete(&self, bytes: usize) {
        let mut account = self.memory.account.lock();
        account.complete(self.holder, bytes);
        report_held(account.held());
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        let mut account = self.memory.account.lock();
        account.leave(self.holder);
        report_held(account.held());
    }
}

fn report_held(held: MemorySize) {
    #[expect(clippy::cast_precision_loss)]
    metrics::gauge!("catkin_caller_memory_bytes").set(held.0 as f64);
}
