use super::*;

number_newtype!(
    /// Fencing token of an attempt. It increases within a request; 0 means that no attempt was made.
    Attempt,
    "attempt"
);

/// Size of the range of attempt numbers that one VM uses for a request. A VM that takes the request
/// over uses a higher range.
const ATTEMPTS_PER_VM: u64 = 1 << 16;

/// Number of ranges among which a VM that takes over chooses at random.
const TAKEOVER_RANGES: u64 = 256;

impl Attempt {
    /// Returns the first attempt number of a VM that takes over the request. It is far above this
    /// one, because the previous VM may have made attempts that have not been reported. `random`
    /// separates two VMs that take over at the same time; an engine refuses the smaller number.
    #[must_use]
    pub fn first_after_takeover(self, random: u64) -> Self {
        Self((self.0 / ATTEMPTS_PER_VM + 1 + random % TAKEOVER_RANGES) * ATTEMPTS_PER_VM)
    }
}
