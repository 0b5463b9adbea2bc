use super::*;

/// Enforces this VM's slices of the teams' limits, and hands out slices as the home of others.
///
/// Until a slice is granted, a VM lets through an even share: the limit by the number of VMs that
/// the settings name. Peers carry [`SliceRequest`] and [`SliceGrant`]: [`TeamLimits::asks`] says
/// whom to ask for what, [`TeamLimits::grant`] answers as a home, [`TeamLimits::granted`] takes the
/// answer in.
pub struct TeamLimits {
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    vm: VmId,
    /// VMs that share a limit as long as no slice is granted.
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

/// Average demand, a second, below which a slice is not asked for any more.
const LEAST_DEMAND: f64 = 0.05;

/// A slice to ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSliceRequest {
    /// The home of the limit.
    pub home: VmId,
    /// What to ask it.
    pub request: SliceRequest,
    /// Now; the grant lasts from here.
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

    /// Lets a request of a team through that costs `cost`.
    ///
    /// # Errors
    ///
    /// When to come back, if this VM's slice of the limit is used up.
    pub fn take(&self, team: &TeamId, kind: LimitKind, cost: u32) -> Result<(), Duration> {
        let Some(limit) = self.limit(team, kind) else {
            return Ok(());
        };
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        let slice = self.slice(&mut slices, team, kind, limit, now);
        slice.try_take(cost.into(), now)
    }

    /// Gives back what a request that was let through did not use.
    pub fn give_back(&self, team: &TeamId, kind: LimitKind, cost: u32) {
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, team, kind) {
            slices[i].slice.refund(cost.into());
        }
    }

    /// Slices to ask for, of the limits that callers lately used here, from their homes among
    /// `vms`.
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

    /// Grants a slice as the home of `part` of a limit over `vms`; `None` if there is no such limit, this VM
    /// is not its home, or the one that asks is not among them.
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

    /// Takes a grant that was asked for at `asked`.
    pub fn granted(&self, grant: &SliceGrant, asked: Instant) {
        let now = self.timer.now();
        let mut slices = self.slices.lock();
        if let Ok(i) = find(&slices, &grant.team, grant.kind) {
            slices[i].slice.apply_grant(grant, asked, now);
        }
    }

    /// What this VM lets through of a limit now, a second; `None` if it was not used here.
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

/// The VM among `vms` that hands out the slices of a limit.
fn home_of(team: &TeamId, kind: LimitKind, vms: &[VmId]) -> Option<VmId> {
    let key = format!("{kind} {team}");
    vms.iter()
        .max_by_key(|vm| rendezvous_score(&key, vm.as_str()))
        .cloned()
}

fn find(slices: &[LimitSlice], team: &TeamId, kind: LimitKind) -> Result<usize, usize> {
    slices.binary_search_by(|entry| (&entry.team, entry.kind).cmp(&(team, kind)))
}
