use super::*;

/// Result of alternating runs with two settings: each metric of the first over that of the second.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Ratio of the 95th percentile of the resume latency.
    pub resume_p95: Spread,
    /// Ratio of the 95th percentile of the time to the first token.
    pub first_token_p95: Spread,
    /// Ratio of the 99th percentile of the latency of quick calls.
    pub quick_p99: Spread,
    /// Ratio of all tokens that engines computed, including redundant ones.
    pub engine_tokens: Spread,
    /// Invariants violated in any run.
    pub violations: Vec<String>,
}

/// Distribution of a ratio over the rounds of a comparison; absent if any round lacks the metric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Smallest ratio of a round.
    pub min: Option<f64>,
    /// Median of the ratios; the upper one for an even number of rounds.
    pub median: Option<f64>,
    /// Largest ratio of a round.
    pub max: Option<f64>,
}

impl Comparison {
    /// Compares the reports of both settings pairwise, by round.
    #[must_use]
    pub fn of(scenario: &Scenario, first: &[Report], second: &[Report]) -> Self {
        let spread = |measure: fn(&Report) -> Option<f64>| {
            let rounds = first.iter().zip(second);
            let ratios = rounds.map(|(a, b)| Some(measure(a)? / measure(b)?));
            Spread::of(ratios.collect::<Option<Vec<_>>>().unwrap_or_default())
        };
        let reports = first.iter().chain(second);
        Self {
            scenario: scenario.name,
            resume_p95: spread(|report| report.resume_ms.p95),
            first_token_p95: spread(|report| report.first_token_ms.p95),
            quick_p99: spread(|report| report.quick_ms.p99),
            engine_tokens: spread(|report| Some(1.0 + report.extra_engine_tokens_ratio)),
            violations: reports
                .flat_map(|report| report.violations.clone())
                .collect(),
        }
    }
}

impl Spread {
    fn of(mut ratios: Vec<f64>) -> Self {
        ratios.sort_by(f64::total_cmp);
        Self {
            min: ratios.first().copied(),
            median: ratios.get(ratios.len() / 2).copied(),
            max: ratios.last().copied(),
        }
    }
}
