//! Switches and costs of the decision mechanisms, so that the effect of each can be evaluated.
//!
//! By default every switch is on and every cost has its normal value. Test runs set other values as a
//! comma-separated list of `field=value`; `docs/DECISIONS.md` shows the effect of each field.

use super::*;

/// Switches of the decision mechanisms, and placement costs in milliseconds of expected wait.
#[expect(
    clippy::struct_excessive_bools,
    reason = "one switch for each mechanism"
)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The KV cache of a run is copied to another upstream as it grows.
    pub copies: bool,
    /// A run whose upstream and KV copy are both outside the own zone gets a second copy in the own zone.
    pub second_copy: bool,
    /// A KV copy whose holder is lost is created again on another holder, and updated there.
    pub remade_copies: bool,
    /// KV copies that are no longer needed are freed.
    pub freed_copies: bool,
    /// Upstreams of the own zone are preferred.
    pub own_zone: bool,
    /// The upstreams of a zone are partitioned among its VMs.
    pub parts: bool,
    /// The loads that other VMs advertise are taken into account.
    pub peer_loads: bool,
    /// Upstreams that do not respond to some other VM are treated as suspects.
    pub peer_suspects: bool,
    /// A zone that lost several upstreams together is avoided for a while.
    pub zone_alarm: bool,
    /// Engines are queried for the cached prompts of callers that reconnect.
    pub prompt_search: bool,
    /// Streams whose prefill cannot complete before their deadline are refused at once.
    pub refuse_late: bool,
    /// Streams that cannot complete before their deadline are refused at once.
    pub refuse_unfinished: bool,
    /// VMs lend parts of their retry budgets to each other.
    pub loans: bool,
    /// Streams wait for a retry when the retry budget is exhausted.
    pub repeat_wait: bool,
    /// Cost of placing a prompt beside one running stream on an engine.
    pub stream_cost: f64,
    /// Cost of an upstream in another VM's partition of the zone.
    pub other_part: f64,
    /// Cost of an upstream of the own zone that this VM does not share.
    pub not_shared: f64,
    /// Cost of another zone for a stream.
    pub other_zone_stream: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            copies: true,
            second_copy: true,
            remade_copies: true,
            freed_copies: true,
            own_zone: true,
            parts: true,
            peer_loads: true,
            peer_suspects: true,
            zone_alarm: true,
            prompt_search: true,
            refuse_late: true,
            refuse_unfinished: true,
            loans: true,
            repeat_wait: true,
            stream_cost: STREAM_COST,
            other_part: OTHER_PARTITION_COST,
            not_shared: UNSHARED_COST,
            other_zone_stream: OTHER_ZONE_STREAM_COST,
        }
    }
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let mut policy = Self::default();
        for part in s.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let invalid = || Error::Policy { part: part.into() };
            let (field, value) = part.split_once('=').ok_or_else(invalid)?;
            if let Some(switch) = policy.switch(field) {
                *switch = value.parse().map_err(|_| invalid())?;
            } else {
                let cost = policy.cost(field).ok_or_else(invalid)?;
                *cost = value.parse().map_err(|_| invalid())?;
            }
        }
        Ok(policy)
    }
}

impl Policy {
    fn switch(&mut self, field: &str) -> Option<&mut bool> {
        Some(match field {
            "copies" => &mut self.copies,
            "second_copy" => &mut self.second_copy,
            "remade_copies" => &mut self.remade_copies,
            "freed_copies" => &mut self.freed_copies,
            "own_zone" => &mut self.own_zone,
            "parts" => &mut self.parts,
            "peer_loads" => &mut self.peer_loads,
            "peer_suspects" => &mut self.peer_suspects,
            "zone_alarm" => &mut self.zone_alarm,
            "prompt_search" => &mut self.prompt_search,
            "refuse_unfinished" => &mut self.refuse_unfinished,
            "refuse_late" => &mut self.refuse_late,
            "loans" => &mut self.loans,
            "repeat_wait" => &mut self.repeat_wait,
            _ => return None,
        })
    }

    fn cost(&mut self, field: &str) -> Option<&mut f64> {
        Some(match field {
            "stream_cost" => &mut self.stream_cost,
            "other_part" => &mut self.other_part,
            "not_shared" => &mut self.not_shared,
            "other_zone_stream" => &mut self.other_zone_stream,
            _ => return None,
        })
    }
}
