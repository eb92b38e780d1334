//! The variants that are compared, and the figures of each.

use hdrhistogram::Histogram;
use policy::placement::{BestFit, FirstFit, LeastLoaded};
use policy::rules::PolicyRules;
use serde::{Deserialize, Serialize};

use crate::fleet::FleetRun;
use crate::measure::RunMeasure;
use crate::workload::WorkloadList;

/// A placement rule.
#[derive(Clone, Copy, Debug)]
enum RuleChoice {
    BestFit,
    FirstFit,
    LeastLoaded,
}

/// A way to decide.
#[derive(Clone, Copy, Debug)]
pub struct PolicyVariant {
    /// Name, as in tables.
    pub name: &'static str,
    rule: RuleChoice,
    rules: PolicyRules,
}

const ALL: PolicyRules = PolicyRules::ALL;
const NONE: PolicyRules = PolicyRules::NONE;

/// The policy, the baselines, and the policy without each of its rules.
pub const VARIANTS: [PolicyVariant; 10] = [
    variant("policy", RuleChoice::BestFit, ALL),
    variant(BASELINE, RuleChoice::FirstFit, NONE),
    variant("least-loaded", RuleChoice::LeastLoaded, NONE),
    variant("no fair-share", RuleChoice::BestFit, PolicyRules { fair_share: false, ..ALL }),
    variant("no preemption", RuleChoice::BestFit, PolicyRules { preemption: false, ..ALL }),
    variant("no backfill", RuleChoice::BestFit, PolicyRules { backfill: false, ..ALL }),
    variant("no quarantine", RuleChoice::BestFit, PolicyRules { quarantine: false, ..ALL }),
    variant("no usage-corr.", RuleChoice::BestFit, PolicyRules { usage_correction: false, ..ALL }),
    variant(
        "no accel.-keep",
        RuleChoice::BestFit,
        PolicyRules { accelerator_keeping: false, ..ALL },
    ),
    variant("no early-refusal", RuleChoice::BestFit, PolicyRules { early_refusal: false, ..ALL }),
];

/// Variant to which the others are compared.
pub const BASELINE: &str = "first-fit";

const fn variant(name: &'static str, rule: RuleChoice, rules: PolicyRules) -> PolicyVariant {
    PolicyVariant { name, rule, rules }
}

impl PolicyVariant {
    /// Runs a workload under the variant.
    #[must_use]
    pub fn run(&self, list: &WorkloadList, outage: bool) -> RunMeasure {
        match self.rule {
            RuleChoice::BestFit => FleetRun::run(list, BestFit, self.rules, outage),
            RuleChoice::FirstFit => FleetRun::run(list, FirstFit, self.rules, outage),
            RuleChoice::LeastLoaded => FleetRun::run(list, LeastLoaded, self.rules, outage),
        }
    }
}

/// The 50th and 99th percentile and the maximum.
pub type Spread = [f64; 3];

/// Figures of one variant in one deployment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VariantFigures {
    /// Name of the variant.
    pub variant: String,
    /// Waits in seconds by urgency class.
    pub waits: [Spread; 3],
    /// Per cent of the requests that were refused or failed.
    pub refused: f64,
    /// Jobs that failed.
    pub failed: f64,
    /// Tasks that failed because their worker had no memory left.
    pub starved: f64,
    /// Orders to checkpoint a task for other work.
    pub preempted: f64,
    /// Part of the scarcer resource that is reserved while work waits.
    pub reserved: f64,
    /// Part of the scarcer resource that is used while work waits.
    pub used: f64,
    /// Mean distance of the teams from their fair shares while the fleet is full.
    pub share: f64,
    /// Work done through the domain change, as a part of that without the change.
    pub change: f64,
    /// Work done, as a part of what the processors in service could have done.
    pub work: f64,
    /// Part of the dated work that was done by the morning; 1 where none is dated.
    pub punctual: f64,
    /// Decisions a second of time spent deciding.
    pub rate: f64,
    /// Microseconds of a call that decides something.
    pub cost: Spread,
}

impl VariantFigures {
    /// Sums up a run with the domain change and one without it.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are far below 2^52")]
    pub fn new(name: &str, changed: &RunMeasure, steady: &RunMeasure) -> Self {
        let (reserved, used) = changed.packing();
        let (dated, punctual) = changed.dated;
        Self {
            variant: name.to_owned(),
            waits: std::array::from_fn(|class| spread(&changed.waits[class], 1e3)),
            refused: 100.0 * changed.refused as f64 / changed.requests.max(1) as f64,
            failed: changed.failed as f64,
            starved: changed.starved as f64,
            preempted: changed.preempted as f64,
            reserved,
            used,
            share: changed.share_distance(),
            change: changed.task_work / steady.task_work,
            work: changed.core_work / changed.core_bound,
            punctual: if dated == 0 { 1.0 } else { punctual as f64 / dated as f64 },
            rate: changed.decision_rate(),
            cost: spread(&changed.costs, 1e3),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "recorded values are far below 2^52")]
fn spread(histogram: &Histogram<u64>, unit: f64) -> Spread {
    let values =
        [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99), histogram.max()];
    values.map(|value| value as f64 / unit)
}
