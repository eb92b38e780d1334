//! The variants of the policy that are compared, and the figures of each.

use hdrhistogram::Histogram;
use policy::placement::{BestFit, FirstFit, LeastLoaded};
use policy::rules::PolicyRules;
use serde::{Deserialize, Serialize};

use crate::metrics::RunMetrics;
use crate::simulation::Simulation;
use crate::workload::WorkloadTrace;

/// Rule by which a variant chooses a worker.
#[derive(Clone, Copy, Debug)]
enum PlacementChoice {
    BestFit,
    FirstFit,
    LeastLoaded,
}

/// A combination of a placement rule and the policy rules that are on.
#[derive(Clone, Copy, Debug)]
pub struct PolicyVariant {
    /// Name, as printed in tables and recorded.
    pub name: &'static str,
    placement: PlacementChoice,
    rules: PolicyRules,
}

const ALL_RULES: PolicyRules = PolicyRules::ALL;
const NO_RULES: PolicyRules = PolicyRules::NONE;

/// The policy, two baselines without its rules, and the policy with each rule turned off in turn.
pub const VARIANTS: [PolicyVariant; 10] = [
    new_variant("policy", PlacementChoice::BestFit, ALL_RULES),
    new_variant(BASELINE, PlacementChoice::FirstFit, NO_RULES),
    new_variant("least-loaded", PlacementChoice::LeastLoaded, NO_RULES),
    new_variant(
        "no fair-share",
        PlacementChoice::BestFit,
        PolicyRules { fair_share: false, ..ALL_RULES },
    ),
    new_variant(
        "no preemption",
        PlacementChoice::BestFit,
        PolicyRules { preemption: false, ..ALL_RULES },
    ),
    new_variant(
        "no backfill",
        PlacementChoice::BestFit,
        PolicyRules { backfill: false, ..ALL_RULES },
    ),
    new_variant(
        "no quarantine",
        PlacementChoice::BestFit,
        PolicyRules { quarantine: false, ..ALL_RULES },
    ),
    new_variant(
        "no usage-corr.",
        PlacementChoice::BestFit,
        PolicyRules { usage_correction: false, ..ALL_RULES },
    ),
    new_variant(
        "no accel.-keep",
        PlacementChoice::BestFit,
        PolicyRules { accelerator_keeping: false, ..ALL_RULES },
    ),
    new_variant(
        "no early-refusal",
        PlacementChoice::BestFit,
        PolicyRules { early_refusal: false, ..ALL_RULES },
    ),
];

/// Name of the variant to which the others are compared.
pub const BASELINE: &str = "first-fit";

const fn new_variant(
    name: &'static str,
    placement: PlacementChoice,
    rules: PolicyRules,
) -> PolicyVariant {
    PolicyVariant { name, placement, rules }
}

impl PolicyVariant {
    /// Simulates a trace under the variant, with or without the outage of a domain.
    #[must_use]
    pub fn run(&self, trace: &WorkloadTrace, has_outage: bool) -> RunMetrics {
        match self.placement {
            PlacementChoice::BestFit => Simulation::run(trace, BestFit, self.rules, has_outage),
            PlacementChoice::FirstFit => Simulation::run(trace, FirstFit, self.rules, has_outage),
            PlacementChoice::LeastLoaded => {
                Simulation::run(trace, LeastLoaded, self.rules, has_outage)
            }
        }
    }
}

/// Median, 99th percentile and maximum.
pub type PercentileTriple = [f64; 3];

/// Figures of one variant in one deployment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VariantFigures {
    /// Name of the variant.
    pub variant: String,
    /// Seconds that work waited for its first start, by urgency, most urgent first.
    #[serde(rename = "waits")]
    pub waits_s: [PercentileTriple; 3],
    /// Percentage of the requests that were refused or failed.
    #[serde(rename = "refused")]
    pub refused_percent: f64,
    /// Jobs that failed.
    #[serde(rename = "failed")]
    pub failed_jobs: f64,
    /// Tasks that failed because their worker had no memory left.
    #[serde(rename = "starved")]
    pub oom_failures: f64,
    /// Orders to checkpoint or stop a task in favour of other work.
    #[serde(rename = "preempted")]
    pub preemptions: f64,
    /// Reserved fraction of the resource that is reserved most, while work waits.
    #[serde(rename = "reserved")]
    pub reserved_fraction: f64,
    /// Used fraction of the resource that is used most, while work waits.
    #[serde(rename = "used")]
    pub used_fraction: f64,
    /// Mean difference between what teams use and their fair shares while the teams
    /// demand the whole fleet, as a fraction of the fleet.
    #[serde(rename = "share")]
    pub share_distance: f64,
    /// Work done in the run with the outage, relative to the run without it.
    #[serde(rename = "change")]
    pub outage_work_ratio: f64,
    /// Core time of work that is finished, checkpointed or in progress at the end of the run, as a
    /// fraction of the core time that the domains in service had.
    #[serde(rename = "work")]
    pub utilization: f64,
    /// Fraction of the tasks due by the morning that were done by then; 1 if none are due.
    #[serde(rename = "punctual")]
    pub on_time_fraction: f64,
    /// Decisions per second of real time spent in calls of the policy.
    #[serde(rename = "rate")]
    pub decisions_per_s: f64,
    /// Real microseconds of a call of the policy that returned a decision.
    #[serde(rename = "cost")]
    pub call_cost_us: PercentileTriple,
}

impl VariantFigures {
    /// Summarises a run with the outage; the run without it gives only the work ratio.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are far below 2^52")]
    pub fn from_runs(name: &str, with_outage: &RunMetrics, without_outage: &RunMetrics) -> Self {
        let (reserved_fraction, used_fraction) = with_outage.packing_fractions();
        let (morning_tasks, tasks_on_time) = with_outage.morning_tasks;
        Self {
            variant: name.to_owned(),
            waits_s: std::array::from_fn(|class| percentiles(&with_outage.waits_ms[class], 1e3)),
            refused_percent: 100.0 * with_outage.refused_requests as f64
                / with_outage.requests.max(1) as f64,
            failed_jobs: with_outage.failed_jobs as f64,
            oom_failures: with_outage.oom_failures as f64,
            preemptions: with_outage.preemptions as f64,
            reserved_fraction,
            used_fraction,
            share_distance: with_outage.share_distance(),
            outage_work_ratio: with_outage.task_work_ms / without_outage.task_work_ms,
            utilization: with_outage.core_work_ms / with_outage.core_capacity_ms,
            on_time_fraction: if morning_tasks == 0 {
                1.0
            } else {
                tasks_on_time as f64 / morning_tasks as f64
            },
            decisions_per_s: with_outage.decisions_per_s(),
            call_cost_us: percentiles(&with_outage.deciding_call_ns, 1e3),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "recorded values are far below 2^52")]
fn percentiles(histogram: &Histogram<u64>, divisor: f64) -> PercentileTriple {
    let values =
        [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99), histogram.max()];
    values.map(|value| value as f64 / divisor)
}
