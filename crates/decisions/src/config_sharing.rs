use super::*;

/// Reads of the configuration may use 1/`LINK_SHARE_DIVISOR` of a VM's link; its streams need the rest.
const LINK_SHARE_DIVISOR: u64 = 2;

/// Whether a VM's link can send a configuration of `bytes` to `readers` other VMs within their read
/// timeout. A link of unknown bandwidth is assumed to be fast enough.
#[must_use]
pub fn link_carries_config(
    link: Option<LinkRate>,
    bytes: usize,
    readers: usize,
    within: Duration,
) -> bool {
    let needed = bytes.saturating_mul(readers);
    let needed = u64::try_from(needed).unwrap_or(u64::MAX);
    link.is_none_or(|link| needed <= link.bytes_in(within) / LINK_SHARE_DIVISOR)
}
