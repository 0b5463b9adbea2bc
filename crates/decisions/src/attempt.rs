use super::*;

number_newtype!(
    /// Fencing number of an attempt, rising within a request; 0 means that none was made.
    Attempt,
    "attempt"
);

/// Attempts that one VM may make of a request before another VM's numbers begin.
const ATTEMPTS_PER_VM: u64 = 1 << 16;

/// Number of different jumps.
const JUMPS: u64 = 256;

impl Attempt {
    /// A number far above this one, for a VM that takes over: the VM before it may have made more
    /// attempts than are known of, and two VMs may take over at once. `random` sets them apart; an
    /// engine refuses the smaller of two.
    #[must_use]
    pub fn take_over(self, random: u64) -> Self {
        Self((self.0 / ATTEMPTS_PER_VM + 1 + random % JUMPS) * ATTEMPTS_PER_VM)
    }
}
