//! The order in which waiting steps are offered room.

use crate::config::QueueRule;
use crate::job::{JobSpec, StepSpec};

/// Factor on the objective past which a finished job is of no more use to its caller.
pub const USELESS_FACTOR: u64 = 3;

/// Place of a job in the order; smaller comes first.
///
/// The classes answer overload: when not everything can be on time, jobs that
/// still can be go before those that cannot, and what a team sends beyond its
/// share goes after what it is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// 0 for work that can be of use, 1 for what is beyond the team's share, 2 for what is too late.
    pub class: u8,
    /// Priority of the queue.
    pub priority: u32,
    /// Instant on the planner's clock by which the job should be done.
    pub due_ms: u64,
}

/// Returns the longest chain of declared work in milliseconds, one call for advice a step included.
#[must_use]
pub fn longest_chain_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
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
    (longest_chain_ms(spec, rule) as f64 * rule.stretch) as u64 + rule.target_ms
}

/// Ranks a job that came at `arrived_ms`.
#[must_use]
pub fn rank_job(
    now_ms: u64,
    arrived_ms: u64,
    objective_ms: u64,
    beyond_share: bool,
    priority: u32,
) -> JobRank {
    let due_ms = arrived_ms + objective_ms;
    let useless = now_ms > arrived_ms + USELESS_FACTOR * objective_ms;
    let class = if useless { 2 } else { u8::from(beyond_share) };
    JobRank { class, priority, due_ms }
}
