//! Transfer of the platform's table of upstreams, or of its changes, from one VM of a zone to another.
//!
//! If each VM read the table from the store at its start and after each missed update, the store's calls and
//! bytes would grow with the number of VMs times that of upstreams. So a VM that missed changes reads them
//! from the VM that advertised them, and asks the store only if that one does not deliver.

use super::{
    compressed::{decode_compressed, encode_compressed},
    *,
};
use serde::{Deserialize, Serialize};

/// Rows of the table as one VM sends them to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TableTransfer {
    /// Position up to which the sender knows the table.
    #[serde(rename = "n")]
    position: StorePosition,
    /// Whether the rows are the complete table, and not only the changes since the requested position.
    #[serde(rename = "w")]
    whole: bool,
    #[serde(rename = "u")]
    rows: Vec<UpstreamChange>,
}

/// How long an encoded transfer is used while the contents do not change: well below the time for which the
/// store keeps the changes after its position.
const ENCODED_MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum number of encoded transfers that are kept.
const MAX_ENCODED: usize = 8;

/// An encoded transfer, kept because most VMs of a zone miss the same changes at the same time.
#[derive(Clone, Debug)]
pub(crate) struct EncodedTransfer {
    /// Position after which it contains the changes; `None` if it is the complete table.
    after: Option<StorePosition>,
    /// Era of the table.
    era: StoreEra,
    /// Digest of the table.
    digest: u64,
    at: Instant,
    bytes: Bytes,
}

/// Decodes a transfer that another VM has sent.
///
/// # Errors
///
/// Returns [`FeedError::Refused`] if the bytes are not a transfer.
pub fn decode_table_transfer(bytes: &[u8]) -> Result<PeerRead<UpstreamEntry>, FeedError> {
    let transfer = decode_compressed::<TableTransfer>(bytes)?;
    Ok(PeerRead {
        page: FeedPage {
            position: transfer.position,
            rows: transfer.rows,
            more: None,
        },
        whole: transfer.whole,
    })
}

impl Gateway {
    /// The changes of the table after a position, or the complete table if not all of them are known here,
    /// encoded for another VM; `None` if no response of the platform within `age` is known, or if the link
    /// of this VM is busy with other transfers.
    #[must_use]
    pub fn table_transfer(&self, after: StorePosition, age: Duration) -> Option<Bytes> {
        if !self.knows_table_within(age) {
            return None;
        }
        let now = self.timer.now();
        let state = self.state.lock();
        let (digest, era) = (state.table.digest(), state.table.position().era);
        let whole = !state.table.knows_changes_since(after);
        let key = (!whole).then_some(after);
        let mut kept = self.encoded_transfers.lock();
        kept.retain(|e| e.digest == digest && e.era == era && now.since(e.at) < ENCODED_MAX_AGE);
        let found = kept.iter().find(|e| e.after == key);
        let bytes = if let Some(encoded) = found {
            encoded.bytes.clone()
        } else {
            let changes = state.table.changes_since(after);
            let bytes = encode_compressed(&TableTransfer {
                position: state.table.position(),
                whole,
                rows: changes.unwrap_or_else(|| state.table.entries()),
            });
            if kept.len() == MAX_ENCODED {
                kept.remove(0);
            }
            kept.push(EncodedTransfer {
                after: key,
                era,
                digest,
                at: now,
                bytes: bytes.clone(),
            });
            bytes
        };
        drop(kept);
        drop(state);
        let admitted = self.transfers.lock().admit(
            u64::try_from(bytes.len()).unwrap_or(u64::MAX),
            self.settings.link,
            now,
        );
        let outcome = if admitted { "sent" } else { "refused" };
        metrics::counter!("catkin_table_transfers_total", "outcome" => outcome).increment(1);
        tracing::debug!(%after, whole, bytes = bytes.len(), outcome, "table transfer");
        admitted.then_some(bytes)
    }

    /// The VM of this zone that advertised changes which are missing here, unless they may still arrive.
    pub(crate) fn advertiser_of_missed_changes(&self) -> Option<SocketAddr> {
        let now = self.timer.now();
        let state = self.state.lock();
        let missed =
            !state.directory_is_stale && state.gossip.has_missed_changes(GOSSIP_MAX_AGE, now);
        state.table_advertiser.filter(|_| missed)
    }

    /// Whether other VMs are known, or some are named in the settings.
    pub(crate) fn expects_peers(&self) -> bool {
        let now = self.timer.now();
        !self.settings.seeds.is_empty() || self.state.lock().peers.live_count(now) > 0
    }

    /// Waits for at most `limit` until another VM of this zone has advertised changes that are missing here.
    pub(crate) async fn wait_for_advertiser(&self, limit: Duration) {
        let missed = async {
            while self.advertiser_of_missed_changes().is_none() {
                tokio::time::sleep(DELTA_WAIT).await;
            }
        };
        // Without one, the store is read.
        let _ = tokio::time::timeout(limit, missed).await;
    }

    /// Applies what this VM has missed, as read from another VM.
    pub(crate) fn apply_missed_changes(&self, read: &PeerRead<UpstreamEntry>) {
        self.apply_table_read(&read.page, read.whole, false);
        let mut state = self.state.lock();
        let table = std::mem::take(&mut state.table);
        state.gossip.record_catch_up(&table);
        state.table = table;
    }
}
