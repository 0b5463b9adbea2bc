use super::*;

/// Two settings under one scenario, by turns: each measure of the first over that of the second.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Scenario that was run.
    pub scenario: &'static str,
    /// Resume latency, p95.
    pub resume_p95: Spread,
    /// Time to the first token, p95.
    pub first_token_p95: Spread,
    /// Latency of quick calls, p99.
    pub quick_p99: Spread,
    /// Tokens computed by engines, extra ones counted in.
    pub engine_tokens: Spread,
    /// Invariants broken on either side.
    pub violations: Vec<String>,
}

/// A ratio over the rounds of a comparison; absent if a round did not measure it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Smallest ratio.
    pub min: Option<f64>,
    /// Median of the ratios.
    pub median: Option<f64>,
    /// Largest ratio.
    pub max: Option<f64>,
}

impl Comparison {
    /// Compares reports of equal rounds.
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
