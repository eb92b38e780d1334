//! The order in which waiting steps are offered room.

use crate::config::QueueRule;
use crate::job::{JobSpec, StepSpec};

/// Factor on the objective past which a finished job is of no more use to its caller.
pub const EXPIRED_OBJECTIVE_FACTOR: u64 = 3;

/// Use of a job, the most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankClass {
    /// It can be done by its due time.
    OnTime,
    /// It will be late, and somebody still waits for it.
    Late,
    /// Its team has sent more than its share.
    BeyondShare,
    /// Nobody waits for it any more.
    Expired,
}

/// Place of a job in the order; smaller comes first.
///
/// The classes answer overload. Ordered by due time alone, a fleet that has fallen
/// behind would only ever run jobs that are late already, so jobs that can still
/// be on time go before those that cannot, and these before jobs that nobody
/// waits for any more. What a team sends beyond its share goes after what it is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// How much use the job is.
    pub class: RankClass,
    /// Priority of the queue.
    pub priority: u32,
    /// Instant on the planner's clock by which the job should be done.
    pub due_ms: u64,
}

/// Returns the longest chain of declared work in milliseconds, one call for advice a step included.
#[must_use]
pub fn critical_path_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let start =
            step.after.iter().filter_map(|before| ends.get(*before as usize)).max().copied();
        ends.push(start.unwrap_or(0) + step_ms(step, rule));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Workers that an objective allows for in one call for advice.
const OBJECTIVE_ADVICE_WORKERS: usize = 30;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of calls are small and not negative"
)]
fn step_ms(step: &StepSpec, rule: &QueueRule) -> u64 {
    let advice = rule.advice.map_or(0.0, |cost| cost.duration_ms(OBJECTIVE_ADVICE_WORKERS));
    step.estimate_ms + advice as u64
}

/// Returns the time objective of a job in milliseconds from its submission.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "objectives are minutes at most"
)]
pub fn objective_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
    (critical_path_ms(spec, rule) as f64 * rule.stretch) as u64 + rule.target_ms
}

/// What the rank of a job depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankInput {
    /// The present.
    pub now_ms: u64,
    /// When the job came.
    pub arrived_ms: u64,
    /// Its time objective.
    pub objective_ms: u64,
    /// Declared work that is left on its longest chain.
    pub remaining_ms: u64,
    /// Whether it came on top of its team's share.
    pub beyond_share: bool,
    /// Priority of its queue.
    pub priority: u32,
}

/// Ranks a job.
#[must_use]
pub fn rank_job(input: RankInput) -> JobRank {
    let due_ms = input.arrived_ms + input.objective_ms;
    let expired_ms = input.arrived_ms + EXPIRED_OBJECTIVE_FACTOR * input.objective_ms;
    let class = if input.now_ms > expired_ms {
        RankClass::Expired
    } else if input.beyond_share {
        RankClass::BeyondShare
    } else if input.now_ms + input.remaining_ms > due_ms {
        RankClass::Late
    } else {
        RankClass::OnTime
    };
    JobRank { class, priority: input.priority, due_ms }
}
