//! The order in which jobs that wait get free capacity.

use serde::{Deserialize, Serialize};

use crate::config::QueueRule;
use crate::job::{JobSpec, StepSpec};

/// Multiple of its time objective after which a job is of no more use to its caller.
pub const EXPIRED_OBJECTIVE_FACTOR: u64 = 3;

/// How useful it is to run a job now; the most useful class comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RankClass {
    /// The job can be done by its due time.
    OnTime,
    /// The job will be late, but its caller still waits for it.
    Late,
    /// The team had used up its share when it submitted the job.
    BeyondShare,
    /// The job can wait for others and still be on time, while capacity is short.
    Deferrable,
    /// The job is so late that nobody waits for it any more.
    Expired,
}

/// Sort key of a job that waits; smaller comes first.
///
/// The classes keep an overloaded fleet useful. Ordered by due time alone, a fleet
/// that has fallen behind would only ever run jobs that are late already. So jobs
/// that can still be on time go before late ones, and these before jobs that nobody
/// waits for any more. Jobs beyond a team's share go after those within the shares, but before
/// those that lose nothing by waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// How useful it is to run the job now.
    pub class: RankClass,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Time by which the job should be done, on the planner's clock.
    pub due_ms: u64,
}

/// Longest declared duration of a task that counts, in milliseconds: a year. Callers may declare any
/// number, and sums of a job's steps must not overflow.
const MAX_ESTIMATE_MS: u64 = 365 * 24 * 3_600_000;

/// Returns the declared duration of a task of a step, in milliseconds, as far as it counts.
pub(crate) fn estimate_ms(step: &StepSpec) -> u64 {
    step.estimate_ms.min(MAX_ESTIMATE_MS)
}

/// Returns the declared work on the critical path, in milliseconds.
///
/// Each step on the path counts its estimate and, if its queue needs advice, one call for advice.
#[must_use]
pub fn critical_path_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
    let mut end_times: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let start_time = step
            .after
            .iter()
            .filter_map(|previous| end_times.get(*previous as usize))
            .max()
            .copied();
        end_times.push(start_time.unwrap_or(0_u64).saturating_add(step_ms(step, rule)));
    }
    end_times.into_iter().max().unwrap_or(0)
}

/// Workers in one call for advice, as assumed for the time objective.
const OBJECTIVE_ADVICE_WORKERS: usize = 30;

/// Returns the declared duration of a step and of its call for advice, in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of calls are small and not negative"
)]
pub(crate) fn step_ms(step: &StepSpec, rule: &QueueRule) -> u64 {
    let advice_ms = rule.advice.map_or(0.0, |cost| cost.duration_ms(OBJECTIVE_ADVICE_WORKERS));
    estimate_ms(step).saturating_add(advice_ms as u64)
}

/// Returns the time objective of a job: milliseconds from its submission to its due time.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "objectives are minutes at most"
)]
pub fn objective_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
    let stretched_ms = (critical_path_ms(spec, rule) as f64 * rule.stretch) as u64;
    stretched_ms.saturating_add(rule.target_ms)
}

/// Everything that the rank of a job depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankInput {
    /// Current time on the planner's clock.
    pub now_ms: u64,
    /// When the job was submitted, on the planner's clock.
    pub submitted_ms: u64,
    /// Time objective of the job, in milliseconds from its submission.
    pub objective_ms: u64,
    /// Declared work that is left on its critical path, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the team had used up its share when it submitted the job.
    pub beyond_share: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
}

/// Returns the rank of a job.
#[must_use]
pub fn rank_job(input: RankInput) -> JobRank {
    let due_ms = input.submitted_ms.saturating_add(input.objective_ms);
    let expired_after_ms = input.objective_ms.saturating_mul(EXPIRED_OBJECTIVE_FACTOR);
    let expired_ms = input.submitted_ms.saturating_add(expired_after_ms);
    let class = if input.now_ms > expired_ms {
        RankClass::Expired
    } else if input.beyond_share {
        RankClass::BeyondShare
    } else if input.now_ms.saturating_add(input.remaining_ms) > due_ms {
        RankClass::Late
    } else {
        RankClass::OnTime
    };
    JobRank { class, priority: input.priority, due_ms }
}
