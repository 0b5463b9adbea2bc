use super::*;

/// VMs of a zone up to which one reads the platform for it; beyond that a second one stands by. One may be lost,
/// and then the others read by themselves until its successor is known.
const ONE_READER_UP_TO: usize = 8;

/// VMs of a large zone, after the two that read for it, that tell what they read for themselves. The platform may
/// turn some VMs away; with a third of them away, two readers are away together once in nine times, four of four
/// once in eighty.
const DEPUTIES: usize = 2;

/// What a VM does for its zone, by its rank among the VMs there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ZoneRole {
    /// Reads what the platform keeps, and tells the others.
    Reader,
    /// Reads and tells as soon as the reader's word grows old.
    Standby,
    /// Tells what it reads for itself while nobody else tells.
    Deputy,
    /// Relies on the others.
    Member,
}

impl ZoneRole {
    /// The role of a VM; `zone_vms` are the live ones, itself among them.
    #[must_use]
    pub fn of(vm: &str, zone_vms: &[Arc<str>]) -> Self {
        let ranked = rendezvous_rank("reader", zone_vms.to_vec(), Arc::clone);
        let rank = ranked.iter().position(|other| other.as_ref() == vm);
        let standby = usize::from(is_large_zone(zone_vms.len()));
        match rank.unwrap_or(ranked.len()) {
            0 => Self::Reader,
            rank if rank <= standby => Self::Standby,
            rank if rank <= standby + DEPUTIES => Self::Deputy,
            _ => Self::Member,
        }
    }

    /// Whether it reads the platform for its zone.
    #[must_use]
    pub fn reads(self) -> bool {
        matches!(self, Self::Reader | Self::Standby)
    }
}

/// Whether a zone has so many VMs that none but its readers ask the platform all the time.
#[must_use]
pub fn is_large_zone(vms: usize) -> bool {
    vms > ONE_READER_UP_TO
}
