//! Limits how many requests of a service are sent to a version under canary, summed over all VMs.
//!
//! VMs count their requests and report them to the owner of the rollout, which grants canary
//! requests in proportion to the reported ones. All counts are cumulative, so lost, late and
//! duplicate messages have no effect. The sum of all canary requests stays below the limit whatever
//! state the VMs have of each other: each request is reported once, to one owner, and each grant is
//! spent once.

use super::*;

/// How long grants may be spent after the last contact with the owner. Far shorter than the time in
/// which a rollback has to reach all VMs, so that a partitioned VM stops by itself.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// Number of canary requests that accumulate before any are granted, so that they arrive as a load
/// instead of one by one.
const GRANT_BURST: u64 = 24;

/// Maximum number of unspent canary requests granted to one VM.
const MAX_UNSPENT_GRANTS: u64 = 2;

/// Limit on the canary requests of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Canary requests as a fraction of all requests.
    pub share: f64,
    /// Canary requests allowed in addition to that fraction.
    pub slack: u64,
}

/// One incarnation of the process of a VM.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// Id of the VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Number that differs between the incarnations of a VM.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl fmt::Display for VmIncarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.vm, self.incarnation)
    }
}

/// The owner's ledger of reported requests and grants.
#[derive(Clone, Debug)]
pub struct ExposureLedger {
    limit: ExposureLimit,
    /// Accounts of all VMs, sorted by VM.
    accounts: Vec<(VmIncarnation, Account)>,
    /// Whether accumulated canary requests are being granted.
    granting: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    requests: u64,
    granted: u64,
}

impl ExposureLedger {
    /// Creates a ledger without accounts.
    #[must_use]
    pub fn new(limit: ExposureLimit) -> Self {
        Self {
            limit,
            accounts: Vec::new(),
            granting: false,
        }
    }

    /// Applies the counts reported by a VM, and returns the total that the VM has been granted.
    pub fn record_report(&mut self, vm: &VmIncarnation, requests: u64, spent: u64) -> u64 {
        let index = match self.accounts.binary_search_by(|(other, _)| other.cmp(vm)) {
            Ok(index) => index,
            Err(index) => {
                let account = (vm.clone(), Account::default());
                self.accounts.insert(index, account);
                index
            }
        };
        let account = &mut self.accounts[index].1;
        account.requests = account.requests.max(requests);
        let unspent = account.granted.saturating_sub(spent);
        let balance = self.balance();
        self.granting = balance >= GRANT_BURST || (self.granting && balance > 0);
        let account = &mut self.accounts[index].1;
        if self.granting {
            account.granted += balance.min(MAX_UNSPENT_GRANTS.saturating_sub(unspent));
        }
        account.granted
    }

    /// Number of canary requests that can be granted now.
    #[must_use]
    pub fn balance(&self) -> u64 {
        let sum = |field: fn(&Account) -> u64| {
            let accounts = self.accounts.iter();
            accounts.map(|(_, account)| field(account)).sum::<u64>()
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let allowed = (sum(|a| a.requests) as f64 * self.limit.share) as u64;
        (allowed + self.limit.slack).saturating_sub(sum(|a| a.granted))
    }
}

/// One VM's canary requests under the grants of one owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExposureGrants {
    term: u64,
    requests: u64,
    granted: u64,
    spent: u64,
    /// Number of requests when the last grant was spent.
    last_spent: Option<u64>,
    renewed_at: Option<Instant>,
}

/// Permit to send one request to a version under canary. Only a grant creates permits.
#[derive(Debug)]
#[must_use]
pub struct ExposurePermit(());

impl ExposureGrants {
    /// Counts a request of the service.
    pub fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Resets the counts for the owner of a later term. Requests that were reported to the previous
    /// owner are not reported again.
    pub fn attach(&mut self, term: u64) {
        if term > self.term {
            *self = Self {
                term,
                ..Self::default()
            };
        }
    }

    /// Applies the total that the owner of this term has granted.
    pub fn renew(&mut self, term: u64, granted: u64, now: Instant) {
        self.attach(term);
        if term == self.term {
            self.granted = self.granted.max(granted);
            self.renewed_at = Some(now);
        }
    }

    /// Spends a grant for the last counted request; `None` if none is left, the grants have expired, or
    /// the request before was a canary request. While callers wait for late responses, a VM has few
    /// requests, and canary requests in a row would leave none of the old versions to compare with.
    pub fn spend_grant(&mut self, now: Instant) -> Option<ExposurePermit> {
        let renewed_at = self.renewed_at?;
        let follows_canary = self.last_spent.is_some_and(|at| self.requests <= at + 1);
        let expired = now.since(renewed_at) >= GRANT_LIFETIME;
        if expired || follows_canary || self.spent >= self.granted {
            return None;
        }
        self.last_spent = Some(self.requests);
        self.spent += 1;
        Some(ExposurePermit(()))
    }

    /// Returns a grant for which no upstream was available.
    pub fn return_grant(&mut self, _permit: ExposurePermit) {
        self.spent = self.spent.saturating_sub(1);
        self.last_spent = None;
    }

    /// Number of requests to report to the owner.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Number of grants spent.
    #[must_use]
    pub fn spent(&self) -> u64 {
        self.spent
    }
}
