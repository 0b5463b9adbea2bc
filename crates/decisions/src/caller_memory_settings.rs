use super::*;

/// Memory for the tables of the largest system, and for control: that of a node.
const CONTROL: MemorySize = MemorySize::megabytes(32);

/// Memory for unfinished answers of upstreams.
const ANSWERS: MemorySize = MemorySize(14 << 20);

/// Memory for a connection of a caller: buffers of its head, tasks, and a small request.
const CONNECTION: MemorySize = MemorySize((32 << 10) + SMALL_REQUEST.0);

/// Size up to which a request is read however much memory other requests hold: its head and its body.
pub const SMALL_REQUEST: MemorySize = MemorySize(8 << 10);

/// Connections of callers to a VM whose limit is not known.
const USUAL_CONNECTIONS: usize = 2_000;

/// Memory that a process may have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VmMemory {
    /// It is not known how much.
    #[default]
    Unknown,
    /// This much.
    AtMost(MemorySize),
}

/// Settings of a [`CallerMemoryAccount`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerMemorySettings {
    /// Memory for all requests above [`SMALL_REQUEST`]. One is read even if it is larger.
    pub limit: MemorySize,
    /// Time within which an unfinished request must have received [`Self::progress`], or all that it lacks, if others
    /// wait for memory.
    pub stall_timeout: Duration,
    /// Bytes that count as progress.
    pub progress: usize,
    /// Time after which an unfinished request makes room for others that wait.
    pub receive_timeout: Duration,
    /// Maximum number of requests that wait for memory.
    pub max_waiting: usize,
    /// Time for which a request waits: long enough for stalled ones to give way.
    pub wait_timeout: Duration,
}

impl Default for CallerMemorySettings {
    fn default() -> Self {
        Self {
            limit: MemorySize(32 << 20),
            stall_timeout: Duration::from_millis(250),
            progress: 16 << 10,
            receive_timeout: Duration::from_secs(4),
            max_waiting: 32,
            wait_timeout: Duration::from_millis(600),
        }
    }
}

impl CallerMemorySettings {
    /// Settings of a VM with this memory: requests have what the rest does not need.
    #[must_use]
    pub fn of_vm(memory: VmMemory, connections: CallerConnectionLimit) -> Self {
        let VmMemory::AtMost(memory) = memory else {
            return Self::default();
        };
        let connections = match connections {
            CallerConnectionLimit::Unlimited => USUAL_CONNECTIONS,
            CallerConnectionLimit::AtMost(connections) => connections,
        };
        let rest = CONTROL.0 + ANSWERS.0 + connections * CONNECTION.0;
        Self {
            limit: MemorySize(memory.0.saturating_sub(rest)),
            ..Self::default()
        }
    }
}
