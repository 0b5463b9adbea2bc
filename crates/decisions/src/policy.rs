//! Which mechanisms decide, so that each can be switched off for a measurement.
//!
//! Every field is on, or at its figure, by default. Trials name what differs as `field=value`, separated
//! by commas; `docs/DECISIONS.md` holds what each field is worth.

use super::*;

/// The mechanisms of deciding, and the costs of placing in milliseconds of expected wait.
#[expect(
    clippy::struct_excessive_bools,
    reason = "one switch for each mechanism"
)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// A run's memory is copied to another upstream as it grows.
    pub copies: bool,
    /// A run whose copy is out of reach of the own zone gets a second one there.
    pub second_copy: bool,
    /// A copy whose holder is lost is made anew, and renewed.
    pub remade_copies: bool,
    /// Copies that nobody will use are freed.
    pub freed_copies: bool,
    /// The own zone goes first.
    pub own_zone: bool,
    /// The upstreams of a zone are divided among its VMs.
    pub parts: bool,
    /// Other VMs' words on their dispatches count.
    pub peer_loads: bool,
    /// Other VMs' words on upstreams that do not answer count.
    pub peer_suspects: bool,
    /// A zone that lost several upstreams together comes last for a while.
    pub zone_alarm: bool,
    /// Engines are asked for the prompts of callers that come back.
    pub prompt_search: bool,
    /// Streams whose prompt cannot be read in time any more are refused at once.
    pub refuse_late: bool,
    /// So are those that cannot be whole in time.
    pub refuse_unfinished: bool,
    /// VMs lend each other repeats.
    pub loans: bool,
    /// Streams wait for a repeat where none is left.
    pub repeat_wait: bool,
    /// What a running stream on an engine costs the next prompt there.
    pub stream_cost: f64,
    /// Cost of an upstream in another VM's part of the zone.
    pub other_part: f64,
    /// Cost of one of the own zone that this VM does not share.
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
            let wrong = || Error::Policy { part: part.into() };
            let (field, value) = part.split_once('=').ok_or_else(wrong)?;
            if let Some(switch) = policy.switch(field) {
                *switch = value.parse().map_err(|_| wrong())?;
            } else {
                let cost = policy.cost(field).ok_or_else(wrong)?;
                *cost = value.parse().map_err(|_| wrong())?;
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
