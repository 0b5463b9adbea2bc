use super::*;

/// Part of a VM's link that reads of its configuration may take; its streams need the rest.
const LINK_PART: u64 = 2;

/// Whether a VM's link can carry its configuration to so many others within the time that they wait for it. A link of
/// unknown bandwidth can.
#[must_use]
pub fn link_carries_config(
    link: Option<LinkRate>,
    bytes: usize,
    readers: usize,
    within: Duration,
) -> bool {
    let needed = bytes.saturating_mul(readers);
    let needed = u64::try_from(needed).unwrap_or(u64::MAX);
    link.is_none_or(|link| needed <= link.bytes_in(within) / LINK_PART)
}
