use super::*;

/// The timer service: provides monotonic time and periodic ticks to subscribers.
///
/// No tick is sent while the previous one has not been received, so a slow subscriber gets one
/// tick rather than a burst.
#[derive(Debug)]
pub struct Timer {
    start: tokio::time::Instant,
    subscriptions: Mutex<Vec<Subscription>>,
    changed: Notify,
}

#[derive(Debug)]
struct Subscription {
    interval: Duration,
    due: tokio::time::Instant,
    tx: mpsc::Sender<Instant>,
}

/// Longest sleep of the timer while there are no subscriptions.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(3600);

impl Timer {
    /// Creates a timer and spawns the task that sends its ticks.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let timer = Arc::new(Self {
            start: tokio::time::Instant::now(),
            subscriptions: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(run(Arc::downgrade(&timer)));
        timer
    }

    /// Returns the time since the timer started.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant(self.start.elapsed())
    }

    /// Returns a receiver of ticks every `interval`, the first after one interval.
    pub fn subscribe(&self, interval: Duration) -> mpsc::Receiver<Instant> {
        let (tx, rx) = mpsc::channel(1);
        self.subscriptions.lock().push(Subscription {
            interval,
            due: tokio::time::Instant::now() + interval,
            tx,
        });
        self.changed.notify_one();
        rx
    }

    fn tick(&self) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let mut subscriptions = self.subscriptions.lock();
        subscriptions.retain(|subscription| !subscription.tx.is_closed());
        for subscription in subscriptions.iter_mut().filter(|s| s.due <= now) {
            // A full channel still contains the previous tick, which is enough.
            let _ = subscription.tx.try_send(Instant(now - self.start));
            subscription.due = now + subscription.interval;
        }
        subscriptions
            .iter()
            .map(|subscription| subscription.due)
            .min()
            .unwrap_or(now + MAX_IDLE_SLEEP)
    }
}

async fn run(timer: std::sync::Weak<Timer>) {
    while let Some(timer) = timer.upgrade() {
        let due = timer.tick();
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = timer.changed.notified() => {}
        }
    }
}
