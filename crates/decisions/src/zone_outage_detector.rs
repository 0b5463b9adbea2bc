//! Detects that several upstreams of an availability zone are lost together.
//!
//! Most upstreams of a zone may crash or become silent at the same moment. Each loss is detected separately, a
//! few hundred milliseconds apart, and meanwhile calls that lost one upstream are sent to the next one in
//! the same zone and lose that too. After a few losses within a short time, the whole zone is used only as
//! a last resort for a while.

use super::*;

/// Number of upstreams lost together that makes a zone suspect. Two may be a coincidence with dozens of
/// upstreams.
const MIN_LOSSES: usize = 3;

/// Window in which losses count as simultaneous: longer than the detection of silence, which spreads them.
const LOSS_WINDOW: Duration = Duration::from_millis(600);

/// How long a zone is used only as a last resort. Upstreams that crash are back after about a second.
const SUSPECT_PERIOD: Duration = Duration::from_millis(1500);

/// Recent losses of upstreams in each availability zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneOutageDetector {
    /// Latest losses, one for each upstream.
    losses: Vec<(AvailabilityZone, UpstreamIncarnation, Instant)>,
    /// Zones that are used only as a last resort, with the time at which that ends.
    suspect_zones: Vec<(AvailabilityZone, Instant)>,
}

impl ZoneOutageDetector {
    /// Records the loss of an upstream; returns whether its zone became suspect by it.
    pub fn record_loss(
        &mut self,
        zone: &AvailabilityZone,
        upstream: &UpstreamIncarnation,
        now: Instant,
    ) -> bool {
        self.losses
            .retain(|(_, id, at)| now.since(*at) < LOSS_WINDOW && id != upstream);
        self.losses.push((zone.clone(), upstream.clone(), now));
        let together = self.losses.iter().filter(|(z, ..)| z == zone).count();
        if together < MIN_LOSSES {
            return false;
        }
        let before = self.is_suspect(zone, now);
        self.suspect_zones
            .retain(|(z, until)| z != zone && now < *until);
        self.suspect_zones
            .push((zone.clone(), now.after(SUSPECT_PERIOD)));
        !before
    }

    /// Whether the upstreams of a zone are used only as a last resort now.
    #[must_use]
    pub fn is_suspect(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.suspect_zones
            .iter()
            .any(|(z, until)| z == zone && now < *until)
    }
}
