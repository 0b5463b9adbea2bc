use super::*;

/// Span over which the bytes of transfers are summed.
const SPAN: Duration = Duration::from_secs(1);

/// Transfers may use 1/`LINK_SHARE_DIVISOR` of a VM's link; its streams need the rest.
const LINK_SHARE_DIVISOR: u64 = 2;

/// Limits what a VM sends of its table to other VMs, so that its streams are not delayed. A VM that is
/// refused reads the platform store.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferLimit {
    span_start: Instant,
    sent: u64,
}

impl TransferLimit {
    /// Whether a transfer of `bytes` may start now; if so, it is counted. The first transfer of a span is
    /// always admitted. A link of unknown bandwidth is not limited.
    pub fn admit(&mut self, bytes: u64, link: Option<LinkRate>, now: Instant) -> bool {
        if now.since(self.span_start) >= SPAN {
            *self = Self {
                span_start: now,
                sent: 0,
            };
        }
        let sent = self.sent.saturating_add(bytes);
        let admitted = self.sent == 0
            || link.is_none_or(|link| sent <= link.bytes_in(SPAN) / LINK_SHARE_DIVISOR);
        if admitted {
            self.sent = sent;
        }
        admitted
    }
}
