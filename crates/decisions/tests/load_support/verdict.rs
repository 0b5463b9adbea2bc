use super::{Job, Received, Site};
use catkin_decisions::Lane;
use std::{fmt, time::Duration};

/// Statistics of what the callers of a simulation received.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub offered: usize,
    /// Work for responses delivered in time while the load lasted, as a fraction of the work that the
    /// upstreams could have done in that time.
    pub of_capacity: f64,
    pub answered: usize,
    pub refused: usize,
    /// Time from the arrival of a request to its refusal, 99th percentile.
    pub refused_p99: Duration,
    pub refused_max: Duration,
    pub quick_p99: Duration,
    /// Indexed by team.
    pub quick_p99_of: Vec<Duration>,
    /// Jain's fairness index of the teams' served requests relative to their max-min fair shares.
    pub jain: f64,
    /// Fraction of the upstreams' work for callers that had timed out.
    pub wasted: f64,
}

impl Verdict {
    pub fn new(site: &Site, jobs: &[Job], received: &[Received], work: &[Duration]) -> Self {
        let all = || jobs.iter().zip(received);
        let quick_of = |team: Option<usize>| {
            let waits = all()
                .filter(|(job, _)| job.lane == Lane::Quick && team.is_none_or(|t| t == job.team))
                .filter_map(|(job, got)| match got {
                    Received::Response(at) => Some(at.saturating_sub(job.arrival)),
                    _ => None,
                });
            percentile(waits.collect(), 0.99)
        };
        let refusals = all()
            .filter_map(|(job, got)| match got {
                Received::Refusal(at) => Some(at.saturating_sub(job.arrival)),
                _ => None,
            })
            .collect::<Vec<_>>();
        let answered = received
            .iter()
            .filter(|got| matches!(got, Received::Response(_)));
        let end = jobs.last().map_or(Duration::ZERO, |job| job.arrival);
        let useful = |until: Duration| -> Duration {
            received
                .iter()
                .zip(work)
                .filter(|(got, _)| matches!(got, Received::Response(at) if *at <= until))
                .map(|(_, work)| *work)
                .sum()
        };
        let spent: Duration = work.iter().sum();
        let servers = u32::try_from(site.upstreams * site.servers).expect("a small number");
        let of_capacity = useful(end).as_secs_f64() / (end * servers).as_secs_f64();
        let answered_of = (0..site.teams)
            .map(|team| {
                all()
                    .filter(|(job, got)| job.team == team && matches!(got, Received::Response(_)))
                    .count()
            })
            .collect::<Vec<_>>();
        Self {
            offered: jobs.len(),
            of_capacity,
            answered: answered.count(),
            refused: refusals.len(),
            refused_p99: percentile(refusals.clone(), 0.99),
            refused_max: refusals.into_iter().max().unwrap_or_default(),
            quick_p99: quick_of(None),
            quick_p99_of: (0..site.teams).map(|team| quick_of(Some(team))).collect(),
            jain: jain(site, jobs, &answered_of, end),
            wasted: 1.0 - useful(Duration::MAX).as_secs_f64() / spent.as_secs_f64(),
        }
    }

    /// Largest quick p99 of all teams except the first.
    pub fn other_teams_p99(&self) -> Duration {
        self.quick_p99_of[1..]
            .iter()
            .max()
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |duration: Duration| duration.as_secs_f64() * 1000.0;
        write!(
            f,
            "{} | {} | {:.2} | {} | {:.0} / {:.0} | {:.0} | {:.0} | {:.3} | {:.3}",
            self.offered,
            self.answered,
            self.of_capacity,
            self.refused,
            ms(self.refused_p99),
            ms(self.refused_max),
            ms(self.quick_p99),
            ms(self.other_teams_p99()),
            self.jain,
            self.wasted,
        )
    }
}

fn percentile(mut values: Vec<Duration>, part: f64) -> Duration {
    values.sort();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let i = (values.len() as f64 * part) as usize;
    values.get(i).copied().unwrap_or_default()
}

/// Jain's fairness index of responses relative to the max-min fair shares of the site's capacity.
#[allow(clippy::cast_precision_loss)]
fn jain(site: &Site, jobs: &[Job], answered: &[usize], end: Duration) -> f64 {
    let work = jobs
        .iter()
        .map(|job| job.service)
        .sum::<Duration>()
        .as_secs_f64();
    let capacity =
        (site.upstreams * site.servers) as f64 * end.as_secs_f64() / work * jobs.len() as f64;
    let demands = (0..site.teams)
        .map(|team| jobs.iter().filter(|job| job.team == team).count() as f64)
        .collect::<Vec<_>>();
    let shares = max_min_shares(&demands, capacity);
    let ratios = answered
        .iter()
        .zip(&shares)
        .filter(|(_, share)| **share > 0.0)
        .map(|(answered, share)| *answered as f64 / share)
        .collect::<Vec<_>>();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    sum * sum / (ratios.len() as f64 * squares)
}

#[allow(clippy::cast_precision_loss)]
fn max_min_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order = (0..demands.len()).collect::<Vec<_>>();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = capacity;
    for (served, team) in order.iter().enumerate() {
        let equal = left / (demands.len() - served) as f64;
        shares[*team] = demands[*team].min(equal);
        left -= shares[*team];
    }
    shares
}
