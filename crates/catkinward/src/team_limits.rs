use super::*;

/// Enforces this VM's slices of the teams' limits, and allocates slices of limits to other VMs.
///
/// Until a slice is granted, a VM admits an even share: the limit divided by the number of VMs in
/// the settings. Requests go from [`TeamLimits::slice_requests`] to the allocator's
/// [`TeamLimits::grant`], and the grants to [`TeamLimits::apply_grant`].
pub struct TeamLimits {
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    vm: VmId,
    /// Number of VMs among which a limit is divided evenly as long as no slice is granted.
    sharers: u32,
    /// Sorted by team and kind.
    slices: Mutex<Vec<LimitSlice>>,
    /// Sorted by team and kind.
    allocators: Mutex<Vec<LimitAllocator>>,
}

struct LimitSlice {
    team: TeamId,
    kind: LimitKind,
    limit: u32,
    slice: TeamSlice,
}

struct LimitAllocator {
    team: TeamId,
    kind: LimitKind,
    limit: f64,
    vms: Vec<VmId>,
    allocator: SliceAllocator,
}

/// Average demand per second below which no slice is requested any more.
const MIN_DEMAND: f64 = 0.05;

/// A request for a slice, with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSliceRequest {
    /// The VM that allocates the slices of the limit.
    pub allocator: VmId,
    /// The request to send to it.
    pub request: SliceRequest,
    /// Time of the request; the validity of the grant starts here.
    pub requested_at: Instant,
}

impl TeamLimits {
    pub(crate) fn new(timer: &Arc<Timer>, bundle: &Arc<BundleInForce>, cfg: &Settings) -> Self {
        Self {
            timer: timer.clone(),
            bundle: bundle.clone(),
            vm: cfg.vm.clone(),
            sharers: cfg.entry_vms.max(1),
            slices: Mutex::default(),
            allocators: Mutex::default(),
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
        slice.try_take(cost.into(), now)
    }

    /// Refunds the part of the cost that an admitted request did not use.
    pub fn refund(&self, team: &TeamId, kind: LimitKind, cost: u32) {
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, team, kind) {
            slices[i].slice.refund(cost.into());
        }
    }

    /// Returns requests for slices of the limits that callers have used recently on this VM,
    /// addressed to their allocators among `vms`.
    #[must_use]
    pub fn slice_requests(&self, vms: &[VmId]) -> Vec<TeamSliceRequest> {
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        let requests = slices.iter_mut().filter_map(|entry| {
            let demand = entry.slice.demand(now);
            Some(TeamSliceRequest {
                allocator: allocator_of(&entry.team, entry.kind, vms)?,
                request: SliceRequest {
                    team: entry.team.clone(),
                    kind: entry.kind,
                    vm: self.vm.clone(),
                    demand: (demand > MIN_DEMAND).then_some(demand)?,
                },
                requested_at: now,
            })
        });
        requests.collect()
    }

    /// Grants a slice as the allocator of `fraction` of a limit among `vms`. Returns `None` if there
    /// is no such limit, this VM is not its allocator, or the requesting VM is not in `vms`.
    #[must_use]
    pub fn grant(&self, request: &SliceRequest, vms: &[VmId], fraction: f64) -> Option<SliceGrant> {
        let limit = fraction * f64::from(self.limit(&request.team, request.kind)?);
        if allocator_of(&request.team, request.kind, vms)? != self.vm {
            return None;
        }
        let now = self.timer.now();
        let new_entry = || LimitAllocator {
            team: request.team.clone(),
            kind: request.kind,
            limit,
            vms: vms.to_vec(),
            allocator: SliceAllocator::new(limit, vms.to_vec(), now),
        };
        let mut allocators = self.allocators.lock();
        let key = (&request.team, request.kind);
        let i = match allocators
            .binary_search_by(|allocator| (&allocator.team, allocator.kind).cmp(&key))
        {
            Ok(i) => i,
            Err(i) => {
                allocators.insert(i, new_entry());
                i
            }
        };
        if allocators[i].limit.total_cmp(&limit).is_ne() || allocators[i].vms != vms {
            allocators[i] = new_entry();
        }
        allocators[i].allocator.grant(request, now)
    }

    /// Applies a grant that was requested at `requested_at`.
    pub fn apply_grant(&self, grant: &SliceGrant, requested_at: Instant) {
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, &grant.team, grant.kind) {
            slices[i].slice.apply_grant(grant, requested_at, now);
        }
    }

    /// Returns this VM's current share of a team's limit, per second; `None` if this VM has not used the
    /// limit.
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
        let new_entry = || LimitSlice {
            team: team.clone(),
            kind,
            limit,
            slice: TeamSlice::fixed(f64::from(limit) / f64::from(self.sharers), now),
        };
        let i = match find(slices, team, kind) {
            Ok(i) => i,
            Err(i) => {
                slices.insert(i, new_entry());
                i
            }
        };
        if slices[i].limit != limit {
            slices[i] = new_entry();
        }
        &mut slices[i].slice
    }
}

/// Returns the VM among `vms` that allocates the slices of a limit.
fn allocator_of(team: &TeamId, kind: LimitKind, vms: &[VmId]) -> Option<VmId> {
    let key = format!("{kind} {team}");
    vms.iter()
        .max_by_key(|vm| rendezvous_score(&key, vm.as_str()))
        .cloned()
}

fn find(slices: &[LimitSlice], team: &TeamId, kind: LimitKind) -> Result<usize, usize> {
    slices.binary_search_by(|entry| (&entry.team, entry.kind).cmp(&(team, kind)))
}
