use super::*;

/// Part of a slot in which the trial may begin: VMs disagree a little about when it starts, and the trial should end
/// before the next one.
const USABLE: std::ops::Range<Duration> = Duration::from_secs(2)..Duration::from_secs(6);

/// Turn of one VM to try a call with a part that was blamed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TrialSlot(pub u64);

impl TrialSlot {
    /// Time in which one VM may try a call.
    pub(crate) const LENGTH: Duration = Duration::from_secs(10);

    /// The slot at a time after the end of the block; `None` between two slots.
    #[must_use]
    pub fn at(since_block: Duration) -> Option<Self> {
        let number = since_block.as_secs() / Self::LENGTH.as_secs();
        let offset =
            since_block.saturating_sub(Self::LENGTH.saturating_mul(u32::try_from(number).ok()?));
        USABLE.contains(&offset).then_some(Self(number))
    }

    /// Whether the slot is that of `own` among all live VMs, which decide alike as far as they know the same VMs.
    #[must_use]
    pub fn is_of(self, part: &PartId, own: &str, others: &[Arc<str>]) -> bool {
        let score = |vm: &str| {
            let key = format!("{}/{part}/{vm}", self.0);
            (xxhash_rust::xxh3::xxh3_64(key.as_bytes()), vm.to_owned())
        };
        let own = score(own);
        others.iter().all(|other| score(other) <= own)
    }
}
