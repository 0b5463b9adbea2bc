use super::*;

/// What an upstream states about its room, beside the number of its calls. A figure that it does not state, or that
/// cannot be read, is `None`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoomReport {
    /// Number of calls that it runs at once.
    pub slots: Option<u32>,
    /// How long work takes there at this moment.
    pub slowdown: Option<Slowdown>,
    /// Its KV cache memory.
    pub memory: Option<KvMemory>,
    /// A figure that was stated and cannot be read.
    pub unreadable: Option<ReportFigure>,
}

impl RoomReport {
    /// Whether the upstream stated nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A figure of an upstream's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReportFigure {
    /// Numbers of running and waiting calls.
    Calls,
    /// Number of slots.
    Slots,
    /// How long work takes.
    Slowdown,
    /// Used and total memory.
    Memory,
}

/// How long work takes on an upstream at the moment, in percent of the usual time: 200 is half as fast as usual.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{_0}%")]
pub struct Slowdown(u32);

impl Slowdown {
    /// The slowdown of an upstream that is as fast as usual.
    pub const USUAL: Self = Self(100);

    /// Creates a slowdown; `None` if `percent` is outside 10 to 2,000, which no upstream in service reaches.
    #[must_use]
    pub fn new(percent: u32) -> Option<Self> {
        (10..=2000).contains(&percent).then_some(Self(percent))
    }

    /// Factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// KV cache memory of an engine, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvMemory {
    /// Tokens that cannot be evicted.
    pub used: u32,
    /// Tokens in total.
    pub total: u32,
}

impl KvMemory {
    /// Creates a memory; `None` if it is empty, or more is used than there is.
    #[must_use]
    pub fn new(used: u32, total: u32) -> Option<Self> {
        (total > 0 && used <= total).then_some(Self { used, total })
    }
}
