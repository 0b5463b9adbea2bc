use super::*;
use crate::fleet_bundle::GENERATION_SERVICE;
use catkin_decisions::ResumePoint;
use parking_lot::Mutex;
use std::num::NonZeroU32;
use volo_http::client::sse::SseReader;

/// Cost of relaying streams through a router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RelayReport {
    /// Number of open streams.
    pub streams: usize,
    /// Number of routers, connected as peers; callers use one of them.
    pub routers: usize,
    /// Tokens that callers received per second.
    pub tokens_per_s: f64,
    /// CPU time of the router per second, in cores.
    pub router_cores: f64,
    /// Tokens relayed per second of the router's CPU time.
    pub tokens_per_cpu_s: f64,
    /// Growth of the router's resident set size per open stream, in bytes.
    pub memory_per_stream: u64,
    /// Additional latency of a token through the router, compared with a direct connection to its
    /// engine.
    pub overhead_ms: Percentiles,
}

/// Settings of [`bench_relay`].
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Number of open streams.
    pub streams: usize,
    /// Number of routers.
    pub routers: usize,
    /// Duration of an engine's decode step.
    pub step: Duration,
    /// Length of the measurement.
    pub window: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            streams: 500,
            routers: 1,
            step: Duration::from_millis(10),
            window: Duration::from_secs(5),
        }
    }
}

/// Number of engines.
const ENGINE_COUNT: usize = 4;

/// Number of streams that are also read directly from their engine.
const OBSERVED_STREAMS: usize = 25;

/// Tokens that each stream receives before the measurement begins.
const WARM_UP_TOKENS: usize = 50;

/// Engine id and token arrival times of a stream that is read through the router.
#[derive(Default)]
pub(crate) struct RelayedStream {
    engine_id: Mutex<Option<String>>,
    arrivals: Mutex<Vec<Instant>>,
}

/// Measures the cost of relaying streams through one router, without faults.
///
/// # Errors
///
/// If the processes do not start.
pub async fn bench_relay(
    program: &Path,
    settings: &RelaySettings,
) -> Result<RelayReport, LoadError> {
    let fleet = Fleet::start(program, &fleet_settings(settings)).await?;
    let pid = fleet.routers[0].id().unwrap_or_default();
    let usage = || ProcessUsage::read(pid).unwrap_or_default();
    let idle = usage();
    let streams = open_streams(&fleet, settings.streams)?;
    let received = || {
        streams
            .iter()
            .map(|stream| stream.arrivals.lock().len())
            .sum::<usize>()
    };
    for stream in &streams {
        while stream.arrivals.lock().len() < WARM_UP_TOKENS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let measurements = streams.iter().take(OBSERVED_STREAMS);
    let measurements = measurements.map(|stream| measure_overhead(&fleet, stream, settings.window));
    let (start, before) = (Instant::now(), usage());
    let tokens_before = received();
    let (overheads, ()) = tokio::join!(join_all(measurements), tokio::time::sleep(settings.window));
    let (elapsed, after) = (start.elapsed(), usage());
    let tokens = f64::from(u32::try_from(received() - tokens_before).unwrap_or(u32::MAX));
    let cpu = after.cpu.saturating_sub(before.cpu);
    Ok(RelayReport {
        streams: settings.streams,
        routers: settings.routers,
        tokens_per_s: tokens / elapsed.as_secs_f64(),
        router_cores: cpu.div_duration_f64(elapsed),
        tokens_per_cpu_s: tokens / cpu.as_secs_f64(),
        memory_per_stream: after.resident.saturating_sub(idle.resident)
            / u64::try_from(settings.streams.max(1)).unwrap_or(1),
        overhead_ms: Percentiles::of(overheads.into_iter().flatten()),
    })
}

fn fleet_settings(settings: &RelaySettings) -> FleetSettings {
    FleetSettings {
        size: FleetSize {
            routers: settings.routers,
            engines: ENGINE_COUNT,
            plain_upstreams: 0,
            zones: 1,
            teams: 1,
        },
        step: settings.step,
        engine_flags: vec![
            "--step-per-sequence-us=0".to_owned(),
            format!("--capacity={}", settings.streams),
        ],
        ..FleetSettings::default()
    }
}

/// Opens streams of unlimited length at the first router.
pub(crate) fn open_streams(
    fleet: &Fleet,
    count: usize,
) -> Result<Vec<Arc<RelayedStream>>, LoadError> {
    let clients = fleet.clients(0)?;
    let streams = (0..count).map(|i| {
        let stream = Arc::new(RelayedStream::default());
        let (client, stream_state) = (clients[0].clone(), stream.clone());
        tokio::spawn(async move {
            let mut answer = Answer::default();
            let (request, key) = (endless_request(i), format!("stream-{i}"));
            let reading = client.stream(&request, Some(&key), &mut answer, |answer| {
                stream_state.arrivals.lock().push(Instant::now());
                stream_state
                    .engine_id
                    .lock()
                    .get_or_insert_with(|| engine_id(answer).unwrap_or_default());
            });
            if let Err(error) = reading.await {
                tracing::debug!(fault = %error, "stream ended");
            }
        });
        stream
    });
    Ok(streams.collect())
}

/// Returns the id of a generation at its engine: the request id followed by the chain id.
fn engine_id(answer: &Answer) -> Option<String> {
    let point: ResumePoint = answer.last_event_id.as_ref()?.parse().ok()?;
    let (_, chain) = point.origin?;
    Some(format!("{}.{chain}", answer.request_id.as_ref()?))
}

fn endless_request(i: usize) -> caller::CompletionRequest {
    caller::CompletionRequest {
        max_tokens: NonZeroU32::MAX,
        model: GENERATION_SERVICE.to_owned(),
        prompt: format!("catalogue {i}"),
        seed: Some(1),
        stop: Vec::new(),
        stream: true,
        temperature: None,
    }
}

/// Reads a running stream directly from its engine and returns by how much each token arrived later
/// through the router.
async fn measure_overhead(
    fleet: &Fleet,
    stream: &RelayedStream,
    window: Duration,
) -> Vec<Duration> {
    let id = stream.engine_id.lock().clone().unwrap_or_default();
    let from = stream.arrivals.lock().len();
    let mut direct = Vec::new();
    let mut reader = None;
    for engine in &fleet.engines {
        let path = format!("/v1/streams/{id}?attempt=1&from={from}");
        reader = reader.or(fleet.open_response(engine.address(), path).await);
    }
    let reading = async {
        let mut reader = SseReader::into_sse(reader?).ok()?;
        loop {
            let event = reader.read().await.ok()??;
            if event.event() == "token" {
                direct.push(Instant::now());
            }
        }
    };
    let _: Result<Option<()>, _> = tokio::time::timeout(window, reading).await;
    let through_router = stream.arrivals.lock();
    let through_router = through_router.get(from..).unwrap_or_default();
    let pairs = direct.iter().zip(through_router);
    // The new connection receives the first events in one batch, which says nothing about latency.
    let pairs = pairs.skip(WARM_UP_TOKENS);
    pairs
        .map(|(direct, through_router)| through_router.saturating_duration_since(*direct))
        .collect()
}
