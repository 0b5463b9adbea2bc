use super::*;

/// Enforces this VM's slices of the teams' limits, and allocates slices of limits to other VMs.
///
/// Until a slice is granted, a VM admits an even share: the limit divided by the number of VMs in
/// the settings. Peers exchange [`SliceRequest`] and [`SliceGrant`]: [`TeamLimits::asks`] returns the
/// requests to send, [`TeamLimits::grant`] answers them as the allocator, [`TeamLimits::granted`]
/// applies the grants.
pub struct TeamLimits {
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    vm: VmId,
    /// Number of VMs that share a limit as long as no slice is granted.
    sharers: u32,
    /// Sorted by team and kind.
    slices: Mutex<Vec<LimitSlice>>,
    /// Sorted by team and kind.
    homes: Mutex<Vec<LimitHome>>,
}

struct LimitSlice {
    team: TeamId,
    kind: LimitKind,
    limit: u32,
    slice: TeamSlice,
}

struct LimitHome {
    team: TeamId,
    kind: LimitKind,
    limit: f64,
    vms: Vec<VmId>,
    home: SliceAllocator,
}

/// Average demand per second below which no slice is requested any more.
const LEAST_DEMAND: f64 = 0.05;

/// A request for a slice, with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSliceRequest {
    /// The VM that allocates the slices of the limit.
    pub home: VmId,
    /// The request to send to it.
    pub request: SliceRequest,
    /// Time of the request; the validity of the grant starts here.
    pub asked: Instant,
}

impl TeamLimits {
    pub(crate) fn new(timer: &Arc<Timer>, bundle: &Arc<BundleInForce>, cfg: &Settings) -> Self {
        Self {
            timer: timer.clone(),
            bundle: bundle.clone(),
            vm: cfg.vm.clone(),
            sharers: cfg.entry_vms.max(1),
            slices: Mutex::default(),
            homes: Mutex::default(),
        }
    }

    /// Admits a request of a team and charges `cost` to the team's limit.
    ///
    /// # Errors
    ///
    /// The time to wait before a retry, if this VM's slice of the limit is used up.
    pub fn take(&self, team: &TeamId, kind: LimitKind, cost: u32) -> Result<(), Duration> {
        let Some(limit) = self.limit(team, kind) else {
            return Ok(());
        };
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        let slice = self.slice(&mut slices, team, kind, limit, now);
        slice.take(cost.into(), now)
    }

    /// Refunds the part of the cost that an admitted request did not use.
    pub fn give_back(&self, team: &TeamId, kind: LimitKind, cost: u32) {
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, team, kind) {
            slices[i].slice.refund(cost.into());
        }
    }

    /// Returns requests for slices of the limits that callers have used recently on this VM, addressed
    /// to their allocators among `vms`.
    #[must_use]
    pub fn asks(&self, vms: &[VmId]) -> Vec<TeamSliceRequest> {
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        let asks = slices.iter_mut().filter_map(|entry| {
            let demand = entry.slice.demand(now);
            Some(TeamSliceRequest {
                home: home_of(&entry.team, entry.kind, vms)?,
                request: SliceRequest {
                    team: entry.team.clone(),
                    kind: entry.kind,
                    vm: self.vm.clone(),
                    demand: (demand > LEAST_DEMAND).then_some(demand)?,
                },
                asked: now,
            })
        });
        asks.collect()
    }

    /// Grants a slice as the allocator of the fraction `part` of a limit among `vms`. Returns `None` if
    /// there is no such limit, this VM is not its allocator, or the requesting VM is not in `vms`.
    #[must_use]
    pub fn grant(&self, request: &SliceRequest, vms: &[VmId], part: f64) -> Option<SliceGrant> {
        let limit = part * f64::from(self.limit(&request.team, request.kind)?);
        if home_of(&request.team, request.kind, vms)? != self.vm {
            return None;
        }
        let now = self.timer.now();
        let fresh = || LimitHome {
            team: request.team.clone(),
            kind: request.kind,
            limit,
            vms: vms.to_vec(),
            home: SliceAllocator::new(limit, vms.to_vec(), now),
        };
        let mut homes = self.homes.lock();
        let key = (&request.team, request.kind);
        let i = match homes.binary_search_by(|home| (&home.team, home.kind).cmp(&key)) {
            Ok(i) => i,
            Err(i) => {
                homes.insert(i, fresh());
                i
            }
        };
        if homes[i].limit.total_cmp(&limit).is_ne() || homes[i].vms != vms {
            homes[i] = fresh();
        }
        homes[i].home.grant(request, now)
    }

    /// Applies a grant that was requested at `asked`.
    pub fn granted(&self, grant: &SliceGrant, asked: Instant) {
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, &grant.team, grant.kind) {
            slices[i].slice.apply_grant(grant, asked, now);
        }
    }

    /// Returns the rate per second that this VM currently admits of a limit; `None` if the limit has
    /// not been used on this VM.
    #[must_use]
    pub fn rate(&self, team: &TeamId, kind: LimitKind) -> Option<f64> {
        let slices = self.slices.lock();
        let i = find(&slices, team, kind).ok()?;
        Some(slices[i].slice.rate(self.timer.now()))
    }

    fn limit(&self, team: &TeamId, kind: LimitKind) -> Option<u32> {
        let bundle = self.bundle.current();
        let team = bundle.team(team)?;
        match kind {
            LimitKind::Requests => team.requests_per_second,
            LimitKind::Tokens => team.tokens_per_second,
        }
    }

    fn slice<'a>(
        &self,
        slices: &'a mut Vec<LimitSlice>,
        team: &TeamId,
        kind: LimitKind,
        limit: u32,
        now: Instant,
    ) -> &'a mut TeamSlice {
        let fresh = || LimitSlice {
            team: team.clone(),
            kind,
            limit,
            slice: TeamSlice::fixed(f64::from(limit) / f64::from(self.sharers), now),
        };
        let i = match find(slices, team, kind) {
            Ok(i) => i,
            Err(i) => {
                slices.insert(i, fresh());
                i
            }
        };
        if slices[i].limit != limit {
            slices[i] = fresh();
        }
        &mut slices[i].slice
    }
}

/// Returns the VM among `vms` that allocates the slices of a limit.
fn home_of(team: &TeamId, kind: LimitKind, vms: &[VmId]) -> Option<VmId> {
    let key = format!("{kind} {team}");
    vms.iter()
        .max_by_key(|vm| rendezvous_score(&key, vm.as_str()))
        .cloned()
}

fn find(slices: &[LimitSlice], team: &TeamId, kind: LimitKind) -> Result<usize, usize> {
    slices.binary_search_by(|entry| (&entry.team, entry.kind).cmp(&(team, kind)))
}
