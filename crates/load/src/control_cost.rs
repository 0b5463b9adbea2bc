use super::*;
use crate::relay_bench::open_streams;

/// What a router spends while nothing is asked of it but its streams, at one size of the system.
#[derive(Clone, Debug, Serialize)]
pub struct ControlPoint {
    /// Routers.
    pub nodes: usize,
    /// Upstreams of the bundle.
    pub upstreams: usize,
    /// Teams of the bundle.
    pub teams: usize,
    /// Open streams of the first router.
    pub streams: usize,
    /// Processor time of the first router, in shares of a core.
    pub cpu: f64,
    /// Its resident memory, in MB.
    pub memory_mb: f64,
    /// Bytes a second of load reports, both directions, a node.
    pub report_bytes_per_s: f64,
    /// Bytes a second between routers, both directions, a node.
    pub peer_bytes_per_s: f64,
}

/// Growth of a cost with one thing, by least squares over the points that vary it.
#[derive(Clone, Debug, Serialize)]
pub struct ControlSlope {
    /// What was varied.
    pub by: &'static str,
    /// Cores for each.
    pub cpu: f64,
    /// Bytes of memory for each.
    pub memory_bytes: f64,
    /// Bytes a second of load reports for each.
    pub report_bytes_per_s: f64,
    /// Bytes a second between routers for each.
    pub peer_bytes_per_s: f64,
}

/// Points and slopes.
#[derive(Clone, Debug, Serialize)]
pub struct ControlReport {
    /// Every point, in the order measured.
    pub points: Vec<ControlPoint>,
    /// A slope for each thing varied.
    pub slopes: Vec<ControlSlope>,
}

/// Size at which the things that are not varied stay.
const BASE: Shape = Shape {
    nodes: 3,
    upstreams: 8,
    teams: 10,
    streams: 0,
};

/// Engine processes, however many upstreams the bundle names.
const ENGINES: usize = 4;

/// Time between two tokens of a stream.
const STEP: Duration = Duration::from_millis(25);

/// Time for a system to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(2);

/// How long is measured.
const WINDOW: Duration = Duration::from_secs(4);

#[derive(Clone, Copy)]
struct Shape {
    nodes: usize,
    upstreams: usize,
    teams: usize,
    streams: usize,
}

type Axis = (&'static str, fn(usize) -> Shape, &'static [usize]);

const AXES: [Axis; 4] = [
    ("node", |nodes| Shape { nodes, ..BASE }, &[2, 8, 24]),
    (
        "upstream",
        |upstreams| Shape { upstreams, ..BASE },
        &[8, 100, 400],
    ),
    ("team", |teams| Shape { teams, ..BASE }, &[10, 1000, 2100]),
    (
        "stream",
        |streams| Shape { streams, ..BASE },
        &[0, 100, 300],
    ),
];

/// Measures what control costs a node, and how that grows.
///
/// # Errors
///
/// If the processes do not start.
pub async fn control_cost(program: &Path) -> Result<ControlReport, LoadError> {
    let mut points = Vec::new();
    let mut slopes = Vec::new();
    for (by, shape, values) in AXES {
        let mut measured = Vec::new();
        for value in values {
            measured.push(measure(program, shape(*value)).await?);
        }
        slopes.push(slope(by, values, &measured));
        points.extend(measured);
    }
    Ok(ControlReport { points, slopes })
}

async fn measure(program: &Path, shape: Shape) -> Result<ControlPoint, LoadError> {
    let settings = FleetSettings {
        size: FleetSize {
            routers: shape.nodes,
            engines: ENGINES,
            plains: 0,
            zones: 3,
            teams: shape.teams,
        },
        step: STEP,
        linked: true,
        peers_linked: true,
        engine_copies: shape.upstreams / ENGINES,
        engine_flags: vec![
            "--step-per-sequence-us=0".to_owned(),
            "--capacity=1000".to_owned(),
        ],
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(program, &settings).await?;
    let _streams = open_streams(&fleet, shape.streams)?;
    tokio::time::sleep(SETTLE).await;
    let usage = || {
        fleet.routers[0]
            .id()
            .and_then(ProcessUsage::read)
            .unwrap_or_default()
    };
    let (start, before, passed) = (Instant::now(), usage(), fleet.passed().await?);
    tokio::time::sleep(WINDOW).await;
    let (elapsed, after, passed_after) = (start.elapsed(), usage(), fleet.passed().await?);
    let per_node = |bytes: u64| to_f64(bytes) / elapsed.as_secs_f64() / to_f64(shape.nodes);
    Ok(ControlPoint {
        nodes: shape.nodes,
        upstreams: shape.upstreams,
        teams: shape.teams,
        streams: shape.streams,
        cpu: after
            .cpu
            .saturating_sub(before.cpu)
            .div_duration_f64(elapsed),
        memory_mb: to_f64(after.resident) / 1e6,
        report_bytes_per_s: per_node(passed_after.0 - passed.0),
        peer_bytes_per_s: per_node(passed_after.1 - passed.1),
    })
}

fn slope(by: &'static str, values: &[usize], points: &[ControlPoint]) -> ControlSlope {
    let of = |cost: fn(&ControlPoint) -> f64| {
        let count = to_f64(values.len());
        let xs = values.iter().map(|value| to_f64(*value));
        let pairs: Vec<(f64, f64)> = xs.zip(points.iter().map(cost)).collect();
        let mean_x = pairs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = pairs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let over = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let under = pairs.iter().map(|(x, _)| (x - mean_x).powi(2));
        over.sum::<f64>() / under.sum::<f64>()
    };
    ControlSlope {
        by,
        cpu: of(|point| point.cpu),
        memory_bytes: of(|point| point.memory_mb * 1e6),
        report_bytes_per_s: of(|point| point.report_bytes_per_s),
        peer_bytes_per_s: of(|point| point.peer_bytes_per_s),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and bytes of a run are far below 2^52"
)]
fn to_f64(n: impl TryInto<u64>) -> f64 {
    n.try_into().unwrap_or(u64::MAX) as f64
}
