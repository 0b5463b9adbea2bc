//! How many requests of a service may go to a version under trial, over all VMs.
//!
//! VMs count their requests and report them to the owner of the rollout; the owner grants exposures out of what was
//! reported. All counts are cumulative, so lost, late and repeated messages change nothing, and the sum of all
//! exposures stays below the limit whatever VMs know of each other: a request is reported once, to one owner, and
//! a grant is spent once.

use super::*;

/// How long a grant may be spent after the owner was last heard: far shorter than the time in which a rollback has
/// to reach all VMs, so that a VM that is cut off stops by itself.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// Exposures that are gathered before they are granted, so that they come as a load and not one by one.
const BURST: u64 = 24;

/// Most exposures granted to one VM at once.
const MOST_GRANTED: u64 = 2;

/// Bound on the exposures of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Part of all requests.
    pub share: f64,
    /// Exposures beyond that.
    pub slack: u64,
}

/// One life of a VM's process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Differs from life to life.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl fmt::Display for VmIncarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.vm, self.incarnation)
    }
}

/// The owner's account of requests and grants.
#[derive(Clone, Debug)]
pub struct ExposureLedger {
    limit: ExposureLimit,
    /// Sorted by VM.
    accounts: Vec<(VmIncarnation, Account)>,
    /// Whether gathered exposures are being granted.
    open: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    requests: u64,
    granted: u64,
}

impl ExposureLedger {
    /// An empty account.
    #[must_use]
    pub fn new(limit: ExposureLimit) -> Self {
        Self {
            limit,
            accounts: Vec::new(),
            open: false,
        }
    }

    /// Takes in a VM's counts and returns what it has been granted in all.
    pub fn report(&mut self, vm: &VmIncarnation, requests: u64, spent: u64) -> u64 {
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
        self.open = balance >= BURST || (self.open && balance > 0);
        let account = &mut self.accounts[index].1;
        if self.open {
            account.granted += balance.min(MOST_GRANTED.saturating_sub(unspent));
        }
        account.granted
    }

    /// Exposures that can be granted.
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

/// A VM's part of the exposures, by the grants of one owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExposureGrants {
    term: u64,
    requests: u64,
    granted: u64,
    spent: u64,
    renewed: Option<Instant>,
}

/// Leave to send one request to a version under trial. Only a grant makes one.
#[derive(Debug)]
#[must_use]
pub struct ExposurePermit(());

impl ExposureGrants {
    /// Counts a request of the service.
    pub fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Begins anew with the owner of a later term. What was reported to the one before is not reported again.
    pub fn attach(&mut self, term: u64) {
        if term > self.term {
            *self = Self {
                term,
                ..Self::default()
            };
        }
    }

    /// Takes in what the owner of a term has granted in all.
    pub fn renew(&mut self, term: u64, granted: u64, now: Instant) {
        self.attach(term);
        if term == self.term {
            self.granted = self.granted.max(granted);
            self.renewed = Some(now);
        }
    }

    /// Spends a grant.
    pub fn expose(&mut self, now: Instant) -> Option<ExposurePermit> {
        let renewed = self.renewed?;
        if now.since(renewed) >= GRANT_LIFETIME || self.spent >= self.granted {
            return None;
        }
        self.spent += 1;
        Some(ExposurePermit(()))
    }

    /// Takes back a grant for which no upstream was found.
    pub fn give_back(&mut self, _exposed: ExposurePermit) {
        self.spent = self.spent.saturating_sub(1);
    }

    /// Requests counted for the owner.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Grants spent.
    #[must_use]
    pub fn spent(&self) -> u64 {
        self.spent
    }
}
