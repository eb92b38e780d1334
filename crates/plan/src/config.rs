//! The part of the configuration that decides where and when tasks run.

use std::collections::{BTreeMap, BTreeSet};

use arcstr::ArcStr;
use model::name::{DomainName, QueueName, TeamName};
use model::resource::ResourceAmounts;

/// Everything that a decision takes from the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanConfig {
    /// Version, for log lines.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueRule>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamRule>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainName>,
}

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRule {
    /// Pool of workers that runs the tasks.
    pub pool: ArcStr,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work that gives the time objective.
    pub stretch: f64,
    /// Milliseconds that the objective adds to the chain.
    pub target_ms: u64,
    /// Cost of asking which workers may run a step; none if all may.
    pub advice: Option<AdviceCost>,
}

/// What a call to the advice service costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceCost {
    /// Milliseconds for a call.
    pub call_ms: f64,
    /// Milliseconds for each worker named.
    pub worker_ms: f64,
    /// Milliseconds for which a ticket is accepted.
    pub valid_ms: u64,
}

impl AdviceCost {
    /// Returns the time that a call takes for so many workers, in milliseconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a call names at most 100 workers")]
    pub fn duration_ms(&self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// Share and limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Share when the fleet is full.
    pub weight: u64,
    /// What the team may have running; `None` amounts are unlimited.
    pub limit: ResourceAmounts,
}
