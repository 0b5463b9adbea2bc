use super::*;

/// Maximum number of VMs in a zone with a single reader; a larger zone also has a standby. When a VM
/// that reads for the zone is lost, the others poll the store themselves until its successor is known.
const SINGLE_READER_MAX_VMS: usize = 8;

/// Number of VMs, ranked after those that read for the zone, that advertise what they read for
/// themselves. The platform may throttle some VMs: if it throttles a third of them, two readers are
/// throttled together in one of 9 cases, but two readers and two deputies in only one of about 80.
const DEPUTY_COUNT: usize = 2;

/// Live VM of a zone, with the bandwidth of its link if it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Bandwidth of its link.
    pub link: Option<LinkRate>,
}

/// Task of a VM in its zone, which follows from its rank among the zone's VMs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ZoneRole {
    /// Polls the platform store and advertises what it reads to the other VMs.
    Reader,
    /// Polls and advertises as soon as the reader's gossip is too old.
    Standby,
    /// Advertises what it reads for itself while no other VM advertises.
    Deputy,
    /// Relies on the gossip of the others, and advertises nothing.
    Member,
}

impl ZoneRole {
    /// Returns the role of a VM; `zone_vms` are the zone's live VMs, including `vm`. VMs with less than half
    /// of the fastest link are ranked last: a reader sends what it reads to the whole zone.
    #[must_use]
    pub fn of(vm: &str, zone_vms: &[ZoneVm]) -> Self {
        let ranked = rank_readers(zone_vms);
        let rank = ranked.iter().position(|other| other.vm.as_ref() == vm);
        let standby = usize::from(is_large_zone(zone_vms.len()));
        match rank.unwrap_or(ranked.len()) {
            0 => Self::Reader,
            rank if rank <= standby => Self::Standby,
            rank if rank <= standby + DEPUTY_COUNT => Self::Deputy,
            _ => Self::Member,
        }
    }

    /// Names of the VMs that poll the platform store for a zone.
    #[must_use]
    pub fn polling(zone_vms: &[ZoneVm]) -> Vec<Arc<str>> {
        let count = 1 + usize::from(is_large_zone(zone_vms.len()));
        let ranked = rank_readers(zone_vms).into_iter().take(count);
        ranked.map(|other| other.vm).collect()
    }

    /// Whether a VM with this role polls the platform store for its zone.
    #[must_use]
    pub fn polls_store(self) -> bool {
        matches!(self, Self::Reader | Self::Standby)
    }
}

fn rank_readers(zone_vms: &[ZoneVm]) -> Vec<ZoneVm> {
    let mut ranked = rendezvous_rank("reader", zone_vms.to_vec(), |other| other.vm.clone());
    let bits = |other: &ZoneVm| other.link.map_or(0, |link| link.0);
    let fastest = ranked.iter().map(bits).max().unwrap_or(0);
    ranked.sort_by_key(|other| bits(other) < fastest / 2);
    ranked
}

/// Whether a zone has so many VMs that only its readers poll the platform store continuously.
#[must_use]
pub fn is_large_zone(vms: usize) -> bool {
    vms > SINGLE_READER_MAX_VMS
}
