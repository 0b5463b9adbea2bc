use super::*;

/// What a process has used so far, read from the kernel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time, in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Place of the user-mode time among the words of `/proc/PID/stat` behind the program's name.
const USER_TIME: usize = 11;

/// Place of the resident pages there.
const RESIDENT_PAGES: usize = 21;

impl ProcessUsage {
    /// Reads the usage of a running process; `None` if there is none of that id.
    #[must_use]
    pub fn read(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, words) = stat.rsplit_once(") ")?;
        let words: Vec<&str> = words.split(' ').collect();
        let word = |i: usize| words.get(i)?.parse::<u64>().ok();
        let ticks = word(USER_TIME)? + word(USER_TIME + 1)?;
        let nanos = 1_000_000_000 / rustix::param::clock_ticks_per_second();
        let page = u64::try_from(rustix::param::page_size()).ok()?;
        Some(Self {
            cpu: Duration::from_nanos(ticks * nanos),
            resident: word(RESIDENT_PAGES)? * page,
        })
    }
}
