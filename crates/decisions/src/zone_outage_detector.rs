//! Losses that come together in an availability zone.
//!
//! Load pattern: most upstreams of a zone die or go silent at the same moment. Each is noticed by
//! itself, a few hundred milliseconds apart, and meanwhile calls that lost one upstream are sent to
//! the next one in the same zone and lose that too. After a few losses within a short time the whole
//! zone comes last for a while.

use super::*;

/// Upstreams lost together that make a zone suspect. Two may be chance with dozens of upstreams.
const LOSSES: usize = 3;

/// How close together: longer than the detection of silence takes, which spreads them.
const TOGETHER: Duration = Duration::from_millis(600);

/// How long a zone comes last. Upstreams that crash are back after about a second.
const AVOIDED: Duration = Duration::from_millis(1500);

/// Losses in each availability zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneOutageDetector {
    /// Latest losses, one for each upstream.
    losses: Vec<(AvailabilityZone, UpstreamIncarnation, Instant)>,
    /// Zones that come last, with the end of that.
    avoided: Vec<(AvailabilityZone, Instant)>,
}

impl ZoneOutageDetector {
    /// Notes the loss of an upstream; tells whether its zone became suspect by it.
    pub fn lost(
        &mut self,
        zone: &AvailabilityZone,
        upstream: &UpstreamIncarnation,
        now: Instant,
    ) -> bool {
        self.losses
            .retain(|(_, id, at)| now.since(*at) < TOGETHER && id != upstream);
        self.losses.push((zone.clone(), upstream.clone(), now));
        let together = self.losses.iter().filter(|(z, ..)| z == zone).count();
        if together < LOSSES {
            return false;
        }
        let before = self.is_suspect(zone, now);
        self.avoided.retain(|(z, until)| z != zone && now < *until);
        self.avoided.push((zone.clone(), now.after(AVOIDED)));
        !before
    }

    /// Whether a zone comes last now.
    #[must_use]
    pub fn is_suspect(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.avoided
            .iter()
            .any(|(z, until)| z == zone && now < *until)
    }
}
