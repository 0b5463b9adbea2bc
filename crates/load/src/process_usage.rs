use super::*;

/// Resource usage of a process since its start, read from `/proc`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// CPU time in user and kernel mode.
    pub cpu: Duration,
    /// Resident set size in bytes.
    pub resident: u64,
}

/// Index of the user-mode time among the fields of `/proc/PID/stat` after the program name. The
/// kernel-mode time follows it.
const USER_TIME_FIELD: usize = 11;

/// Index of the resident set size, in pages, among the same fields.
const RESIDENT_PAGES_FIELD: usize = 21;

impl ProcessUsage {
    /// Reads the usage of a running process; `None` if no process has this id.
    #[must_use]
    pub fn read(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let field = |i: usize| fields.get(i)?.parse::<u64>().ok();
        let ticks = field(USER_TIME_FIELD)? + field(USER_TIME_FIELD + 1)?;
        let nanos = 1_000_000_000 / rustix::param::clock_ticks_per_second();
        let page = u64::try_from(rustix::param::page_size()).ok()?;
        Some(Self {
            cpu: Duration::from_nanos(ticks * nanos),
            resident: field(RESIDENT_PAGES_FIELD)? * page,
        })
    }
}
